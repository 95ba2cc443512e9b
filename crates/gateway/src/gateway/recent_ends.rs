//! Placed tasks that ended a short time ago: their owners may have ended them too, before they were told.

use crate::message::RequestId;
use std::collections::{BTreeSet, VecDeque};

/// Ends that are kept; beyond that the oldest is dropped.
const MAX_RECENT_ENDS: usize = 4_096;

/// The ids of the tasks that ended last.
#[derive(Debug, Default)]
pub struct RecentEnds {
    /// Oldest first; those that were taken are no longer in `ids`.
    order: VecDeque<RequestId>,
    ids: BTreeSet<RequestId>,
}

impl RecentEnds {
    /// Keeps the id of a task that has ended.
    pub fn record(&mut self, id: RequestId) {
        if self.order.len() >= MAX_RECENT_ENDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
        if self.ids.insert(id) {
            self.order.push_back(id);
        }
    }

    /// Removes the id of a task; returns whether it was kept.
    pub fn take(&mut self, id: RequestId) -> bool {
        self.ids.remove(&id)
    }
}
