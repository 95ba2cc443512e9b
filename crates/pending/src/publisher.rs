//! The planner's side: which reasons are sent to an edge, and how often.

use crate::{Diagnosis, ReasonDraft, ReasonUpdate};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The reasons of one task as they were sent last.
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
        // Answers are only appended, so an equal number means equal answers until the oldest are dropped at their bound.
        is_same_diagnosis
            && self.offered_to.as_deref() == draft.offered_to
            && self.node_answer_count == draft.node_answers.len()
    }
}

/// Sends the reasons of a task when they have changed, limited per task by an interval. Unchanged reasons are sent again
/// from time to time, so that the reader knows that they still hold.
///
/// Owns what was sent last of each pending task. Called by the planner's core in each step.
#[derive(Debug)]
pub struct ReasonPublisher {
    publish_interval: f64,
    refresh_interval: f64,
    max_updates: usize,
    published: BTreeMap<String, PublishedReasons>,
    steps: u64,
}

impl ReasonPublisher {
    /// A publisher that sends the changed reasons of one task at most every `publish_interval` seconds, unchanged ones
    /// every `refresh_interval` seconds, and at most `max_updates` in one step.
    #[must_use]
    pub fn new(publish_interval: f64, refresh_interval: f64, max_updates: usize) -> Self {
        Self {
            publish_interval,
            refresh_interval,
            max_updates,
            published: BTreeMap::new(),
            steps: 0,
        }
    }

    /// Takes in all tasks that are pending now and returns the updates to send. Tasks that are not among them are
    /// forgotten. Those that are left out because of the bound come first in the next step, as they were sent longest ago.
    pub fn step<'a>(
        &mut self,
        now: f64,
        drafts: impl IntoIterator<Item = ReasonDraft<'a>>,
    ) -> Vec<ReasonUpdate> {
        self.steps += 1;
        let mut due = self.due_drafts(now, drafts);
        // The sort is stable: drafts of the same age keep the caller's order.
        due.sort_by(|a, b| a.last_sent_at.total_cmp(&b.last_sent_at));
        due.truncate(self.max_updates);
        self.published
            .retain(|_, published| published.step == self.steps);
        let mut updates = Vec::new();
        for DueDraft { draft, .. } in due {
            let published = PublishedReasons::new(now, &draft, self.steps);
            self.published.insert(draft.uid.to_owned(), published);
            updates.push(draft.to_update());
        }
        updates
    }

    /// Marks all drafts as pending in this step and returns those that are to be sent.
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
            published.step = self.steps;
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

    /// How many tasks have been sent and are still pending.
    pub fn len(&self) -> usize {
        self.published.len()
    }

    /// Whether no pending task has been sent.
    pub fn is_empty(&self) -> bool {
        self.published.is_empty()
    }
}

/// A draft that is to be sent, and when its task was sent last.
struct DueDraft<'a> {
    last_sent_at: f64,
    draft: ReasonDraft<'a>,
}
