//! Receiving inputs of a state machine in batches.

use async_channel::Receiver;
use tidespur_net::clock;
use tidespur_units::Seconds;

/// Waits for an input, for progress of the disk, or for `timeout` to elapse, whichever is first, and returns all inputs
/// that are waiting then, `max` at most. The batch is empty after progress of the disk alone, and after the timeout.
///
/// Returns `None` once the channel of inputs, or that of the disk's progress, is closed: the loop ends.
pub async fn receive_batch<T>(
    inputs: &Receiver<T>,
    disk_progress: Option<&Receiver<()>>,
    timeout: Seconds,
    max: usize,
) -> Option<Vec<T>> {
    let input = async { inputs.recv().await.ok().map(Some) };
    let progress = async {
        match disk_progress {
            Some(progress) => progress.recv().await.ok().map(|()| None),
            None => std::future::pending().await,
        }
    };
    let first = match clock::timeout(timeout, smol::future::or(input, progress)).await {
        Some(received) => received?,
        None => None,
    };
    let mut batch: Vec<T> = first.into_iter().collect();
    while batch.len() < max {
        let Ok(input) = inputs.try_recv() else { break };
        batch.push(input);
    }
    Some(batch)
}
