//! Receiving batches of inputs: what ends the wait, and which inputs a batch holds.

use async_channel::{Receiver, Sender};
use tidespur_daemon::receive_batch;

/// Timeout that does not elapse during a test, in seconds.
const LONG_TIMEOUT: f64 = 1e6;
const MAX_BATCH: usize = 4;

/// A channel that holds these inputs.
fn channel(inputs: &[u32]) -> (Sender<u32>, Receiver<u32>) {
    let (sender, receiver) = async_channel::unbounded();
    for input in inputs {
        sender.try_send(*input).unwrap();
    }
    (sender, receiver)
}

#[test]
fn all_queued_inputs_are_returned_in_order_when_they_are_fewer_than_the_maximum() {
    let (_sender, inputs) = channel(&[1, 2, 3]);

    let batch = smol::block_on(receive_batch(&inputs, None, LONG_TIMEOUT, MAX_BATCH));

    assert_eq!(batch, Some(vec![1, 2, 3]));
}

#[test]
fn batch_is_bounded_and_the_rest_stays_queued_when_more_inputs_are_queued() {
    let (_sender, inputs) = channel(&[1, 2, 3, 4, 5, 6]);

    let first = smol::block_on(receive_batch(&inputs, None, LONG_TIMEOUT, MAX_BATCH));
    let second = smol::block_on(receive_batch(&inputs, None, LONG_TIMEOUT, MAX_BATCH));

    assert_eq!(first, Some(vec![1, 2, 3, 4]));
    assert_eq!(second, Some(vec![5, 6]));
}

#[test]
fn wait_ends_with_an_input_that_is_sent_later() {
    let (sender, inputs) = channel(&[]);

    let batch = smol::block_on(async {
        let send = async {
            smol::future::yield_now().await;
            sender.send(7).await.unwrap();
        };
        let receive = receive_batch(&inputs, None, LONG_TIMEOUT, MAX_BATCH);
        smol::future::zip(receive, send).await.0
    });

    assert_eq!(batch, Some(vec![7]));
}

#[test]
fn batch_is_empty_when_only_the_disk_has_made_progress() {
    let (_sender, inputs) = channel(&[]);
    let (progress, disk_progress) = async_channel::bounded(1);
    progress.try_send(()).unwrap();

    let batch = smol::block_on(receive_batch(
        &inputs,
        Some(&disk_progress),
        LONG_TIMEOUT,
        MAX_BATCH,
    ));

    assert_eq!(batch, Some(vec![]));
    assert!(
        disk_progress.is_empty(),
        "the progress notification was not consumed"
    );
}

#[test]
fn batch_is_empty_when_the_timeout_elapses() {
    let (_sender, inputs) = channel(&[]);
    let (_progress, disk_progress) = async_channel::bounded(1);

    let batch = smol::block_on(receive_batch(
        &inputs,
        Some(&disk_progress),
        1e-3,
        MAX_BATCH,
    ));

    assert_eq!(batch, Some(vec![]));
}

#[test]
fn batch_is_none_when_the_channel_of_inputs_is_closed() {
    let (sender, inputs) = channel(&[]);
    drop(sender);

    let batch = smol::block_on(receive_batch(&inputs, None, LONG_TIMEOUT, MAX_BATCH));

    assert_eq!(batch, None);
}

#[test]
fn queued_inputs_are_returned_before_none_when_their_channel_is_closed() {
    let (sender, inputs) = channel(&[1, 2]);
    drop(sender);

    let batch = smol::block_on(receive_batch(&inputs, None, LONG_TIMEOUT, MAX_BATCH));
    let end = smol::block_on(receive_batch(&inputs, None, LONG_TIMEOUT, MAX_BATCH));

    assert_eq!(batch, Some(vec![1, 2]));
    assert_eq!(end, None);
}

#[test]
fn batch_is_none_when_the_channel_of_the_disks_progress_is_closed() {
    let (_sender, inputs) = channel(&[]);
    let (progress, disk_progress) = async_channel::bounded::<()>(1);
    drop(progress);

    let batch = smol::block_on(receive_batch(
        &inputs,
        Some(&disk_progress),
        LONG_TIMEOUT,
        MAX_BATCH,
    ));

    assert_eq!(batch, None);
}
