//! The tasks that a planner is responsible for, and the state of their attempts. Owned by [`crate::core::Core`].

use crate::pod::PodName;
use std::collections::BTreeMap;
use tidespur_api::task::PlacementRequest;
use tidespur_policy::interface::TaskId;

/// The connection to an edge's address. It keeps its id when it is opened again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EdgeId(pub u64);

/// The stage of a task.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// Its edge is owed an answer; no attempt is in flight.
    Pending,
    /// Its edge is owed an answer; this attempt is in flight.
    Offered {
        /// Number of the attempt.
        attempt: u32,
        /// The node that it was offered to.
        node: String,
    },
    /// A node has accepted it.
    Placed {
        /// Number of the attempt that the node accepted.
        attempt: u32,
        /// The node.
        node: String,
    },
    /// Its edge is owed nothing any more; the attempt in flight still has to end.
    Draining {
        /// Number of the attempt.
        attempt: u32,
        /// The node that it was offered to.
        node: String,
    },
}

/// A task.
#[derive(Clone, Debug)]
pub struct TaskRecord {
    /// The edge's request.
    pub request: PlacementRequest,
    /// The edge that is told of it.
    pub edge: EdgeId,
    /// Its stage.
    pub stage: Stage,
    /// Number of attempts so far.
    pub attempt_count: u32,
    /// Whether it may run twice without harm.
    pub is_idempotent: bool,
    /// The last answers of nodes that did not accept it, oldest first: node and message, as
    /// [`tidespur_pending::ReasonUpdate`] has them. At most [`MAX_NODE_ANSWERS`].
    pub node_answers: Vec<(String, String)>,
    /// Whether its edge was told that it runs.
    pub is_running: bool,
}

/// The most answers of nodes that are kept for one task.
pub const MAX_NODE_ANSWERS: usize = 4;

impl TaskRecord {
    /// Name of its Pod at nodes.
    pub fn pod_name(&self) -> PodName {
        PodName::new(&self.request.tenant, &self.request.name)
    }

    /// Keeps the answer of a node that did not accept it; the oldest one gives way to it.
    pub fn add_node_answer(&mut self, node: &str, message: String) {
        if self.node_answers.len() >= MAX_NODE_ANSWERS {
            self.node_answers.remove(0);
        }
        self.node_answers.push((node.to_owned(), message));
    }
}

/// All tasks, by id and by uid. As long as a uid is in the table it stands for one task.
#[derive(Debug, Default)]
pub struct TaskTable {
    tasks: BTreeMap<TaskId, TaskRecord>,
    by_uid: BTreeMap<String, TaskId>,
    last_id: u64,
}

impl TaskTable {
    /// Adds a task; `None` where its uid is in the table already, as after a repeated message.
    pub fn insert(
        &mut self,
        request: PlacementRequest,
        edge: EdgeId,
        is_idempotent: bool,
        stage: Stage,
        attempt_count: u32,
    ) -> Option<TaskId> {
        if self.by_uid.contains_key(&request.uid) {
            return None;
        }
        self.last_id += 1;
        let id = TaskId(self.last_id);
        self.by_uid.insert(request.uid.clone(), id);
        let record = TaskRecord {
            request,
            edge,
            stage,
            attempt_count,
            is_idempotent,
            node_answers: Vec::new(),
            is_running: false,
        };
        self.tasks.insert(id, record);
        Some(id)
    }

    /// The task of an id.
    pub fn get(&self, id: TaskId) -> Option<&TaskRecord> {
        self.tasks.get(&id)
    }

    /// The task of an id.
    pub fn get_mut(&mut self, id: TaskId) -> Option<&mut TaskRecord> {
        self.tasks.get_mut(&id)
    }

    /// The id of a uid.
    pub fn id_of(&self, uid: &str) -> Option<TaskId> {
        self.by_uid.get(uid).copied()
    }

    /// Removes a task.
    pub fn remove(&mut self, id: TaskId) -> Option<TaskRecord> {
        let record = self.tasks.remove(&id)?;
        self.by_uid.remove(&record.request.uid);
        Some(record)
    }

    /// All tasks, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (TaskId, &TaskRecord)> {
        self.tasks.iter().map(|(id, record)| (*id, record))
    }

    /// The tasks that a node has accepted.
    pub fn placed_at(&self, at: &str) -> Vec<TaskId> {
        self.iter()
            .filter(|(_, record)| matches!(&record.stage, Stage::Placed { node, .. } if node == at))
            .map(|(id, _)| id)
            .collect()
    }

    /// Whether a node has accepted this task.
    pub fn is_placed_at(&self, id: TaskId, at: &str) -> bool {
        self.get(id)
            .is_some_and(|record| matches!(&record.stage, Stage::Placed { node, .. } if node == at))
    }

    /// The number of tasks.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Whether there is no task.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }
}
