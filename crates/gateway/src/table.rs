//! Requests: which id is which task, what is out for it, where it stands, and whether its owner has its answer.

use crate::message::Id;
use crate::{DownstreamId, UpstreamId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;
use tidespur_policy::interface::{MachineId, Seconds, TaskId};

/// Ends of tasks that are not ours are kept in mind for so long, and so many of them.
const ENDED_FOR: Seconds = 30.0;
const ENDED_MOST: usize = 4_096;

/// The attempt that is out.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Its number.
    pub number: u32,
    /// The connection that carries it.
    pub line: UpstreamId,
    /// When it times out.
    pub until: Seconds,
}

/// Where a request is.
#[derive(Clone, Copy, Debug)]
pub enum Stage {
    /// Its owner waits.
    Open {
        /// The attempt that is out.
        attempt: Option<Attempt>,
        /// An earlier attempt may have run.
        may_have_run: bool,
    },
    /// The task stands.
    Standing {
        /// At this machine,
        machine: MachineId,
        /// by this attempt,
        attempt: u32,
        /// since it was offered, or handed over.
        since: Seconds,
    },
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The policy's name for it.
    pub task: TaskId,
    /// The connection of its set-up, or by which its owner came back; it may have gone.
    pub client: DownstreamId,
    /// The address it came from.
    pub from: Option<IpAddr>,
    /// Where it is.
    pub stage: Stage,
    /// The class's index in the settings.
    pub class_index: usize,
    /// What a machine is sent, but for the wait: code and value, in the owner's order.
    pub passed: Vec<(u8, Vec<u8>)>,
    /// Attempts made.
    pub sends: u32,
    /// When the first attempt that may have run began.
    pub began: Option<Seconds>,
}

/// All requests.
#[derive(Debug, Default)]
pub struct RequestTable {
    requests: BTreeMap<Id, Request>,
    ids: BTreeMap<TaskId, Id>,
    /// Open requests of a connection, tasks that stand at a machine.
    of_client: BTreeSet<(DownstreamId, Id)>,
    at_machine: BTreeSet<(MachineId, Id)>,
    untils: BTreeSet<(u64, Id)>,
    ended: VecDeque<(Seconds, Id, u8)>,
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
    pub fn open(&self) -> Vec<Id> {
        self.of_client.iter().map(|&(_, id)| id).collect()
    }

    /// The number of those whose owner waits.
    pub fn waiting(&self) -> usize {
        self.of_client.len()
    }

    /// A number for a new task.
    pub fn number(&mut self) -> TaskId {
        self.next += 1;
        TaskId(self.next)
    }

    /// The request of this id.
    pub fn get(&self, id: Id) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// The id of a task.
    pub fn id(&self, task: TaskId) -> Option<Id> {
        self.ids.get(&task).copied()
    }

    /// Takes in a request.
    pub fn add(&mut self, id: Id, request: Request) {
        self.ids.insert(request.task, id);
        self.index(id, request.client, request.stage, true);
        self.requests.insert(id, request);
    }

    fn index(&mut self, id: Id, client: DownstreamId, stage: Stage, add: bool) {
        match stage {
            Stage::Open { attempt, .. } => {
                let until = attempt.map(|attempt| (micros(attempt.until), id));
                if add {
                    self.of_client.insert((client, id));
                    self.untils.extend(until);
                } else {
                    self.of_client.remove(&(client, id));
                    until.map(|until| self.untils.remove(&until));
                }
            }
            Stage::Standing { machine, .. } if add => drop(self.at_machine.insert((machine, id))),
            Stage::Standing { machine, .. } => drop(self.at_machine.remove(&(machine, id))),
        }
    }

    /// Brings a request to another stage.
    pub fn put(&mut self, id: Id, stage: Stage) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let (client, old) = (request.client, std::mem::replace(&mut request.stage, stage));
        self.index(id, client, old, false);
        self.index(id, client, stage, true);
    }

    /// Counts an attempt; tells its number.
    pub fn sends(&mut self, id: Id) -> u32 {
        self.requests.get_mut(&id).map_or(0, |request| {
            request.sends += 1;
            request.sends - 1
        })
    }

    /// Whether the attempt that is out for a request is on this connection.
    pub fn is_out(&self, id: Id, line: UpstreamId) -> bool {
        let stage = self.requests.get(&id).map(|request| request.stage);
        matches!(stage, Some(Stage::Open { attempt: Some(attempt), .. }) if attempt.line == line)
    }

    /// An attempt begins; the first one counts, until it is known not to have run.
    pub fn begins(&mut self, now: Seconds, id: Id) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.began.get_or_insert(now);
        }
    }

    /// No attempt has run.
    pub fn has_not_run(&mut self, id: Id) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.began = None;
        }
    }

    /// The owner of a task that stands came back by another connection.
    pub fn reached_by(&mut self, id: Id, client: DownstreamId, from: Option<IpAddr>) {
        if let Some(request) = self.requests.get_mut(&id)
            && matches!(request.stage, Stage::Standing { .. })
        {
            (request.client, request.from) = (client, from.or(request.from));
        }
    }

    /// Forgets a request.
    pub fn remove(&mut self, id: Id) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.ids.remove(&request.task);
        self.index(id, request.client, request.stage, false);
        Some(request)
    }

    /// Open requests of a connection.
    pub fn of_client(&self, client: DownstreamId) -> Vec<Id> {
        let range = (client, Id(0))..=(client, Id(u64::MAX));
        self.of_client.range(range).map(|&(_, id)| id).collect()
    }

    /// Tasks that stand at a machine.
    pub fn at_machine(&self, machine: MachineId) -> Vec<Id> {
        let range = (machine, Id(0))..=(machine, Id(u64::MAX));
        self.at_machine.range(range).map(|&(_, id)| id).collect()
    }

    /// Attempts whose time is over.
    pub fn late(&self, now: Seconds) -> Vec<Id> {
        self.untils
            .range(..=(micros(now), Id(u64::MAX)))
            .map(|&(_, id)| id)
            .collect()
    }

    /// When the next attempt's time is over.
    pub fn next_late(&self) -> Option<u64> {
        self.untils.first().map(|&(at, _)| at)
    }

    /// A machine told the end of a task that is not known here: it may be handed over only now.
    pub fn ended_elsewhere(&mut self, now: Seconds, id: Id, cause: u8) {
        while self
            .ended
            .front()
            .is_some_and(|&(at, ..)| now - at > ENDED_FOR)
            || self.ended.len() >= ENDED_MOST
        {
            self.ended.pop_front();
        }
        self.ended.push_back((now, id, cause));
    }

    /// The cause with which a machine told the end of this task, where it did before the task was handed over.
    pub fn has_ended(&self, id: Id) -> Option<u8> {
        self.ended
            .iter()
            .rev()
            .find(|&&(_, ended, _)| ended == id)
            .map(|&(.., cause)| cause)
    }
}
