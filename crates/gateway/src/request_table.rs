//! Requests: which id is which task, what is out for it, where it stands, and whether its owner has its answer.

mod request;

pub use request::{Attempt, Request, RequestState};

use crate::message::RequestId;
use crate::{DownstreamId, UpstreamId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;
use tidespur_policy::interface::{MachineId, Seconds, TaskId};

/// Ends of tasks that are not ours are kept in mind for so long, and so many of them.
const UNKNOWN_END_TIMEOUT: Seconds = 30.0;
const MAX_UNKNOWN_ENDS: usize = 4_096;

/// All requests.
#[derive(Debug, Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    ids: BTreeMap<TaskId, RequestId>,
    /// Open requests of a connection, tasks that stand at a machine.
    pending_by_client: BTreeSet<(DownstreamId, RequestId)>,
    placed_by_machine: BTreeSet<(MachineId, RequestId)>,
    attempt_deadlines: BTreeSet<(u64, RequestId)>,
    unknown_ends: VecDeque<(Seconds, RequestId, u8)>,
    next: u64,
}

/// Microseconds, to sort points in time by.
pub fn micros(at: Seconds) -> u64 {
    (at.max(0.0) * 1e6) as u64
}

impl RequestTable {
    /// Requests there are.
    pub fn count(&self) -> usize {
        self.requests.len()
    }

    /// Those whose owner waits.
    pub fn pending(&self) -> Vec<RequestId> {
        self.pending_by_client.iter().map(|&(_, id)| id).collect()
    }

    /// The number of those whose owner waits.
    pub fn pending_count(&self) -> usize {
        self.pending_by_client.len()
    }

    /// A number for a new task.
    pub fn new_task_id(&mut self) -> TaskId {
        self.next += 1;
        TaskId(self.next)
    }

    /// The request of this id.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// The id of a task.
    pub fn id_of_task(&self, task: TaskId) -> Option<RequestId> {
        self.ids.get(&task).copied()
    }

    /// Takes in a request.
    pub fn add(&mut self, id: RequestId, request: Request) {
        self.ids.insert(request.task, id);
        self.insert_into_indexes(id, request.client, request.state);
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

    /// Brings a request to another stage.
    pub fn set_state(&mut self, id: RequestId, stage: RequestState) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let (client, old) = (request.client, std::mem::replace(&mut request.state, stage));
        self.remove_from_indexes(id, client, old);
        self.insert_into_indexes(id, client, stage);
    }

    /// Counts an attempt; tells its number.
    pub fn count_attempt(&mut self, id: RequestId) -> u32 {
        self.requests.get_mut(&id).map_or(0, |request| {
            request.attempts += 1;
            request.attempts - 1
        })
    }

    /// Whether the attempt that is out for a request is on this connection.
    pub fn is_attempt_on(&self, id: RequestId, upstream: UpstreamId) -> bool {
        let stage = self.requests.get(&id).map(|request| request.state);
        matches!(stage, Some(RequestState::Pending { attempt: Some(attempt), .. }) if attempt.upstream == upstream)
    }

    /// An attempt begins; the first one counts, until it is known not to have run.
    pub fn record_first_attempt(&mut self, now: Seconds, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.first_attempt_at.get_or_insert(now);
        }
    }

    /// No attempt has run.
    pub fn clear_first_attempt(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.first_attempt_at = None;
        }
    }

    /// The owner of a task that stands came back by another connection.
    pub fn rebind_client(&mut self, id: RequestId, client: DownstreamId, from: Option<IpAddr>) {
        if let Some(request) = self.requests.get_mut(&id)
            && matches!(request.state, RequestState::Placed { .. })
        {
            (request.client, request.from) = (client, from.or(request.from));
        }
    }

    /// Forgets a request.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.ids.remove(&request.task);
        self.remove_from_indexes(id, request.client, request.state);
        Some(request)
    }

    /// Open requests of a connection.
    pub fn pending_of_client(&self, client: DownstreamId) -> Vec<RequestId> {
        let range = (client, RequestId(0))..=(client, RequestId(u64::MAX));
        self.pending_by_client
            .range(range)
            .map(|&(_, id)| id)
            .collect()
    }

    /// Tasks that stand at a machine.
    pub fn placed_at_machine(&self, machine: MachineId) -> Vec<RequestId> {
        let range = (machine, RequestId(0))..=(machine, RequestId(u64::MAX));
        self.placed_by_machine
            .range(range)
            .map(|&(_, id)| id)
            .collect()
    }

    /// Attempts whose time is over.
    pub fn overdue_attempts(&self, now: Seconds) -> Vec<RequestId> {
        self.attempt_deadlines
            .range(..=(micros(now), RequestId(u64::MAX)))
            .map(|&(_, id)| id)
            .collect()
    }

    /// When the next attempt's time is over.
    pub fn next_attempt_deadline(&self) -> Option<u64> {
        self.attempt_deadlines.first().map(|&(at, _)| at)
    }

    /// A machine told the end of a task that is not known here: it may be handed over only now.
    pub fn record_unknown_end(&mut self, now: Seconds, id: RequestId, cause: u8) {
        while self
            .unknown_ends
            .front()
            .is_some_and(|&(at, ..)| now - at > UNKNOWN_END_TIMEOUT)
            || self.unknown_ends.len() >= MAX_UNKNOWN_ENDS
        {
            self.unknown_ends.pop_front();
        }
        self.unknown_ends.push_back((now, id, cause));
    }

    /// The cause with which a machine told the end of this task, where it did before the task was handed over.
    pub fn unknown_end_cause(&self, id: RequestId) -> Option<u8> {
        self.unknown_ends
            .iter()
            .rev()
            .find(|&&(_, ended, _)| ended == id)
            .map(|&(.., cause)| cause)
    }
}
