//! Planner side: selects the reason updates that are sent to an edge, and limits their rate.

use crate::{Diagnosis, ReasonDraft, ReasonUpdate};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The reasons of one task as last sent.
#[derive(Debug)]
struct PublishedReasons {
    sent_at: f64,
    diagnosis: Arc<Diagnosis>,
    offered_to: Option<String>,
    node_answer_count: usize,
    /// The last step in which the task was pending.
    step: u64,
}

impl PublishedReasons {
    fn new(now: f64, draft: &ReasonDraft<'_>, step: u64) -> Self {
        Self {
            sent_at: now,
            diagnosis: draft.diagnosis.clone(),
            offered_to: draft.offered_to.map(str::to_owned),
            node_answer_count: draft.node_answers.len(),
            step,
        }
    }

    fn is_equivalent(&self, draft: &ReasonDraft<'_>) -> bool {
        let is_same_diagnosis = Arc::ptr_eq(&self.diagnosis, draft.diagnosis)
            || self.diagnosis.is_equivalent(draft.diagnosis);
        // Answers are only appended, so equal counts mean equal answers until the oldest are dropped at their bound.
        is_same_diagnosis
            && self.offered_to.as_deref() == draft.offered_to
            && self.node_answer_count == draft.node_answers.len()
    }
}

/// Sends the reasons of a task when they change, at a limited rate per task. Unchanged reasons are refreshed
/// periodically, so that the edge knows that they still apply.
///
/// Keeps the last update of each pending task. Called by the planner's core in each step.
#[derive(Debug)]
pub struct ReasonPublisher {
    publish_interval: f64,
    refresh_interval: f64,
    max_updates: usize,
    /// Last update of each pending task, by uid.
    published: BTreeMap<String, PublishedReasons>,
    step_count: u64,
}

impl ReasonPublisher {
    /// A publisher that sends changed reasons of one task at most every `publish_interval` seconds, unchanged ones
    /// every `refresh_interval` seconds, and at most `max_updates` updates in one step.
    #[must_use]
    pub fn new(publish_interval: f64, refresh_interval: f64, max_updates: usize) -> Self {
        Self {
            publish_interval,
            refresh_interval,
            max_updates,
            published: BTreeMap::new(),
            step_count: 0,
        }
    }

    /// Takes the drafts of all pending tasks and returns the updates to send. Forgets tasks without a draft. Updates
    /// beyond `max_updates` come first in the next step, since the tasks that were sent longest ago have precedence.
    pub fn step<'a>(
        &mut self,
        now: f64,
        drafts: impl IntoIterator<Item = ReasonDraft<'a>>,
    ) -> Vec<ReasonUpdate> {
        self.step_count += 1;
        let mut due = self.due_drafts(now, drafts);
        // The sort is stable: drafts of the same age keep the caller's order.
        due.sort_by(|a, b| a.last_sent_at.total_cmp(&b.last_sent_at));
        due.truncate(self.max_updates);
        self.published
            .retain(|_, published| published.step == self.step_count);
        let mut updates = Vec::new();
        for DueDraft { draft, .. } in due {
            let published = PublishedReasons::new(now, &draft, self.step_count);
            self.published.insert(draft.uid.to_owned(), published);
            updates.push(draft.to_update());
        }
        updates
    }

    /// Marks the tasks of all drafts as pending in this step and returns the drafts that are due.
    fn due_drafts<'a>(
        &mut self,
        now: f64,
        drafts: impl IntoIterator<Item = ReasonDraft<'a>>,
    ) -> Vec<DueDraft<'a>> {
        let mut due = Vec::new();
        for draft in drafts {
            let Some(published) = self.published.get_mut(draft.uid) else {
                let last_sent_at = f64::NEG_INFINITY;
                due.push(DueDraft {
                    last_sent_at,
                    draft,
                });
                continue;
            };
            published.step = self.step_count;
            let last_sent_at = published.sent_at;
            let age = now - last_sent_at;
            let may_publish = age >= self.publish_interval;
            if age >= self.refresh_interval || (may_publish && !published.is_equivalent(&draft)) {
                due.push(DueDraft {
                    last_sent_at,
                    draft,
                });
            }
        }
        due
    }

    /// Number of pending tasks of which an update was sent.
    pub fn len(&self) -> usize {
        self.published.len()
    }

    /// Whether no update of a pending task was sent.
    pub fn is_empty(&self) -> bool {
        self.published.is_empty()
    }
}

/// A draft that is due.
struct DueDraft<'a> {
    /// When the last update of the task was sent; negative infinity for the first one.
    last_sent_at: f64,
    draft: ReasonDraft<'a>,
}
