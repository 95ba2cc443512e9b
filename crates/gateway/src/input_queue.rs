//! The queue of inputs that wait for the next step: completions first, then a bounded number of requests.
//!
//! If each input had a step of its own, each would cost a run of the policy, and a flood of set-ups would delay the ends
//! and answers of other requests. So a step takes all completions that have arrived, and requests by turns.
//!
//! An input that ends requests (a client has gone, or cancels one) is a completion: it must not wait behind other
//! requests while an attempt begins. A cancel never overtakes its own set-up: while that one waits the cancel waits
//! with it, and both are taken together.

use crate::message::{Message, MessageKind, RequestId};
use crate::{DownstreamId, Input};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Requests that one step takes; the others wait for the next. Bounds how long completions wait.
const MAX_REQUESTS_PER_STEP: usize = 64;
/// Requests of one connection that are taken before the next connection has its turn.
const MAX_REQUESTS_PER_TURN: usize = 8;

/// The step before which an input was added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepNumber(u64);

/// The inputs of one connection that wait, in their order.
#[derive(Debug, Default)]
struct ClientBacklog {
    inputs: VecDeque<Input>,
    set_ups: BTreeSet<RequestId>,
    /// Cancels of the set-ups that wait here.
    cancels: BTreeMap<RequestId, Message>,
}

/// The inputs that wait for the next step.
#[derive(Debug, Default)]
pub struct InputQueue {
    /// Inputs of machines and of the discovery stream, and those that end requests.
    completions: Vec<Input>,
    requests: BTreeMap<DownstreamId, ClientBacklog>,
    /// Connections in the order of their turns; each one with a backlog is here once.
    turns: VecDeque<DownstreamId>,
    steps: u64,
    /// Whether the last step took no requests though some waited.
    skipped_requests: bool,
}

impl InputQueue {
    /// Adds an input. [`InputQueue::is_drained`] and [`InputQueue::are_completions_taken`] tell when it was taken.
    pub fn push(&mut self, input: Input) -> StepNumber {
        let client = match &input {
            Input::DownstreamMessage(client, _)
            | Input::DownstreamMalformed(client)
            | Input::DownstreamClosed(client) => *client,
            _ => return self.push_completion(input),
        };
        if let Input::DownstreamMessage(_, message) = &input
            && message.kind == MessageKind::Release
        {
            return self.push_release(client, message.clone());
        }
        let backlog = self.requests.entry(client).or_default();
        if backlog.inputs.is_empty() {
            self.turns.push_back(client);
        }
        backlog.set_ups.extend(set_up_id(&input));
        backlog.inputs.push_back(input);
        StepNumber(self.steps)
    }

    /// A cancel waits for its set-up if that one waits; any other release is a completion.
    fn push_release(&mut self, client: DownstreamId, message: Message) -> StepNumber {
        match self.requests.get_mut(&client) {
            Some(backlog) if backlog.set_ups.contains(&message.id) => {
                backlog.cancels.insert(message.id, message);
                StepNumber(self.steps)
            }
            _ => self.push_completion(Input::DownstreamMessage(client, message)),
        }
    }

    fn push_completion(&mut self, input: Input) -> StepNumber {
        self.completions.push(input);
        StepNumber(self.steps)
    }

    /// Whether all that was added for this connection until `until` was taken, so that more can be read from it.
    pub fn is_drained(&self, client: DownstreamId, until: StepNumber) -> bool {
        self.are_completions_taken(until) && !self.requests.contains_key(&client)
    }

    /// Whether the completions that were added until `until` were taken.
    pub fn are_completions_taken(&self, until: StepNumber) -> bool {
        self.steps > until.0
    }

    /// The number of inputs of this connection that wait.
    pub fn waiting_requests(&self, client: DownstreamId) -> usize {
        self.requests
            .get(&client)
            .map_or(0, |waiting| waiting.inputs.len())
    }

    /// Whether no input waits.
    pub fn is_empty(&self) -> bool {
        self.completions.is_empty() && self.requests.is_empty()
    }

    /// Takes all completions.
    pub fn take_completions(&mut self) -> Vec<Input> {
        self.steps += 1;
        std::mem::take(&mut self.completions)
    }

    /// The inputs of the next step: all completions and, if there are none or the last step skipped the requests for
    /// them, the next requests, in turns of the connections.
    pub fn take_batch(&mut self) -> Vec<Input> {
        let mut batch = self.take_completions();
        self.skipped_requests =
            !batch.is_empty() && !self.requests.is_empty() && !self.skipped_requests;
        if self.skipped_requests {
            return batch;
        }
        let max_inputs = batch.len() + MAX_REQUESTS_PER_STEP;
        while batch.len() < max_inputs
            && let Some(client) = self.turns.pop_front()
        {
            let Some(backlog) = self.requests.get_mut(&client) else {
                continue;
            };
            let max_requests = MAX_REQUESTS_PER_TURN.min(max_inputs - batch.len());
            backlog.take_turn(client, max_requests, &mut batch);
            if backlog.inputs.is_empty() {
                self.requests.remove(&client);
            } else {
                self.turns.push_back(client);
            }
        }
        batch
    }
}

impl ClientBacklog {
    /// Moves up to `max_requests` inputs into the batch, each set-up with the cancel that waits for it behind it.
    fn take_turn(&mut self, client: DownstreamId, max_requests: usize, batch: &mut Vec<Input>) {
        let count = max_requests.min(self.inputs.len());
        for input in self.inputs.drain(..count) {
            let set_up = set_up_id(&input);
            batch.push(input);
            if let Some(id) = set_up
                && self.set_ups.remove(&id)
                && let Some(cancel) = self.cancels.remove(&id)
            {
                batch.push(Input::DownstreamMessage(client, cancel));
            }
        }
    }
}

/// The id of a set-up; `None` for any other input.
fn set_up_id(input: &Input) -> Option<RequestId> {
    match input {
        Input::DownstreamMessage(_, message) if message.kind == MessageKind::SetUp => {
            Some(message.id)
        }
        _ => None,
    }
}
