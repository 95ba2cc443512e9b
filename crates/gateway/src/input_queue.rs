//! Queue of inputs for the next step: completions first, then a bounded number of requests.
//!
//! A step for each input would run the policy once per input, and a burst of set-ups would delay the ends and answers
//! of other requests. So a step takes all completions that have arrived, and a batch of requests, with the connections
//! in turn.
//!
//! An input that ends requests (a client closed its connection, or cancels a request) counts as a completion, so that
//! it doesn't wait behind other requests while an attempt begins. A cancel never overtakes its own set-up: while that
//! one is queued, the cancel waits for it, and both are taken in the same step.

use crate::byte_budget::ByteBudget;
use crate::message::{Message, MessageKind, RequestId};
use crate::{DownstreamId, Input};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum requests per step. Bounds how long completions wait.
const MAX_REQUESTS_PER_STEP: usize = 64;
/// Maximum requests of one connection before the next connection has its turn.
const MAX_REQUESTS_PER_TURN: usize = 8;

/// Number of steps taken when an input was added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepNumber(u64);

/// Queued inputs of one connection, in their order.
#[derive(Debug, Default)]
struct ClientBacklog {
    inputs: VecDeque<Input>,
    /// Ids of the set-ups in `inputs`.
    set_ups: BTreeSet<RequestId>,
    /// Those of these set-ups that are cancelled.
    cancels: BTreeSet<RequestId>,
    /// Memory of `inputs`, in bytes.
    bytes: usize,
}

/// Inputs for the next steps; see the module documentation.
#[derive(Debug, Default)]
pub struct InputQueue {
    /// Inputs of machines and of the discovery stream, and inputs that end requests.
    completions: Vec<Input>,
    requests: BTreeMap<DownstreamId, ClientBacklog>,
    /// Memory of the inputs in `requests`.
    budget: ByteBudget,
    /// Round-robin order of the connections; each one with a backlog is in it once.
    turns: VecDeque<DownstreamId>,
    steps: u64,
    /// Whether the last step took no requests although some were queued.
    skipped_requests: bool,
}

impl InputQueue {
    /// Creates an empty queue. Up to `max_bytes` of requests are to be read ahead of their turn.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            budget: ByteBudget::new(max_bytes),
            ..Self::default()
        }
    }

    /// Adds an input. [`InputQueue::is_drained`] and [`InputQueue::are_completions_taken`] tell whether it was taken.
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
            return self.push_release(client, message.id);
        }
        let backlog = self.requests.entry(client).or_default();
        if backlog.inputs.is_empty() {
            self.turns.push_back(client);
        }
        let bytes = memory_bytes(&input);
        backlog.bytes += bytes;
        self.budget.take(bytes);
        backlog.set_ups.extend(set_up_id(&input));
        backlog.inputs.push_back(input);
        StepNumber(self.steps)
    }

    /// Queues a cancel with its set-up if that is still queued; any other release is a completion. Only its id is kept, as
    /// the parameters of a client's release have no meaning.
    fn push_release(&mut self, client: DownstreamId, id: RequestId) -> StepNumber {
        match self.requests.get_mut(&client) {
            Some(backlog) if backlog.set_ups.contains(&id) => {
                backlog.cancels.insert(id);
                StepNumber(self.steps)
            }
            _ => self.push_completion(release_of(client, id)),
        }
    }

    fn push_completion(&mut self, input: Input) -> StepNumber {
        self.completions.push(input);
        StepNumber(self.steps)
    }

    /// Whether all inputs of this connection up to `until` were taken, so that more can be read from it.
    pub fn is_drained(&self, client: DownstreamId, until: StepNumber) -> bool {
        self.are_completions_taken(until) && !self.requests.contains_key(&client)
    }

    /// Whether all completions up to `until` were taken.
    pub fn are_completions_taken(&self, until: StepNumber) -> bool {
        self.steps > until.0
    }

    /// Number of queued inputs of this connection; completions are not counted.
    pub fn waiting_requests(&self, client: DownstreamId) -> usize {
        self.requests
            .get(&client)
            .map_or(0, |backlog| backlog.inputs.len())
    }

    /// Whether this many bytes of this connection may be read ahead of its turn. A connection without queued inputs may
    /// always be read once.
    pub fn admits(&self, client: DownstreamId, bytes: usize) -> bool {
        let own = self
            .requests
            .get(&client)
            .map_or(0, |backlog| backlog.bytes);
        own == 0 || self.budget.admits(own, bytes)
    }

    /// Memory of the queued requests, in bytes.
    pub fn queued_bytes(&self) -> usize {
        self.budget.used()
    }

    /// Whether no input is queued.
    pub fn is_empty(&self) -> bool {
        self.completions.is_empty() && self.requests.is_empty()
    }

    /// Takes all completions, and no requests.
    pub fn take_completions(&mut self) -> Vec<Input> {
        self.steps += 1;
        std::mem::take(&mut self.completions)
    }

    /// Takes the inputs of the next step: all completions, and a batch of requests if there are no completions or the
    /// last step took no requests because of them.
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
            let bytes = backlog.take_turn(client, max_requests, &mut batch);
            self.budget.give_back(bytes);
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
    /// Moves up to `max_requests` inputs into the batch, and returns their memory. A set-up's queued cancel follows directly
    /// after it.
    fn take_turn(
        &mut self,
        client: DownstreamId,
        max_requests: usize,
        batch: &mut Vec<Input>,
    ) -> usize {
        let count = max_requests.min(self.inputs.len());
        let mut bytes = 0;
        for input in self.inputs.drain(..count) {
            bytes += memory_bytes(&input);
            let set_up = set_up_id(&input);
            batch.push(input);
            if let Some(id) = set_up
                && self.set_ups.remove(&id)
                && self.cancels.remove(&id)
            {
                batch.push(release_of(client, id));
            }
        }
        self.bytes -= bytes;
        bytes
    }
}

/// A client's release, without parameters.
fn release_of(client: DownstreamId, id: RequestId) -> Input {
    Input::DownstreamMessage(client, Message::new(MessageKind::Release, id))
}

/// Memory of a client's input, in bytes.
fn memory_bytes(input: &Input) -> usize {
    let message = match input {
        Input::DownstreamMessage(_, message) => message.memory_bytes(),
        _ => 0,
    };
    size_of::<Input>() + message
}

/// Id of a set-up; `None` for any other input.
fn set_up_id(input: &Input) -> Option<RequestId> {
    match input {
        Input::DownstreamMessage(_, message) if message.kind == MessageKind::SetUp => {
            Some(message.id)
        }
        _ => None,
    }
}
