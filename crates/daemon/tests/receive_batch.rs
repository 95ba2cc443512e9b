//! Batches of inputs: what ends the wait, and what is in a batch.

use async_channel::{Receiver, Sender};
use tidespur_daemon::receive_batch;

/// Longer than any of these tests may take, in seconds.
const NEVER: f64 = 1e6;
const MAX: usize = 4;

/// A queue that holds these inputs.
fn queue(inputs: &[u32]) -> (Sender<u32>, Receiver<u32>) {
    let (sender, receiver) = async_channel::unbounded();
    for input in inputs {
        sender.try_send(*input).unwrap();
    }
    (sender, receiver)
}

#[test]
fn all_waiting_inputs_are_returned_in_order_when_they_are_fewer_than_the_maximum() {
    let (_sender, inputs) = queue(&[1, 2, 3]);

    let batch = smol::block_on(receive_batch(&inputs, None, NEVER, MAX));

    assert_eq!(batch, Some(vec![1, 2, 3]));
}

#[test]
fn batch_is_bounded_and_the_rest_stays_in_the_queue_when_more_inputs_wait() {
    let (_sender, inputs) = queue(&[1, 2, 3, 4, 5, 6]);

    let first = smol::block_on(receive_batch(&inputs, None, NEVER, MAX));
    let second = smol::block_on(receive_batch(&inputs, None, NEVER, MAX));

    assert_eq!(first, Some(vec![1, 2, 3, 4]));
    assert_eq!(second, Some(vec![5, 6]));
}

#[test]
fn wait_ends_with_an_input_that_is_sent_later() {
    let (sender, inputs) = queue(&[]);

    let batch = smol::block_on(async {
        let send = async {
            smol::future::yield_now().await;
            sender.send(7).await.unwrap();
        };
        let receive = receive_batch(&inputs, None, NEVER, MAX);
        smol::future::zip(receive, send).await.0
    });

    assert_eq!(batch, Some(vec![7]));
}

#[test]
fn batch_is_empty_when_only_the_disk_has_made_progress() {
    let (_sender, inputs) = queue(&[]);
    let (progress, disk_progress) = async_channel::bounded(1);
    progress.try_send(()).unwrap();

    let batch = smol::block_on(receive_batch(&inputs, Some(&disk_progress), NEVER, MAX));

    assert_eq!(batch, Some(vec![]));
    assert!(disk_progress.is_empty(), "the notification was taken");
}

#[test]
fn batch_is_empty_when_the_timeout_elapses() {
    let (_sender, inputs) = queue(&[]);
    let (_progress, disk_progress) = async_channel::bounded(1);

    let batch = smol::block_on(receive_batch(&inputs, Some(&disk_progress), 1e-3, MAX));

    assert_eq!(batch, Some(vec![]));
}

#[test]
fn batch_is_none_when_the_channel_of_inputs_is_closed() {
    let (sender, inputs) = queue(&[]);
    drop(sender);

    let batch = smol::block_on(receive_batch(&inputs, None, NEVER, MAX));

    assert_eq!(batch, None);
}

#[test]
fn inputs_that_wait_are_returned_first_when_their_channel_is_closed() {
    let (sender, inputs) = queue(&[1, 2]);
    drop(sender);

    let batch = smol::block_on(receive_batch(&inputs, None, NEVER, MAX));
    let end = smol::block_on(receive_batch(&inputs, None, NEVER, MAX));

    assert_eq!(batch, Some(vec![1, 2]));
    assert_eq!(end, None);
}

#[test]
fn batch_is_none_when_the_channel_of_the_disks_progress_is_closed() {
    let (_sender, inputs) = queue(&[]);
    let (progress, disk_progress) = async_channel::bounded::<()>(1);
    drop(progress);

    let batch = smol::block_on(receive_batch(&inputs, Some(&disk_progress), NEVER, MAX));

    assert_eq!(batch, None);
}
