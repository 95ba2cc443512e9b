//! The dispatcher: assigns each open task to a planner and determines its answer. A state machine without I/O, owned by
//! the edge's core.
//!
//! It guarantees that each task gets exactly one answer before its owner gives up, even if a planner is lost, hangs or
//! answers late, and that at most one planner has a task at any time.

use std::collections::{BTreeMap, VecDeque};
use tidespur_api::task::PlacementRequest;
use tidespur_pending::ReasonCode;

mod assignment;
mod deadlines;
mod locate;
mod messages;
mod planners;
mod tasks;

use locate::LocateQuery;
pub use messages::{Action, Event, Settings};

/// Identifies the connection to a planner. A planner that reconnects gets a new one.
pub type PlannerId = u64;

/// How long a request to stop a task is kept and sent to planners that connect, in seconds.
const STOP_REQUEST_RETENTION: f64 = 120.0;

/// State of a task. An offered task returns to the queue if its planner does not acknowledge it or is lost.
#[derive(Clone, Debug, PartialEq)]
enum TaskState {
    /// No planner has the task.
    Queued,
    /// The task was sent to this planner at time `at`. The planner must not offer it to nodes before it gets the
    /// commit, so the task can be withdrawn and certainly has not run.
    Offered { planner: PlannerId, at: f64 },
    /// This planner has acknowledged the task and got the commit; its answer is due.
    Assigned { planner: PlannerId },
    /// A node has accepted the task. `planner` reports its progress; `None` while no planner is connected.
    Placed {
        planner: Option<PlannerId>,
        node: String,
    },
}

#[derive(Debug)]
struct Task {
    request: PlacementRequest,
    deadline: f64,
    is_idempotent: bool,
    state: TaskState,
}

#[derive(Debug, Default)]
struct Planner {
    open_tasks: usize,
    /// It did not acknowledge a task in time and has not sent a message since.
    is_unresponsive: bool,
}

/// Assigns open tasks to planners and ensures that each gets one answer.
#[derive(Debug)]
pub struct Dispatcher {
    settings: Settings,
    tasks: BTreeMap<String, Task>,
    /// Uids of tasks that no planner has: withdrawn ones first, then in order of arrival.
    queue: VecDeque<String>,
    planners: BTreeMap<PlannerId, Planner>,
    locate_queries: BTreeMap<String, LocateQuery>,
    /// Uids of tasks that must not run any more, and until when planners that connect are asked to stop them.
    stop_requests: BTreeMap<String, f64>,
    /// Number of tasks without an answer.
    open_tasks: usize,
}

impl Dispatcher {
    /// A dispatcher without tasks and planners.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            tasks: BTreeMap::new(),
            queue: VecDeque::new(),
            planners: BTreeMap::new(),
            locate_queries: BTreeMap::new(),
            stop_requests: BTreeMap::new(),
            open_tasks: 0,
        }
    }

    /// Number of tasks that have no answer yet.
    pub fn open_tasks(&self) -> usize {
        self.open_tasks
    }

    /// Number of connected planners.
    pub fn connected_planners(&self) -> usize {
        self.planners.len()
    }

    /// Whether this planner has got the commit for the task and has not answered yet.
    pub fn is_assigned_to(&self, uid: &str, planner: PlannerId) -> bool {
        self.tasks
            .get(uid)
            .is_some_and(|task| task.state == TaskState::Assigned { planner })
    }

    /// Tasks that no planner has acknowledged, and why. Omits a task that was sent to a planner less than half the
    /// acknowledgement timeout ago.
    pub fn unassigned_tasks(&self, now: f64) -> impl Iterator<Item = (&str, ReasonCode)> {
        let is_unresponsive = |planner: &Planner| planner.is_unresponsive;
        let queued_reason = if self.planners.is_empty() {
            ReasonCode::NoPlanner
        } else if self.planners.values().all(is_unresponsive) {
            ReasonCode::PlannersSilent
        } else {
            ReasonCode::PlannersFull
        };
        let grace = self.settings.acknowledge_timeout / 2.0;
        self.tasks.iter().filter_map(move |(uid, task)| {
            let reason = match task.state {
                TaskState::Queued => queued_reason,
                TaskState::Offered { at, .. } if now - at >= grace => ReasonCode::PlannersSilent,
                _ => return None,
            };
            Some((uid.as_str(), reason))
        })
    }

    /// Handles `events`, which occurred at `now` (seconds since 1970), and appends the resulting actions to `actions`.
    pub fn step(&mut self, now: f64, events: Vec<Event>, actions: &mut Vec<Action>) {
        for event in events {
            self.handle(now, event, actions);
        }
        self.answer_expired_tasks(now, actions);
        self.offer_queued_tasks(now, actions);
        self.answer_locate_queries(now, actions);
        self.stop_requests.retain(|_, until| now < *until);
    }

    /// When the next step is due even without an event, in seconds since 1970; `None` if no timer is pending.
    pub fn next_wake(&self) -> Option<f64> {
        let tasks = self.tasks.values().filter_map(|task| self.expiry(task));
        let queries = self.locate_queries.values().map(LocateQuery::deadline);
        tasks.chain(queries).min_by(f64::total_cmp)
    }

    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::TaskSubmitted {
                request,
                deadline,
                is_idempotent,
            } => self.on_task_submitted(request, deadline, is_idempotent),
            Event::RunningTaskAdopted { request, node } => {
                self.on_running_task_adopted(request, node, actions);
            }
            Event::TaskInterrupted {
                request,
                is_idempotent,
            } => self.on_task_interrupted(now, request.uid, is_idempotent, actions),
            Event::TaskCancelled { uid } => self.on_task_cancelled(uid, actions),
            Event::StopRequested { uid } => self.stop(now, uid, actions),
            Event::LocateRequested { uid, tenant, name } => {
                self.start_locate_query(now, uid, tenant, name, actions);
            }
            Event::PlannerConnected(planner) => self.on_planner_connected(planner, actions),
            Event::PlannerLost(planner) => self.on_planner_lost(now, planner, actions),
            Event::MessageReceived { planner, message } => {
                self.on_message(now, planner, message, actions);
            }
        }
    }
}
