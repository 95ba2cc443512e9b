//! How many slots a Job has, what it asks for, when it is over, and what it tells.

use super::{Job, JobStatus, LEFTOVERS_MOST, Phase};
use crate::slot::{Slot, State};
use crate::{Action, JobView, PodPhase, SlotId};
use std::cmp::Reverse;
use std::collections::BTreeMap;

impl Job {
    /// How many slots may be open.
    fn wanted(&self) -> usize {
        if self.ended.is_some() || self.view.suspend || self.view.deleting {
            return 0;
        }
        let left = match self.view.completions {
            Some(completions) => completions.saturating_sub(self.succeeded),
            None if self.succeeded > 0 => self.slots.len() as u32,
            None => u32::MAX,
        };
        self.view.parallelism.min(left) as usize
    }

    fn decide_end(&mut self, now: f64) {
        if self.ended.is_some() {
            return;
        }
        let all = match self.view.completions {
            Some(completions) => self.succeeded >= completions,
            None => self.succeeded > 0 && self.slots.is_empty(),
        };
        let late = self
            .view
            .active_deadline
            .is_some_and(|most| now >= self.started + most);
        self.phase = match () {
            () if all => Phase::Complete,
            () if self.failed > self.view.backoff_limit => Phase::BackoffLimitExceeded,
            () if late && !self.view.suspend => Phase::DeadlineExceeded,
            () if self.view.suspend => Phase::Suspended,
            () => Phase::Open,
        };
        if !matches!(self.phase, Phase::Open | Phase::Suspended) {
            self.ended = Some(now);
        }
    }

    pub(crate) fn act(
        &mut self,
        now: f64,
        pods: &mut BTreeMap<String, String>,
        out: &mut Vec<Action>,
    ) {
        if self.phase == Phase::Suspended && !self.view.suspend {
            self.started = now;
        }
        self.decide_end(now);
        self.shrink(pods, out);
        self.grow(now, out);
        self.ask(now, out);
        while self.leftovers.len() > LEFTOVERS_MOST {
            if let Some(pod) = self.leftovers.pop_front()
                && self.slot_of(&pod.uid).is_none()
            {
                out.push(Action::DeletePod {
                    namespace: pod.namespace,
                    name: pod.name,
                    uid: pod.uid,
                });
            }
        }
        let status = self.status();
        let whose = |view: &JobView| (view.uid.clone(), view.namespace.clone(), view.name.clone());
        if self.told.as_ref() != Some(&status) {
            self.told = Some(status.clone());
            let (uid, namespace, name) = whose(&self.view);
            out.push(Action::Status {
                uid,
                namespace,
                name,
                status,
            });
        }
        self.keep(out);
        let over = self
            .ended
            .zip(self.view.ttl)
            .is_some_and(|(ended, ttl)| now >= ended + ttl);
        if over && !self.deleted {
            self.deleted = true;
            let (uid, namespace, name) = whose(&self.view);
            out.push(Action::DeleteJob {
                namespace,
                name,
                uid,
            });
        }
    }

    fn shrink(&mut self, pods: &mut BTreeMap<String, String>, out: &mut Vec<Action>) {
        let beyond = self.slots.len().saturating_sub(self.wanted());
        let rank =
            |(&number, slot): (&u32, &Slot)| slot.keep_rank().map(|rank| (rank, Reverse(number)));
        let mut order: Vec<(u32, Reverse<u32>)> = self.slots.iter().filter_map(rank).collect();
        order.sort_unstable();
        for (_, Reverse(number)) in order.into_iter().take(beyond) {
            let Some(slot) = self.slots.remove(&number) else {
                continue;
            };
            if let State::Active { pod } = slot.state {
                pods.remove(&pod.uid);
                out.push(Action::DeletePod {
                    namespace: pod.namespace,
                    name: pod.name,
                    uid: pod.uid,
                });
            }
        }
    }

    fn grow(&mut self, now: f64, out: &mut Vec<Action>) {
        let wanted = self.wanted();
        while self.slots.len() < wanted {
            self.slots.insert(self.next_slot, Slot::new(now));
            self.next_slot += 1;
        }
        for (&number, slot) in &mut self.slots {
            let State::Idle {
                at,
                returned,
                adopt,
            } = &slot.state
            else {
                continue;
            };
            // What runs already is taken over even where nothing new may start.
            if *at > now || (wanted == 0 && adopt.is_none()) {
                continue;
            }
            out.push(Action::Create {
                slot: SlotId {
                    job: self.view.uid.clone(),
                    number,
                },
                namespace: self.view.namespace.clone(),
                job: self.view.name.clone(),
                returned: *returned,
                adopt: adopt.clone(),
            });
            slot.state = State::Making;
        }
    }

    fn ask(&mut self, now: f64, out: &mut Vec<Action>) {
        for slot in self.slots.values_mut() {
            let State::Settling {
                pod, ask_at, asked, ..
            } = &mut slot.state
            else {
                continue;
            };
            if *asked || *ask_at > now {
                continue;
            }
            *asked = true;
            out.push(Action::Locate {
                uid: pod.uid.clone(),
                namespace: pod.namespace.clone(),
                name: pod.known_as.clone(),
            });
        }
    }

    fn status(&self) -> JobStatus {
        let (mut active, mut ready, mut backing_off, mut settling) = (0, 0, 0, 0);
        for slot in self.slots.values() {
            match &slot.state {
                State::Active { pod } => {
                    active += 1;
                    ready += u32::from(pod.phase == PodPhase::Running);
                }
                State::Idle {
                    returned,
                    adopt: None,
                    ..
                } => backing_off += u32::from(*returned),
                State::Settling { .. } => settling += 1,
                State::Idle { .. } | State::Making => {}
            }
        }
        let (succeeded, failed, phase) = (self.succeeded, self.failed, self.phase);
        let (started, ended) = (self.started, self.ended);
        JobStatus {
            active,
            ready,
            succeeded,
            failed,
            backing_off,
            settling,
            phase,
            started,
            ended,
        }
    }

    pub(crate) fn next_wake(&self) -> Option<f64> {
        let slots = self.slots.values().filter_map(|slot| match &slot.state {
            State::Idle { at, .. } if self.ended.is_none() && !self.view.suspend => Some(*at),
            State::Settling {
                ask_at,
                asked: false,
                ..
            } => Some(*ask_at),
            _ => None,
        });
        let deadline = self
            .view
            .active_deadline
            .filter(|_| self.ended.is_none() && !self.view.suspend);
        let ttl = self
            .ended
            .zip(self.view.ttl)
            .filter(|_| !self.deleted)
            .map(|(ended, ttl)| ended + ttl);
        slots
            .chain(deadline.map(|most| self.started + most))
            .chain(ttl)
            .min_by(f64::total_cmp)
    }
}
