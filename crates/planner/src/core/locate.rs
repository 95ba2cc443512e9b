//! Answers the edges' queries for the location of tasks.

use super::{Core, LocateQuery, Step};
use tidespur_planner_protocol::{Location, TerminationReason, ToEdge};

/// How long a query waits for reports of nodes, in seconds.
pub(super) const LOCATE_TIMEOUT: f64 = 1.5;

impl Core {
    /// Answers the queries whose result is known or that have timed out.
    pub(super) fn answer_locate_queries(&mut self, step: &mut Step<'_>) {
        for query in std::mem::take(&mut self.locate_queries) {
            let location = self.locate(&query);
            if location == Location::Unknown && step.now < query.asked_at + LOCATE_TIMEOUT {
                self.locate_queries.push(query);
                continue;
            }
            let uid = query.uid;
            step.send(query.edge, ToEdge::Located { uid, location });
        }
    }

    fn locate(&self, query: &LocateQuery) -> Location {
        if !self.has_node_list {
            return Location::Unknown;
        }
        let location = self.nodes.locate(&query.pod, &query.uid, query.asked_at);
        let excludes_run = match location {
            Location::Ended(TerminationReason::Succeeded) => false,
            Location::NotFound | Location::Ended(_) => true,
            Location::At(_) | Location::Unknown => false,
        };
        // An earlier process may have offered the task to a node that has not reported to this process.
        let has_reported = |node: &str| self.nodes.has_reported(node);
        if excludes_run
            && self
                .attempts
                .may_run_on_unreported_node(&query.uid, has_reported)
        {
            return Location::Unknown;
        }
        location
    }
}
