//! Queries for the location of a task, which are sent to all planners.

use super::{Action, Dispatcher, PlannerId};
use tidespur_planner_protocol::{Location, TerminationReason, ToPlanner};

/// A query that was sent to all planners.
#[derive(Debug)]
pub(super) struct LocateQuery {
    tenant: String,
    name: String,
    /// Planners that have not answered yet.
    unanswered: Vec<PlannerId>,
    /// The answer that takes precedence among those received.
    location: Location,
    deadline: f64,
}

impl LocateQuery {
    pub(super) fn deadline(&self) -> f64 {
        self.deadline
    }

    fn message(&self, uid: &str) -> ToPlanner {
        ToPlanner::Locate {
            uid: uid.to_owned(),
            tenant: self.tenant.clone(),
            name: self.name.clone(),
        }
    }

    /// Adds a planner that connected after the query was sent, since it may know the task.
    fn add_planner(&mut self, planner: PlannerId) {
        self.unanswered.push(planner);
    }

    /// Records the answer of a planner; a second answer of the same planner is ignored.
    fn add_answer(&mut self, planner: PlannerId, location: Location) {
        if let Some(index) = self.unanswered.iter().position(|id| *id == planner) {
            self.unanswered.swap_remove(index);
            self.location = prevailing_location(self.location.clone(), location);
        }
    }

    /// Whether no further answer can change the result.
    fn is_certain(&self) -> bool {
        matches!(
            self.location,
            Location::At(_) | Location::Ended(TerminationReason::Succeeded)
        )
    }
}

impl Dispatcher {
    pub(super) fn start_locate_query(
        &mut self,
        now: f64,
        uid: String,
        tenant: String,
        name: String,
        actions: &mut Vec<Action>,
    ) {
        let query = LocateQuery {
            tenant,
            name,
            unanswered: self.planners.keys().copied().collect(),
            location: Location::NotFound,
            deadline: now + self.settings.locate_timeout,
        };
        self.broadcast(&query.message(&uid), actions);
        self.locate_queries.insert(uid, query);
    }

    pub(super) fn send_locate_queries(&mut self, planner: PlannerId, actions: &mut Vec<Action>) {
        for (uid, query) in &mut self.locate_queries {
            query.add_planner(planner);
            actions.push(Action::send(planner, query.message(uid)));
        }
    }

    pub(super) fn on_located(&mut self, planner: PlannerId, uid: &str, location: Location) {
        if let Some(query) = self.locate_queries.get_mut(uid) {
            query.add_answer(planner, location);
        }
    }

    /// Counts the answer of a lost planner as unknown, since it may have known the location.
    pub(super) fn abandon_locate_answers(&mut self, planner: PlannerId) {
        for query in self.locate_queries.values_mut() {
            query.add_answer(planner, Location::Unknown);
        }
    }

    /// Answers each query whose result is certain, that all planners have answered, or whose deadline has passed.
    pub(super) fn answer_locate_queries(&mut self, now: f64, actions: &mut Vec<Action>) {
        let is_finished = |query: &LocateQuery| {
            query.unanswered.is_empty() || query.is_certain() || now >= query.deadline
        };
        let finished: Vec<String> = self
            .locate_queries
            .iter()
            .filter(|(_, query)| is_finished(query))
            .map(|(uid, _)| uid.clone())
            .collect();
        for uid in finished {
            let Some(query) = self.locate_queries.remove(&uid) else {
                continue;
            };
            let is_incomplete = !query.unanswered.is_empty() || self.planners.is_empty();
            let location = if is_incomplete && !query.is_certain() {
                Location::Unknown
            } else {
                query.location
            };
            actions.push(Action::ReportLocation { uid, location });
        }
    }
}

/// The one of two answers that takes precedence: running, succeeded, unknown, ended otherwise, not found, in this
/// order.
fn prevailing_location(first: Location, second: Location) -> Location {
    let rank = |location: &Location| match location {
        Location::At(_) => 4,
        Location::Ended(TerminationReason::Succeeded) => 3,
        Location::Unknown => 2,
        Location::Ended(_) => 1,
        Location::NotFound => 0,
    };
    if rank(&second) > rank(&first) {
        second
    } else {
        first
    }
}
