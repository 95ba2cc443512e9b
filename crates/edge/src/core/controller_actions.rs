//! Applies the actions of the Job controller: writes objects to the store, passes requests on to the dispatcher, or
//! persists records.

use super::{Core, StepContext};
use crate::dispatcher;
use crate::{job_status, pod_status};
use tidespur_api::meta;
use tidespur_api::resource::{JOBS, PODS};
use tidespur_job_controller::{Action, Adoption, Event, JobStatus, PodView, SlotId};
use tidespur_store::{Precondition, Store};

/// Length of the prefix of a Job's name that the names of its Pods begin with, in bytes. It leaves room for the random
/// suffix within the maximum length of a name.
const MAX_POD_NAME_PREFIX_BYTES: usize = 240;

fn with_uid(uid: String) -> Precondition {
    Precondition {
        uid: Some(uid),
        version: None,
    }
}

/// Arguments of [`Action::CreatePod`].
struct NewPod<'a> {
    namespace: &'a str,
    job: &'a str,
    is_retry: bool,
    adoption: Option<&'a Adoption>,
}

impl Core {
    pub(super) fn apply_controller_action(
        &mut self,
        action: Action,
        context: &mut StepContext<'_>,
    ) {
        match action {
            Action::CreatePod { .. }
            | Action::DeletePod { .. }
            | Action::DeleteJob { .. }
            | Action::UpdateJobStatus { .. } => self.write_object(action, context),
            Action::LocatePod {
                uid,
                namespace: tenant,
                name,
            } => context
                .dispatcher_events
                .push(dispatcher::Event::LocateRequested { uid, tenant, name }),
            Action::StopPod { uid } => context
                .dispatcher_events
                .push(dispatcher::Event::StopRequested { uid }),
            Action::PersistSlot { job, number, slot } => {
                self.pending_writes.set_slot(&job, number, slot.as_ref());
            }
            Action::PersistJob { job, next_slot } => self.pending_writes.set_job(&job, next_slot),
            Action::PersistStrayPod { uid } => self.pending_writes.put_stray_pod(&uid),
            Action::RemoveStrayPod { uid } => self.pending_writes.remove_stray_pod(&uid),
        }
    }

    /// Applies an action that writes objects; ignores all others.
    fn write_object(&mut self, action: Action, context: &mut StepContext<'_>) {
        match action {
            Action::CreatePod {
                slot,
                namespace,
                job,
                is_retry,
                adoption,
            } => {
                let pod = NewPod {
                    namespace: &namespace,
                    job: &job,
                    is_retry,
                    adoption: adoption.as_ref(),
                };
                let event = self.create_pod(slot, &pod, context);
                context.controller_events.push_back(event);
            }
            // The object may have been deleted, or replaced by another one of the same name: there is nothing to do
            // then.
            Action::DeletePod {
                namespace,
                name,
                uid,
            } => drop(
                context
                    .store
                    .delete(PODS, &namespace, &name, &with_uid(uid)),
            ),
            Action::DeleteJob {
                namespace,
                name,
                uid,
            } => drop(
                context
                    .store
                    .delete(JOBS, &namespace, &name, &with_uid(uid)),
            ),
            Action::UpdateJobStatus {
                uid,
                namespace,
                name,
                status,
            } => update_job_status(&uid, &namespace, &name, &status, context),
            _ => {}
        }
    }

    fn create_pod(
        &self,
        slot: SlotId,
        new_pod: &NewPod<'_>,
        context: &mut StepContext<'_>,
    ) -> Event {
        let job = context
            .store
            .get(JOBS, new_pod.namespace, new_pod.job)
            .filter(|job| meta::uid(job) == slot.job)
            .cloned();
        let Some(job) = job else {
            return Event::PodCreationFailed(slot);
        };
        let adoption = new_pod.adoption;
        // A running Pod is always adopted. While the edge is full, new work stays with the Job controller, which
        // retries it.
        if adoption.is_none() && !self.has_capacity() {
            return Event::PodCreationFailed(slot);
        }
        let name = pod_name(meta::name(&job), context.store);
        let mut pod = pod_status::pod_of_job(&job, &name, &slot, new_pod.is_retry, adoption);
        if let Some(adoption) = adoption {
            pod_status::set_placed(&mut pod, &adoption.node, context.now);
        }
        match context.store.create(PODS, pod, context.now) {
            Ok(pod) => {
                let pod = PodView::read(&pod);
                Event::PodCreated { slot, pod }
            }
            Err(error) => {
                tracing::warn!(job = slot.job, slot = slot.number, %error, "cannot create a Pod of a Job");
                Event::PodCreationFailed(slot)
            }
        }
    }

    fn has_capacity(&self) -> bool {
        self.dispatcher.open_tasks() < self.config.edge.max_open_tasks as usize
    }
}

fn pod_name(job: &str, store: &mut Store) -> String {
    let prefix = &job[..job.len().min(MAX_POD_NAME_PREFIX_BYTES)];
    format!("{prefix}-{}", store.random_suffix())
}

fn update_job_status(
    uid: &str,
    namespace: &str,
    name: &str,
    status: &JobStatus,
    context: &mut StepContext<'_>,
) {
    let Some(job) = context.store.get(JOBS, namespace, name) else {
        return;
    };
    if meta::uid(job) != uid {
        return;
    }
    let mut job = (**job).clone();
    job["status"] = job_status::render(&job, status, context.now);
    if let Err(error) = context.store.update(JOBS, job, &Precondition::default()) {
        tracing::error!(uid, %error, "cannot update the status of a Job");
    }
}
