//! What came and waits to be taken in: what is owed first, and of what is asked only so much at once.
//!
//! Taken in one by one, each message would cost a look of the policy of its own, and a flood of new set-ups would
//! stand before the ends and answers that are owed. So all that came since the last step goes into the next one.

use crate::Input;
use std::collections::VecDeque;

/// Inputs of clients that one step takes in; the rest waits for the next. Bounds how long what is owed waits.
const ASKED_MOST: usize = 64;

/// The place of a client's input in the order in which they came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// Inputs that wait.
#[derive(Debug, Default)]
pub struct Turn {
    /// Words of machines and of the notice board: ends, answers, proofs.
    owed: Vec<Input>,
    /// Words of clients, in the order in which they came.
    asked: VecDeque<Input>,
    put: u64,
}

impl Turn {
    /// Puts in what came. The ticket tells when it was taken, by [`Turn::taken`].
    pub fn put(&mut self, input: Input) -> Ticket {
        match input {
            Input::ClientOpened(..)
            | Input::ClientSaid(..)
            | Input::ClientSpoilt(_)
            | Input::ClientClosed(_) => {
                self.asked.push_back(input);
                self.put += 1;
            }
            _ => self.owed.push(input),
        }
        Ticket(self.put)
    }

    /// Whether this one was taken: its connection may be read on.
    pub fn taken(&self, ticket: Ticket) -> bool {
        self.put - self.asked.len() as u64 >= ticket.0
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.owed.is_empty() && self.asked.is_empty()
    }

    /// What the next step takes in: all that is owed, if anything is, else the next of what is asked.
    pub fn take(&mut self) -> Vec<Input> {
        if !self.owed.is_empty() {
            return std::mem::take(&mut self.owed);
        }
        self.asked.drain(..self.asked.len().min(ASKED_MOST)).collect()
    }
}
