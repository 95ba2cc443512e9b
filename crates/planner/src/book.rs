//! The tasks that a planner knows, and where their attempts stand.

use std::collections::BTreeMap;
use tidespur_api::task::PlacementRequest;
use tidespur_policy::interface::{MachineId, TaskId};

/// A connection to an edge.
pub type EdgeId = u64;

/// How far a task is.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// An answer is owed; no offer is out.
    Open,
    /// An answer is owed; this attempt is out.
    Out {
        /// Which.
        attempt: u32,
        /// Where.
        node: String,
    },
    /// A node has it.
    Bound {
        /// Which attempt got it there.
        attempt: u32,
        /// Where.
        node: String,
    },
    /// Nothing is owed; the attempt that is out is still waited for.
    Leaving {
        /// Which.
        attempt: u32,
        /// Where.
        node: String,
    },
}

/// A task.
#[derive(Clone, Debug)]
pub struct Known {
    /// What was asked.
    pub ask: PlacementRequest,
    /// Whose it is.
    pub edge: EdgeId,
    /// How far it is.
    pub stage: Stage,
    /// Attempts made.
    pub attempts: u32,
    /// A second run does no harm.
    pub safe: bool,
    /// What nodes answered to attempts that did not place it, last ones last: node and words. Bounded by attempts.
    pub answers: Vec<(String, String)>,
    /// It was told to run.
    pub runs: bool,
}

/// All tasks, by number and by uid. A uid is one task for as long as it is known here.
#[derive(Debug, Default)]
pub struct Book {
    tasks: BTreeMap<TaskId, Known>,
    by_uid: BTreeMap<String, TaskId>,
    next: u64,
}

impl Book {
    /// Takes in a task; `None` if its uid is known already, as a repeated frame would make it.
    pub fn open(
        &mut self,
        ask: PlacementRequest,
        edge: EdgeId,
        safe: bool,
        stage: Stage,
        attempts: u32,
    ) -> Option<TaskId> {
        if self.by_uid.contains_key(&ask.uid) {
            return None;
        }
        self.next += 1;
        let id = TaskId(self.next);
        self.by_uid.insert(ask.uid.clone(), id);
        let known = Known {
            ask,
            edge,
            stage,
            attempts,
            safe,
            answers: Vec::new(),
            runs: false,
        };
        self.tasks.insert(id, known);
        Some(id)
    }

    /// By number.
    pub fn get(&self, id: TaskId) -> Option<&Known> {
        self.tasks.get(&id)
    }

    /// By number.
    pub fn get_mut(&mut self, id: TaskId) -> Option<&mut Known> {
        self.tasks.get_mut(&id)
    }

    /// Number of a uid.
    pub fn id(&self, uid: &str) -> Option<TaskId> {
        self.by_uid.get(uid).copied()
    }

    /// Forgets a task.
    pub fn close(&mut self, id: TaskId) -> Option<Known> {
        let known = self.tasks.remove(&id)?;
        self.by_uid.remove(&known.ask.uid);
        Some(known)
    }

    /// All tasks.
    pub fn iter(&self) -> impl Iterator<Item = (TaskId, &Known)> {
        self.tasks.iter().map(|(id, known)| (*id, known))
    }

    /// Tasks that a node has.
    pub fn bound_at(&self, at: &str) -> Vec<TaskId> {
        let there = |known: &Known| matches!(&known.stage, Stage::Bound { node, .. } if node == at);
        self.tasks
            .iter()
            .filter(|(_, known)| there(known))
            .map(|(id, _)| *id)
            .collect()
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }
}

/// Names of machines, both ways.
#[derive(Debug, Default)]
pub struct Names(BTreeMap<MachineId, String>);

impl Names {
    /// Takes in a node.
    pub fn learn(&mut self, id: MachineId, node: &str) {
        self.0.entry(id).or_insert_with(|| node.to_owned());
    }
    /// Name of a machine.
    pub fn of(&self, id: MachineId) -> Option<&str> {
        self.0.get(&id).map(String::as_str)
    }
}
