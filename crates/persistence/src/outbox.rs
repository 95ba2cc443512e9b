//! Messages that must not be sent before a batch is synced. No I/O.

use std::collections::VecDeque;

/// A queue of messages, each of which is held back until the batch that it depends on is synced.
///
/// It prevents the sending of a message whose cause would be lost in a power failure: an offer without its recorded
/// intent, or the acknowledgement of an object that was never stored. While the disk makes no progress, nothing is
/// sent. The cost is a delay of one sync for each message. The order is kept: a message that depends on no new batch
/// waits behind the earlier ones.
#[derive(Debug)]
pub struct Outbox<T> {
    /// Each message with the number of the batch for which it waits.
    queue: VecDeque<(u64, T)>,
}

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self {
            queue: VecDeque::new(),
        }
    }
}

impl<T> Outbox<T> {
    /// Appends a message that waits for the batch with the number `batch`.
    pub fn hold(&mut self, batch: u64, message: T) {
        self.queue.push_back((batch, message));
    }

    /// Removes and returns the messages at the front of the queue whose batches are synced, up to the number `synced`.
    pub fn release(&mut self, synced: u64) -> Vec<T> {
        let released = self
            .queue
            .iter()
            .take_while(|(batch, _)| *batch <= synced)
            .count();
        self.queue
            .drain(..released)
            .map(|(_, message)| message)
            .collect()
    }

    /// Removes and returns the matching messages, synced or not. The others keep their order.
    pub fn remove_matching(&mut self, matches: impl Fn(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        let mut kept = VecDeque::with_capacity(self.queue.len());
        for (batch, message) in self.queue.drain(..) {
            if matches(&message) {
                removed.push(message);
            } else {
                kept.push_back((batch, message));
            }
        }
        self.queue = kept;
        removed
    }

    /// Number of messages that are held back.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no message is held back.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
