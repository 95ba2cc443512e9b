//! What came and waits to be taken in: what is owed first, and of what is asked only so much at once.
//!
//! Taken in one by one, each message would cost a look of the policy of its own, and a flood of new set-ups would
//! stand before the ends and answers that are owed. So all that came since the last step goes into the next one.

use crate::Input;
use std::collections::VecDeque;

/// Inputs of clients that one step takes in; the rest waits for the next. Bounds how long what is owed waits.
const REQUESTS_AT_ONCE: usize = 64;

/// The place of a client's input in the order in which they came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sequence(u64);

/// Inputs that wait.
#[derive(Debug, Default)]
pub struct InputQueue {
    /// Words of machines and of the notice board: ends, answers, proofs.
    completions: Vec<Input>,
    /// Words of clients, in the order in which they came.
    requests: VecDeque<Input>,
    put: u64,
}

impl InputQueue {
    /// Puts in what came. The sequence tells when it was taken, by [`InputQueue::taken`].
    pub fn put(&mut self, input: Input) -> Sequence {
        match input {
            Input::DownstreamOpened(..)
            | Input::DownstreamSaid(..)
            | Input::DownstreamMalformed(_)
            | Input::DownstreamClosed(_) => {
                self.requests.push_back(input);
                self.put += 1;
            }
            _ => self.completions.push(input),
        }
        Sequence(self.put)
    }

    /// Whether this one was taken: its connection may be read on.
    pub fn taken(&self, sequence: Sequence) -> bool {
        self.put - self.requests.len() as u64 >= sequence.0
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.completions.is_empty() && self.requests.is_empty()
    }

    /// What the next step takes in: all that is owed, if anything is, else the next of what is asked.
    pub fn take(&mut self) -> Vec<Input> {
        if !self.completions.is_empty() {
            return std::mem::take(&mut self.completions);
        }
        self.requests.drain(..self.requests.len().min(REQUESTS_AT_ONCE)).collect()
    }
}
