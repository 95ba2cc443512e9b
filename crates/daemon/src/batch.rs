//! Receiving the inputs of an event loop in batches.

use async_channel::Receiver;
use tidespur_net::clock;
use tidespur_units::Seconds;

/// Waits until an input arrives, the disk reports progress, or `timeout` elapses, whichever comes first, and returns
/// the queued inputs, at most `max`. The batch is empty if only the disk made progress or the timeout elapsed.
///
/// Returns `None` once the channel of inputs or that of the disk's progress is closed, which ends the event loop.
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
