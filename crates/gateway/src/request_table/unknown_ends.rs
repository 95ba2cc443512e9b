//! Ends of tasks that are unknown here: their owners may hand them over later, and are told then.

use crate::message::RequestId;
use std::collections::VecDeque;
use tidespur_policy::interface::Seconds;

/// An end is kept for this long.
const UNKNOWN_END_TIMEOUT: Seconds = 30.0;
/// Ends that are kept; beyond that the oldest is dropped.
const MAX_UNKNOWN_ENDS: usize = 4_096;

/// The end of a task, reported by its machine.
#[derive(Debug)]
struct UnknownEnd {
    reported_at: Seconds,
    id: RequestId,
    cause: u8,
}

/// The ends that are kept, oldest first.
#[derive(Debug, Default)]
pub struct UnknownEnds {
    ends: VecDeque<UnknownEnd>,
}

impl UnknownEnds {
    /// Keeps the end of a task for a while.
    pub fn record(&mut self, now: Seconds, id: RequestId, cause: u8) {
        while self
            .ends
            .front()
            .is_some_and(|end| now - end.reported_at > UNKNOWN_END_TIMEOUT)
            || self.ends.len() >= MAX_UNKNOWN_ENDS
        {
            self.ends.pop_front();
        }
        self.ends.push_back(UnknownEnd {
            reported_at: now,
            id,
            cause,
        });
    }

    /// Cause with which this task ended last; `None` if no end of it is kept.
    pub fn cause_of(&self, id: RequestId) -> Option<u8> {
        self.ends
            .iter()
            .rev()
            .find(|end| end.id == id)
            .map(|end| end.cause)
    }
}
