//! What desk and Job controller say, written into the store or sent to planners.

use super::Core;
use crate::desk::{self, PlannerId};
use crate::pods;
use std::collections::VecDeque;
use tidespur_api::resource::{EVENTS, JOBS, PODS};
use tidespur_api::{Object, meta, names};
use tidespur_job_controller::{self as controller, PodView, SlotId};
use tidespur_planner_protocol::ToPlanner;
use tidespur_store::{Precondition, Store};

impl Core {
    pub(super) fn desk_says(
        &mut self,
        now: f64,
        action: desk::Action,
        store: &mut Store,
        owner: &mut VecDeque<controller::Event>,
        out: &mut Vec<(PlannerId, ToPlanner)>,
    ) {
        match action {
            desk::Action::Tell(planner, message) => {
                if let ToPlanner::Commit {
                    uid,
                    timeout: within,
                } = &message
                {
                    // From here on it may be offered: that must be known after a return.
                    self.notes.open(uid, now + within, true);
                    self.waits.taken(now, uid);
                }
                out.push((planner, message));
            }
            desk::Action::Placed(uid, node) => {
                self.notes.closed(&uid);
                self.waits.close(&uid);
                self.change(&uid, store, |pod| pods::placed(pod, &node, now));
                self.tell(
                    &uid,
                    store,
                    "Normal",
                    "Scheduled",
                    &format!("assigned to {node}"),
                    now,
                );
            }
            desk::Action::Refused(uid, why) => {
                self.unplaced(&uid, names::PLACEMENT_REFUSED, &why, store, now)
            }
            desk::Action::Failed(uid, why) => {
                self.unplaced(&uid, names::PLACEMENT_UNKNOWN, &why, store, now)
            }
            desk::Action::Runs(uid) => self.change(&uid, store, |pod| pods::runs(pod, now)),
            desk::Action::Ended(uid, end) => {
                self.change(&uid, store, |pod| pods::ended(pod, end, now));
                self.known.remove(&uid);
            }
            desk::Action::Located(uid, found) => {
                tracing::info!(uid, ?found, "settled");
                owner.push_back(controller::Event::Located { uid, found });
            }
        }
    }

    /// The answer that a Pod was not placed.
    fn unplaced(&mut self, uid: &str, reason: &str, why: &str, store: &mut Store, now: f64) {
        self.notes.closed(uid);
        self.waits.close(uid);
        self.change(uid, store, |pod| pods::unplaced(pod, reason, why, now));
        self.tell(uid, store, "Warning", "FailedScheduling", why, now);
        self.known.remove(uid);
    }

    fn change(&self, uid: &str, store: &mut Store, change: impl FnOnce(&mut Object)) {
        let Some((space, name)) = self.known.get(uid) else {
            return;
        };
        let Some(mut pod) = store.get(PODS, space, name).map(|pod| (**pod).clone()) else {
            return;
        };
        if meta::uid(&pod) != uid {
            return;
        }
        change(&mut pod);
        if let Err(problem) = store.update(PODS, pod, &Precondition::default()) {
            tracing::error!(uid, %problem, "a Pod's state can't be written");
        }
    }

    fn tell(
        &mut self,
        uid: &str,
        store: &mut Store,
        kind: &str,
        reason: &str,
        message: &str,
        now: f64,
    ) {
        let Some((space, name)) = self.known.get(uid) else {
            return;
        };
        let Some(pod) = store.get(PODS, space, name).cloned() else {
            return;
        };
        let event = pods::event(
            &pod,
            format!("{name}.{}", store.random_suffix()),
            kind,
            reason,
            message,
            now,
        );
        tracing::debug!(uid, reason, message);
        if let Ok(event) = store.create(EVENTS, event, now) {
            self.events.add(&event, store);
        }
    }

    pub(super) fn owner_says(
        &mut self,
        now: f64,
        action: controller::Action,
        store: &mut Store,
        owner: &mut VecDeque<controller::Event>,
        desk: &mut Vec<desk::Event>,
    ) {
        use controller::Action;
        match action {
            Action::Create {
                slot,
                namespace,
                job,
                returned,
                adopt,
            } => {
                owner.push_back(self.make(now, slot, &namespace, &job, returned, adopt, store));
            }
            Action::DeletePod {
                namespace,
                name,
                uid,
            } => {
                drop(store.delete(
                    PODS,
                    &namespace,
                    &name,
                    &Precondition {
                        uid: Some(uid),
                        version: None,
                    },
                ));
            }
            Action::Status {
                uid,
                namespace,
                name,
                status,
            } => {
                let Some(job) = store
                    .get(JOBS, &namespace, &name)
                    .filter(|job| meta::uid(job) == uid)
                else {
                    return;
                };
                let mut job = (**job).clone();
                job["status"] = pods::job_status(&job, &status, now);
                drop(store.update(JOBS, job, &Precondition::default()));
            }
            Action::DeleteJob {
                namespace,
                name,
                uid,
            } => {
                drop(store.delete(
                    JOBS,
                    &namespace,
                    &name,
                    &Precondition {
                        uid: Some(uid),
                        version: None,
                    },
                ));
            }
            Action::Locate {
                uid,
                namespace,
                name,
            } => desk.push(desk::Event::Locate {
                uid,
                tenant: namespace,
                name,
            }),
            Action::Reap { uid } => desk.push(desk::Event::Reap(uid)),
            Action::KeepSlot { job, number, kept } => self.notes.slot(&job, number, kept.as_ref()),
            Action::KeepJob { job, next_slot } => self.notes.job(&job, next_slot),
            Action::KeepStray { uid, stands } => self.notes.stray(&uid, stands),
        }
    }

    #[allow(
        clippy::too_many_arguments,
        reason = "one action of the controller, taken apart"
    )]
    fn make(
        &self,
        now: f64,
        slot: SlotId,
        namespace: &str,
        job: &str,
        returned: bool,
        adopt: Option<controller::Adopt>,
        store: &mut Store,
    ) -> controller::Event {
        let Some(job) = store
            .get(JOBS, namespace, job)
            .filter(|job| meta::uid(job) == slot.job)
            .cloned()
        else {
            return controller::Event::NotCreated(slot);
        };
        // What runs already is always taken over; new work waits at its owner while the desk is full.
        if adopt.is_none() && self.desk.open() >= self.config.edge.max_open_tasks as usize {
            return controller::Event::NotCreated(slot);
        }
        let base = meta::name(&job);
        let name = format!("{}-{}", &base[..base.len().min(240)], store.random_suffix());
        let mut pod = pods::make(&job, &name, &slot, returned, adopt.as_ref());
        if let Some(adopt) = &adopt {
            pods::placed(&mut pod, &adopt.node, now);
        }
        match store.create(PODS, pod, now) {
            Ok(pod) => controller::Event::Created {
                slot,
                pod: PodView::read(&pod),
            },
            Err(problem) => {
                tracing::warn!(%problem, "a Pod of a Job can't be made");
                controller::Event::NotCreated(slot)
            }
        }
    }
}
