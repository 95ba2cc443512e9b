//! Table of pending requests and placed tasks, indexed by task, client, machine and attempt deadline.
//!
//! Owned by the gateway. All changes of a request's state go through the table, which keeps its indexes consistent.

mod pending_memory;
mod request;
mod unknown_ends;

pub use request::{Attempt, Request, RequestState};

use pending_memory::PendingMemory;

use crate::message::{Parameters, RequestId};
use crate::{DownstreamId, UpstreamId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use tidespur_policy::interface::{MachineId, Seconds, TaskId};
use unknown_ends::UnknownEnds;

/// All requests; see the module documentation.
#[derive(Debug, Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    ids: BTreeMap<TaskId, RequestId>,
    pending_by_client: BTreeSet<(DownstreamId, RequestId)>,
    pending_memory: PendingMemory,
    placed_by_machine: BTreeSet<(MachineId, RequestId)>,
    /// Deadlines of attempts, in microseconds.
    attempt_deadlines: BTreeSet<(u64, RequestId)>,
    unknown_ends: UnknownEnds,
    last_task_id: u64,
}

/// Converts a time to whole microseconds, as a key of ordered indexes. A negative time becomes 0.
pub fn micros(at: Seconds) -> u64 {
    (at.max(0.0) * 1e6) as u64
}

impl RequestTable {
    /// Creates an empty table, with a limit on the memory of pending requests.
    pub fn new(max_pending_bytes: usize) -> Self {
        Self {
            pending_memory: PendingMemory::new(max_pending_bytes),
            ..Self::default()
        }
    }

    /// Whether the memory of pending requests has room for this one.
    pub fn has_memory_for(&self, request: &Request) -> bool {
        self.pending_memory
            .admits(request.client, request.pending_bytes())
    }

    /// Memory that pending requests may use now, in bytes.
    pub fn pending_bytes(&self) -> usize {
        self.pending_memory.used()
    }

    /// Number of requests, pending or placed.
    pub fn count(&self) -> usize {
        self.requests.len()
    }

    /// Ids of the requests whose owners wait for an answer.
    pub fn pending(&self) -> Vec<RequestId> {
        self.pending_by_client.iter().map(|&(_, id)| id).collect()
    }

    /// Number of requests whose owners wait for an answer.
    pub fn pending_count(&self) -> usize {
        self.pending_by_client.len()
    }

    /// Number of placed tasks.
    pub fn placed_count(&self) -> usize {
        self.placed_by_machine.len()
    }

    /// Assigns the id of a new task, from 1.
    pub fn new_task_id(&mut self) -> TaskId {
        self.last_task_id += 1;
        TaskId(self.last_task_id)
    }

    /// Returns the request with this id; `None` if it has ended.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// Id of a task's request; `None` if it has ended.
    pub fn id_of_task(&self, task: TaskId) -> Option<RequestId> {
        self.ids.get(&task).copied()
    }

    /// Adds a request under an id that is not in use.
    pub fn add(&mut self, id: RequestId, request: Request) {
        self.ids.insert(request.task, id);
        self.insert_into_indexes(id, request.client, request.state);
        if request.is_pending() {
            self.pending_memory
                .add(request.client, request.pending_bytes());
        }
        self.requests.insert(id, request);
    }

    fn insert_into_indexes(&mut self, id: RequestId, client: DownstreamId, state: RequestState) {
        match state {
            RequestState::Pending { attempt, .. } => {
                self.pending_by_client.insert((client, id));
                if let Some(attempt) = attempt {
                    self.attempt_deadlines
                        .insert((micros(attempt.deadline), id));
                }
            }
            RequestState::Placed { machine, .. } => {
                self.placed_by_machine.insert((machine, id));
            }
        }
    }

    fn remove_from_indexes(&mut self, id: RequestId, client: DownstreamId, state: RequestState) {
        match state {
            RequestState::Pending { attempt, .. } => {
                self.pending_by_client.remove(&(client, id));
                if let Some(attempt) = attempt {
                    self.attempt_deadlines
                        .remove(&(micros(attempt.deadline), id));
                }
            }
            RequestState::Placed { machine, .. } => {
                self.placed_by_machine.remove(&(machine, id));
            }
        }
    }

    /// Changes the state of a request, if it has not ended.
    pub fn set_state(&mut self, id: RequestId, state: RequestState) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let client = request.client;
        let pending_bytes = request.pending_bytes();
        let was_pending = request.is_pending();
        let previous = std::mem::replace(&mut request.state, state);
        if was_pending && !request.is_pending() {
            request.forwarded = Parameters::default();
            self.pending_memory.remove(client, pending_bytes);
        }
        self.remove_from_indexes(id, client, previous);
        self.insert_into_indexes(id, client, state);
    }

    /// Changes the machine that a placed task is on.
    pub fn move_placed(&mut self, id: RequestId, successor: MachineId) {
        let Some(mut state) = self.get(id).map(|request| request.state) else {
            return;
        };
        if let RequestState::Placed { machine, .. } = &mut state {
            *machine = successor;
            self.set_state(id, state);
        }
    }

    /// Counts a new attempt and returns its number, from 0.
    pub fn count_attempt(&mut self, id: RequestId) -> u32 {
        self.requests.get_mut(&id).map_or(0, |request| {
            request.attempts += 1;
            request.attempts - 1
        })
    }

    /// Whether a request's current attempt uses this connection.
    pub fn is_attempt_on(&self, id: RequestId, upstream: UpstreamId) -> bool {
        let state = self.requests.get(&id).map(|request| request.state);
        matches!(state, Some(RequestState::Pending { attempt: Some(attempt), .. }) if attempt.upstream == upstream)
    }

    /// Records the time of the first attempt that may have run; does nothing if one is recorded already.
    pub fn record_first_attempt(&mut self, now: Seconds, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.first_attempt_at.get_or_insert(now);
        }
    }

    /// Clears the time of the first attempt, as no attempt has run.
    pub fn clear_first_attempt(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.first_attempt_at = None;
        }
    }

    /// Moves a placed task to the connection on which its owner reconnected.
    pub fn rebind_client(&mut self, id: RequestId, client: DownstreamId, address: Option<IpAddr>) {
        if let Some(request) = self.requests.get_mut(&id)
            && matches!(request.state, RequestState::Placed { .. })
        {
            request.client = client;
            request.client_address = address.or(request.client_address);
        }
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.ids.remove(&request.task);
        if request.is_pending() {
            self.pending_memory
                .remove(request.client, request.pending_bytes());
        }
        self.remove_from_indexes(id, request.client, request.state);
        Some(request)
    }

    /// Ids of the pending requests of a client connection.
    pub fn pending_of_client(&self, client: DownstreamId) -> Vec<RequestId> {
        let range = (client, RequestId(0))..=(client, RequestId(u64::MAX));
        self.pending_by_client
            .range(range)
            .map(|&(_, id)| id)
            .collect()
    }

    /// Ids of the tasks placed on a machine.
    pub fn placed_at_machine(&self, machine: MachineId) -> Vec<RequestId> {
        let range = (machine, RequestId(0))..=(machine, RequestId(u64::MAX));
        self.placed_by_machine
            .range(range)
            .map(|&(_, id)| id)
            .collect()
    }

    /// Ids of the requests whose current attempt has passed its deadline.
    pub fn overdue_attempts(&self, now: Seconds) -> Vec<RequestId> {
        self.attempt_deadlines
            .range(..=(micros(now), RequestId(u64::MAX)))
            .map(|&(_, id)| id)
            .collect()
    }

    /// Earliest deadline of a current attempt, in microseconds.
    pub fn next_attempt_deadline(&self) -> Option<u64> {
        self.attempt_deadlines.first().map(|&(at, _)| at)
    }

    /// Ends of tasks that are unknown here.
    pub fn unknown_ends(&mut self) -> &mut UnknownEnds {
        &mut self.unknown_ends
    }
}
