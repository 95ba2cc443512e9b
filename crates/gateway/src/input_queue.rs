//! What came and waits to be taken in: what is owed first, and of what is asked only so much at once.
//!
//! Taken in one by one, each message would cost a look of the policy of its own, and a flood of new set-ups would
//! stand before the ends and answers that are owed. So all that came since the last step goes into the next one.
//!
//! What says that a request is not wanted any more (its client has gone, or cancels it) goes with what is owed: it
//! must not wait behind other requests while an attempt begins. A cancel never overtakes its own set-up: while that
//! one waits the cancel waits with it, and both are handed out side by side.

use crate::message::{Id, Kind, Message};
use crate::{DownstreamId, Input};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Requests that one step takes in; the rest waits for the next. Bounds how long what is owed waits.
const REQUESTS_AT_ONCE: usize = 64;
/// Of one connection so many of them before the next has its turn.
const IN_A_ROW: usize = 8;

/// The place of an input in the order in which they came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sequence(u64);

/// What one connection asks for, in its own order.
#[derive(Debug, Default)]
struct Waiting {
    inputs: VecDeque<Input>,
    set_ups: BTreeSet<Id>,
    /// Cancels of set-ups that wait here.
    cancels: BTreeMap<Id, Message>,
}

/// Inputs that wait.
#[derive(Debug, Default)]
pub struct InputQueue {
    /// Words of machines and of the discovery stream, and what ends requests.
    completions: Vec<Input>,
    requests: BTreeMap<DownstreamId, Waiting>,
    /// Connections in the order of their turns; each with something that waits stands here once.
    turns: VecDeque<DownstreamId>,
    rounds: u64,
    /// The last step took in no requests though some wait.
    passed_over: bool,
}

impl InputQueue {
    /// Puts in what came. [`InputQueue::taken`] tells when it was taken.
    pub fn put(&mut self, input: Input) -> Sequence {
        let client = match &input {
            Input::DownstreamSaid(client, _)
            | Input::DownstreamMalformed(client)
            | Input::DownstreamClosed(client) => *client,
            _ => return self.put_first(input),
        };
        if let Input::DownstreamSaid(_, message) = &input
            && message.kind == Kind::Release
        {
            match self
                .requests
                .get_mut(&client)
                .filter(|waiting| waiting.set_ups.contains(&message.id))
            {
                Some(waiting) => drop(waiting.cancels.insert(message.id, message.clone())),
                None => return self.put_first(input),
            }
            return Sequence(self.rounds);
        }
        let waiting = self.requests.entry(client).or_default();
        if waiting.inputs.is_empty() {
            self.turns.push_back(client);
        }
        if let Input::DownstreamSaid(_, message) = &input
            && message.kind == Kind::SetUp
        {
            waiting.set_ups.insert(message.id);
        }
        waiting.inputs.push_back(input);
        Sequence(self.rounds)
    }

    fn put_first(&mut self, input: Input) -> Sequence {
        self.completions.push(input);
        Sequence(self.rounds)
    }

    /// Whether all that this connection put in until then was taken: it may be read on.
    pub fn taken(&self, client: DownstreamId, until: Sequence) -> bool {
        self.passed(until) && !self.requests.contains_key(&client)
    }

    /// Whether what went first then was taken.
    pub fn passed(&self, until: Sequence) -> bool {
        self.rounds > until.0
    }

    /// Requests of this connection that wait.
    pub fn waits(&self, client: DownstreamId) -> usize {
        self.requests
            .get(&client)
            .map_or(0, |waiting| waiting.inputs.len())
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.completions.is_empty() && self.requests.is_empty()
    }

    /// All that goes first.
    pub fn take_first(&mut self) -> Vec<Input> {
        self.rounds += 1;
        std::mem::take(&mut self.completions)
    }

    /// What the next step takes in: all that goes first, and if nothing does, or requests were passed over for it the
    /// last time, the next requests, by turns.
    pub fn take(&mut self) -> Vec<Input> {
        let mut taken = self.take_first();
        self.passed_over = !taken.is_empty() && !self.requests.is_empty() && !self.passed_over;
        if self.passed_over {
            return taken;
        }
        let most = taken.len() + REQUESTS_AT_ONCE;
        while taken.len() < most
            && let Some(client) = self.turns.pop_front()
        {
            let Some(waiting) = self.requests.get_mut(&client) else {
                continue;
            };
            let many = IN_A_ROW.min(most - taken.len()).min(waiting.inputs.len());
            for input in waiting.inputs.drain(..many) {
                let id = match &input {
                    Input::DownstreamSaid(_, message) if message.kind == Kind::SetUp => {
                        Some(message.id)
                    }
                    _ => None,
                };
                taken.push(input);
                if let Some(id) = id.filter(|id| waiting.set_ups.remove(id)) {
                    let cancel = waiting.cancels.remove(&id);
                    taken.extend(cancel.map(|message| Input::DownstreamSaid(client, message)));
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
