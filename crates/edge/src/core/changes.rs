//! Translates changes of Jobs and Pods in the store into events for the dispatcher and the Job controller.

use super::{Core, MAX_CHANGES_PER_READ, PodName, StepContext, owner_uid};
use crate::dispatcher;
use std::sync::Arc;
use tidespur_api::resource::PODS;
use tidespur_api::task::PlacementRequest;
use tidespur_api::{Object, meta, names, task};
use tidespur_config::RetrySafety;
use tidespur_job_controller::{Event, JobView, PodPhase, PodView};
use tidespur_store::{Change, ChangeKind, Precondition, Store};

/// Conditions of a placement, from the request and its class.
pub(crate) struct PlacementTerms {
    /// How long the owner waits for the answer, in seconds.
    pub(crate) timeout: f64,
    /// Whether a second run is harmless.
    pub(crate) is_idempotent: bool,
}

impl Core {
    pub(crate) fn placement_terms(&self, request: &PlacementRequest) -> PlacementTerms {
        let class = self.config.class_or_default(&request.class);
        let class_deadline = class.map(|class| class.deadline);
        PlacementTerms {
            timeout: request.timeout.or(class_deadline).unwrap_or(0.0),
            is_idempotent: class.is_some_and(|class| class.retry_safety == RetrySafety::Idempotent),
        }
    }

    pub(super) fn read_job_changes(&mut self, context: &mut StepContext<'_>) {
        for change in self.job_changes.read(context.store, MAX_CHANGES_PER_READ) {
            let job = &change.object;
            if change.kind != ChangeKind::Deleted {
                let event = Event::JobUpdated(JobView::read(job));
                context.controller_events.push_back(event);
                continue;
            }
            let uid = meta::uid(job).to_owned();
            delete_owned_pods(&uid, meta::namespace(job), context.store);
            context
                .controller_events
                .push_back(Event::JobDeleted { uid });
        }
    }

    pub(super) fn read_pod_changes(&mut self, context: &mut StepContext<'_>) {
        for change in self.pod_changes.read(context.store, MAX_CHANGES_PER_READ) {
            let view = PodView::read(&change.object);
            if change.kind == ChangeKind::Deleted {
                self.on_pod_deleted(view, context);
                continue;
            }
            let has_ended = matches!(view.phase, PodPhase::Ended(_));
            if has_phase_changed(&change, view.phase) {
                if change.kind != ChangeKind::Added {
                    let event = Event::PodUpdated(view.clone());
                    context.controller_events.push_back(event);
                }
                if has_ended {
                    self.ended_pods.add(&change.object, context.store);
                }
            }
            // A Pod that was created and has ended between two reads does not need an answer.
            if change.kind == ChangeKind::Added && !has_ended {
                self.on_pod_created(&change.object, view, context);
            }
        }
    }

    fn on_pod_deleted(&mut self, view: PodView, context: &mut StepContext<'_>) {
        let uid = view.uid.clone();
        if self.pod_names.remove(&uid).is_some() {
            self.pending_writes.remove_open_request(&uid);
            self.pending_status.close(&uid);
            let event = dispatcher::Event::TaskCancelled { uid };
            context.dispatcher_events.push(event);
        }
        context.controller_events.push_back(Event::PodDeleted(view));
    }

    fn on_pod_created(&mut self, pod: &Object, view: PodView, context: &mut StepContext<'_>) {
        let (namespace, name) = (view.namespace, view.name);
        self.pod_names.insert(view.uid, PodName { namespace, name });
        let request = task::placement_request(pod);
        if meta::annotation(pod, names::ADOPTED_POD_NAME).is_some() {
            let node = meta::text_at(pod, &["spec", "nodeName"]).to_owned();
            let event = dispatcher::Event::RunningTaskAdopted { request, node };
            context.dispatcher_events.push(event);
            return;
        }
        let terms = self.placement_terms(&request);
        let deadline = context.now + terms.timeout;
        self.pending_status
            .open(context.now, &request, meta::name(pod));
        self.pending_writes
            .put_open_request(&request.uid, deadline, false);
        context
            .dispatcher_events
            .push(dispatcher::Event::TaskSubmitted {
                request,
                deadline,
                is_idempotent: terms.is_idempotent,
            });
    }
}

fn has_phase_changed(change: &Change, phase: PodPhase) -> bool {
    let previous = change.previous.as_ref();
    previous.map(|pod| PodView::read(pod).phase) != Some(phase)
}

/// Deletes the Pods that a deleted Job owned.
fn delete_owned_pods(job_uid: &str, namespace: &str, store: &mut Store) {
    let owned: Vec<Arc<Object>> = store
        .iter(PODS, namespace)
        .filter(|pod| owner_uid(pod) == job_uid)
        .cloned()
        .collect();
    for pod in owned {
        // It was listed under the same lock, so the deletion cannot fail.
        drop(store.delete(PODS, namespace, meta::name(&pod), &Precondition::default()));
    }
}
