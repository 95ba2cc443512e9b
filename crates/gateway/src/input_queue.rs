//! What came and waits to be taken in: what is owed first, and of what is asked only so much at once.
//!
//! Taken in one by one, each message would cost a look of the policy of its own, and a flood of new set-ups would
//! stand before the ends and answers that are owed. So all that came since the last step goes into the next one.
//!
//! What says that a request is not wanted any more (its client has gone, or cancels it) goes with what is owed: it
//! must not wait behind other requests while an attempt begins. A cancel never overtakes its own set-up: while that
//! one waits the cancel waits with it, and both are handed out side by side.

use crate::message::{Message, MessageKind, RequestId};
use crate::{DownstreamId, Input};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Requests that one step takes in; the rest waits for the next. Bounds how long what is owed waits.
const MAX_REQUESTS_PER_STEP: usize = 64;
/// Of one connection so many of them before the next has its turn.
const MAX_REQUESTS_PER_TURN: usize = 8;

/// The place of an input in the order in which they came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sequence(u64);

/// What one connection asks for, in its own order.
#[derive(Debug, Default)]
struct ClientBacklog {
    inputs: VecDeque<Input>,
    set_ups: BTreeSet<RequestId>,
    /// Cancels of set-ups that wait here.
    cancels: BTreeMap<RequestId, Message>,
}

/// Inputs that wait.
#[derive(Debug, Default)]
pub struct InputQueue {
    /// Words of machines and of the discovery stream, and what ends requests.
    completions: Vec<Input>,
    requests: BTreeMap<DownstreamId, ClientBacklog>,
    /// Connections in the order of their turns; each with something that waits stands here once.
    turns: VecDeque<DownstreamId>,
    steps: u64,
    /// The last step took in no requests though some wait.
    skipped_requests: bool,
}

impl InputQueue {
    /// Puts in what came. [`InputQueue::is_drained`] tells when it was taken.
    pub fn push(&mut self, input: Input) -> Sequence {
        let client = match &input {
            Input::DownstreamMessage(client, _)
            | Input::DownstreamMalformed(client)
            | Input::DownstreamClosed(client) => *client,
            _ => return self.put_first(input),
        };
        if let Input::DownstreamMessage(_, message) = &input
            && message.kind == MessageKind::Release
        {
            match self
                .requests
                .get_mut(&client)
                .filter(|waiting| waiting.set_ups.contains(&message.id))
            {
                Some(waiting) => drop(waiting.cancels.insert(message.id, message.clone())),
                None => return self.put_first(input),
            }
            return Sequence(self.steps);
        }
        let waiting = self.requests.entry(client).or_default();
        if waiting.inputs.is_empty() {
            self.turns.push_back(client);
        }
        if let Input::DownstreamMessage(_, message) = &input
            && message.kind == MessageKind::SetUp
        {
            waiting.set_ups.insert(message.id);
        }
        waiting.inputs.push_back(input);
        Sequence(self.steps)
    }

    fn put_first(&mut self, input: Input) -> Sequence {
        self.completions.push(input);
        Sequence(self.steps)
    }

    /// Whether all that this connection put in until then was taken: it may be read on.
    pub fn is_drained(&self, client: DownstreamId, until: Sequence) -> bool {
        self.is_step_past(until) && !self.requests.contains_key(&client)
    }

    /// Whether what went first then was taken.
    pub fn is_step_past(&self, until: Sequence) -> bool {
        self.steps > until.0
    }

    /// Requests of this connection that wait.
    pub fn waiting_requests(&self, client: DownstreamId) -> usize {
        self.requests
            .get(&client)
            .map_or(0, |waiting| waiting.inputs.len())
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.completions.is_empty() && self.requests.is_empty()
    }

    /// All that goes first.
    pub fn take_completions(&mut self) -> Vec<Input> {
        self.steps += 1;
        std::mem::take(&mut self.completions)
    }

    /// What the next step takes in: all that goes first, and if nothing does, or requests were passed over for it the
    /// last time, the next requests, by turns.
    pub fn take_batch(&mut self) -> Vec<Input> {
        let mut taken = self.take_completions();
        self.skipped_requests =
            !taken.is_empty() && !self.requests.is_empty() && !self.skipped_requests;
        if self.skipped_requests {
            return taken;
        }
        let max_taken = taken.len() + MAX_REQUESTS_PER_STEP;
        while taken.len() < max_taken
            && let Some(client) = self.turns.pop_front()
        {
            let Some(waiting) = self.requests.get_mut(&client) else {
                continue;
            };
            let count = MAX_REQUESTS_PER_TURN
                .min(max_taken - taken.len())
                .min(waiting.inputs.len());
            for input in waiting.inputs.drain(..count) {
                let id = match &input {
                    Input::DownstreamMessage(_, message) if message.kind == MessageKind::SetUp => {
                        Some(message.id)
                    }
                    _ => None,
                };
                taken.push(input);
                if let Some(id) = id.filter(|id| waiting.set_ups.remove(id)) {
                    let cancel = waiting.cancels.remove(&id);
                    taken.extend(cancel.map(|message| Input::DownstreamMessage(client, message)));
                }
            }
            if waiting.inputs.is_empty() {
                self.requests.remove(&client);
            } else {
                self.turns.push_back(client);
            }
        }
        taken
    }
}
