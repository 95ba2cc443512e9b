//! What may be said only once what it rests on is safe. No I/O.

use std::collections::VecDeque;

/// Words in the order in which they were said, each held until the batch that it rests on is on the disk.
///
/// Guards against a word that outlives its reason: an offer whose intent a power loss took, an answer for an object
/// that was never kept. Should guard as well against a disk that stands still: then nothing is said. Harm: each word
/// waits for one sync; and a word that rests on nothing new waits behind those that do, so that the order stays.
#[derive(Debug)]
pub struct Outbox<T> {
    held: VecDeque<(u64, T)>,
}

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self {
            held: VecDeque::new(),
        }
    }
}

impl<T> Outbox<T> {
    /// Holds a word until this batch is safe.
    pub fn hold(&mut self, batch: u64, word: T) {
        self.held.push_back((batch, word));
    }

    /// The words that may be said once all batches up to this one are safe.
    pub fn release(&mut self, safe: u64) -> Vec<T> {
        let ready = self
            .held
            .iter()
            .take_while(|(batch, _)| *batch <= safe)
            .count();
        self.held.drain(..ready).map(|(_, word)| word).collect()
    }

    /// Takes back words that need not, or must not, be said any more.
    pub fn remove_matching(&mut self, which: impl Fn(&T) -> bool) -> Vec<T> {
        let (back, held) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|(_, word)| which(word));
        self.held = held;
        let back: VecDeque<(u64, T)> = back;
        back.into_iter().map(|(_, word)| word).collect()
    }

    /// Words that wait.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
