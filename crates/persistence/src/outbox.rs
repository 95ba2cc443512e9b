//! Messages that must not be sent before a batch is on the disk. No I/O.

use std::collections::VecDeque;

/// A queue of messages, each of which waits until the batch that it depends on is on the disk.
///
/// It prevents that a message is sent whose cause is lost in a power failure: an offer without its recorded intent, or
/// the acknowledgement of an object that was never stored. If the disk makes no progress, nothing is sent. Its cost is
/// a delay of one sync for each message; a message that depends on nothing new waits behind the earlier ones, which
/// keeps the order.
#[derive(Debug)]
pub struct Outbox<T> {
    /// Each message with the number of the batch that it waits for.
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
    /// Appends a message that waits for the batch of this number.
    pub fn hold(&mut self, batch: u64, message: T) {
        self.queue.push_back((batch, message));
    }

    /// Removes and returns the messages from the front of the queue that wait for no batch after `synced`.
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

    /// Removes and returns the messages that match; they are not sent any more. The others keep their order.
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

    /// Number of messages that wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no message waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
