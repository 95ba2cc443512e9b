//! Reconciliation of one Job: number of slots, creation and deletion of Pods, end and expiry of the Job.

use super::{Job, JobPhase};
use crate::slot::{Slot, SlotState};
use crate::{Action, PodView, SlotId};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Maximum number of Pods per Job that are kept as objects after they ended without success.
const MAX_UNSUCCESSFUL_PODS: usize = 10;

fn delete_pod(pod: PodView) -> Action {
    Action::DeletePod {
        namespace: pod.namespace,
        name: pod.name,
        uid: pod.uid,
    }
}

impl Job {
    /// Number of slots that the Job should have.
    fn desired_slots(&self) -> usize {
        if self.ended.is_some() || self.view.is_suspended || self.view.is_being_deleted {
            return 0;
        }
        let remaining = match self.view.completions {
            Some(completions) => completions.saturating_sub(self.succeeded),
            None if self.succeeded > 0 => self.slots.len() as u32,
            None => u32::MAX,
        };
        self.view.parallelism.min(remaining) as usize
    }

    /// Determines the phase. A final phase sets the end time and is kept.
    fn update_phase(&mut self, now: f64) {
        if self.ended.is_some() {
            return;
        }
        let is_complete = match self.view.completions {
            Some(completions) => self.succeeded >= completions,
            None => self.succeeded > 0 && self.slots.is_empty(),
        };
        let is_late = self
            .view
            .active_deadline
            .is_some_and(|deadline| now >= self.started + deadline);
        self.phase = if is_complete {
            JobPhase::Complete
        } else if self.failed > self.view.backoff_limit {
            JobPhase::BackoffLimitExceeded
        } else if is_late && !self.view.is_suspended {
            JobPhase::DeadlineExceeded
        } else if self.view.is_suspended {
            JobPhase::Suspended
        } else {
            JobPhase::Active
        };
        if !matches!(self.phase, JobPhase::Active | JobPhase::Suspended) {
            self.ended = Some(now);
        }
    }

    /// Adjusts the number of slots to the desired one and appends the actions that the state of the slots requires.
    pub(crate) fn reconcile(
        &mut self,
        now: f64,
        job_of_pod: &mut BTreeMap<String, String>,
        actions: &mut Vec<Action>,
    ) {
        if self.phase == JobPhase::Suspended && !self.view.is_suspended {
            self.started = now;
        }
        self.update_phase(now);
        self.remove_excess_slots(job_of_pod, actions);
        self.create_pods(now, actions);
        self.query_unknown_outcomes(now, actions);
        self.delete_oldest_unsuccessful_pods(actions);
        self.publish_status(actions);
        self.persist_changes(actions);
        self.delete_after_time_to_live(now, actions);
    }

    fn delete_oldest_unsuccessful_pods(&mut self, actions: &mut Vec<Action>) {
        while self.unsuccessful_pods.len() > MAX_UNSUCCESSFUL_PODS {
            if let Some(pod) = self.unsuccessful_pods.pop_front()
                && self.slot_of_pod(&pod.uid).is_none()
            {
                actions.push(delete_pod(pod));
            }
        }
    }

    fn publish_status(&mut self, actions: &mut Vec<Action>) {
        let status = self.status();
        if self.published_status.as_ref() == Some(&status) {
            return;
        }
        self.published_status = Some(status.clone());
        actions.push(Action::UpdateJobStatus {
            uid: self.view.uid.clone(),
            namespace: self.view.namespace.clone(),
            name: self.view.name.clone(),
            status,
        });
    }

    fn delete_after_time_to_live(&mut self, now: f64, actions: &mut Vec<Action>) {
        let is_due = self.deletion_time().is_some_and(|at| now >= at);
        if !is_due || self.is_deletion_requested {
            return;
        }
        self.is_deletion_requested = true;
        actions.push(Action::DeleteJob {
            namespace: self.view.namespace.clone(),
            name: self.view.name.clone(),
            uid: self.view.uid.clone(),
        });
    }

    /// When the Job is to be deleted, in seconds since 1970; `None` if it has not ended or has no time to live.
    fn deletion_time(&self) -> Option<f64> {
        Some(self.ended? + self.view.time_to_live?)
    }

    fn remove_excess_slots(
        &mut self,
        job_of_pod: &mut BTreeMap<String, String>,
        actions: &mut Vec<Action>,
    ) {
        let excess = self.slots.len().saturating_sub(self.desired_slots());
        let mut removable: Vec<(u32, Reverse<u32>)> = Vec::new();
        for (&number, slot) in &self.slots {
            if let Some(rank) = slot.removal_rank() {
                removable.push((rank, Reverse(number)));
            }
        }
        removable.sort_unstable();
        for (_, Reverse(number)) in removable.into_iter().take(excess) {
            let Some(slot) = self.slots.remove(&number) else {
                continue;
            };
            if let SlotState::Active { pod } = slot.state {
                job_of_pod.remove(&pod.uid);
                actions.push(delete_pod(pod));
            }
        }
    }

    fn create_pods(&mut self, now: f64, actions: &mut Vec<Action>) {
        let desired = self.desired_slots();
        while self.slots.len() < desired {
            self.slots.insert(self.next_slot, Slot::new(now));
            self.next_slot += 1;
        }
        for (&number, slot) in &mut self.slots {
            let SlotState::Idle {
                at,
                is_retry,
                adoption,
            } = &slot.state
            else {
                continue;
            };
            // A running Pod is adopted even if the Job may start no new ones.
            if *at > now || (desired == 0 && adoption.is_none()) {
                continue;
            }
            actions.push(Action::CreatePod {
                slot: SlotId {
                    job: self.view.uid.clone(),
                    number,
                },
                namespace: self.view.namespace.clone(),
                job: self.view.name.clone(),
                is_retry: *is_retry,
                adoption: adoption.clone(),
            });
            slot.state = SlotState::Creating;
        }
    }

    fn query_unknown_outcomes(&mut self, now: f64, actions: &mut Vec<Action>) {
        for slot in self.slots.values_mut() {
            let SlotState::OutcomeUnknown {
                pod,
                query_at,
                is_query_sent,
                ..
            } = &mut slot.state
            else {
                continue;
            };
            if *is_query_sent || *query_at > now {
                continue;
            }
            *is_query_sent = true;
            actions.push(Action::LocatePod {
                uid: pod.uid.clone(),
                namespace: pod.namespace.clone(),
                name: pod.name_at_node.clone(),
            });
        }
    }

    /// When the Job must be reconciled even without events, in seconds since 1970; `None` if no timer is set.
    pub(crate) fn next_wake(&self) -> Option<f64> {
        let can_run = self.ended.is_none() && !self.view.is_suspended;
        let mut times: Vec<f64> = Vec::new();
        for slot in self.slots.values() {
            match &slot.state {
                SlotState::Idle { at, .. } if can_run => times.push(*at),
                SlotState::OutcomeUnknown {
                    query_at,
                    is_query_sent: false,
                    ..
                } => times.push(*query_at),
                _ => {}
            }
        }
        if let Some(deadline) = self.view.active_deadline.filter(|_| can_run) {
            times.push(self.started + deadline);
        }
        if !self.is_deletion_requested {
            times.extend(self.deletion_time());
        }
        times.into_iter().min_by(f64::total_cmp)
    }
}
