//! The tasks that a planner manages, and the state of their attempts. Owned by [`crate::core::Core`].

use crate::pod::PodName;
use std::collections::BTreeMap;
use tidespur_api::task::PlacementRequest;
use tidespur_policy::interface::TaskId;

/// Identifies the connection to an edge's address. A reopened connection has the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EdgeId(pub u64);

/// The state of a task's placement.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// The edge expects an answer; no attempt is in flight.
    Pending,
    /// The edge expects an answer; this attempt is in flight.
    Offered {
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Name of the node that it was offered to.
        node: String,
    },
    /// A node has accepted it.
    Placed {
        /// Number of the accepted attempt; 0 for an adopted task.
        attempt: u32,
        /// Name of the node.
        node: String,
    },
    /// The task was abandoned while this attempt was in flight. It is kept until the attempt ends.
    Abandoned {
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Name of the node that it was offered to.
        node: String,
    },
}

/// A task and the state of its placement.
#[derive(Clone, Debug)]
pub struct TaskRecord {
    /// The request as received from the edge.
    pub request: PlacementRequest,
    /// The edge that receives its state changes.
    pub edge: EdgeId,
    /// State of its placement.
    pub stage: Stage,
    /// Number of attempts so far; 1 after adoption.
    pub attempt_count: u32,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// The last answers of nodes that did not accept it, oldest first: node name and message, as in
    /// [`tidespur_pending::ReasonUpdate`]. At most [`MAX_NODE_ANSWERS`].
    pub node_answers: Vec<(String, String)>,
    /// Whether its start was reported to the edge.
    pub is_running: bool,
}

/// Maximum number of node answers kept for one task.
pub const MAX_NODE_ANSWERS: usize = 4;

impl TaskRecord {
    /// Namespace and name of its Pod at nodes.
    pub fn pod_name(&self) -> PodName {
        PodName::new(&self.request.tenant, &self.request.name)
    }

    /// Stores the answer of a node that did not accept it. Drops the oldest answer if there are too many.
    pub fn add_node_answer(&mut self, node: &str, message: String) {
        if self.node_answers.len() >= MAX_NODE_ANSWERS {
            self.node_answers.remove(0);
        }
        self.node_answers.push((node.to_owned(), message));
    }
}

/// All tasks, by id and by uid. A uid identifies at most one task in the table.
#[derive(Debug, Default)]
pub struct TaskTable {
    tasks: BTreeMap<TaskId, TaskRecord>,
    by_uid: BTreeMap<String, TaskId>,
    last_id: u64,
}

impl TaskTable {
    /// Adds a task and returns its id; `None` if its uid is already in the table, as after a repeated message.
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

    /// The task with this id; `None` once it was removed.
    pub fn get(&self, id: TaskId) -> Option<&TaskRecord> {
        self.tasks.get(&id)
    }

    /// The task with this id, to update its state.
    pub fn get_mut(&mut self, id: TaskId) -> Option<&mut TaskRecord> {
        self.tasks.get_mut(&id)
    }

    /// The id of the task with this uid, which the edge assigned.
    pub fn id_of(&self, uid: &str) -> Option<TaskId> {
        self.by_uid.get(uid).copied()
    }

    /// Removes a task. Its uid may be added again.
    pub fn remove(&mut self, id: TaskId) -> Option<TaskRecord> {
        let record = self.tasks.remove(&id)?;
        self.by_uid.remove(&record.request.uid);
        Some(record)
    }

    /// All tasks, ordered by id, which is the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = (TaskId, &TaskRecord)> {
        self.tasks.iter().map(|(id, record)| (*id, record))
    }

    /// The tasks placed at a node.
    pub fn placed_at(&self, at: &str) -> Vec<TaskId> {
        self.iter()
            .filter(|(_, record)| matches!(&record.stage, Stage::Placed { node, .. } if node == at))
            .map(|(id, _)| id)
            .collect()
    }

    /// Whether this task is placed at this node.
    pub fn is_placed_at(&self, id: TaskId, at: &str) -> bool {
        self.get(id)
            .is_some_and(|record| matches!(&record.stage, Stage::Placed { node, .. } if node == at))
    }

    /// Number of tasks in all stages.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Whether the table has no tasks.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }
}
