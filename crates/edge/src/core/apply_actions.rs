//! Applies the actions of the dispatcher: writes them to the store, or sends them to planners.

use super::{Core, OutgoingMessage, StepContext};
use crate::dispatcher::{Action, PlannerId};
use crate::events::{self, EventType};
use crate::pod_status;
use tidespur_api::resource::{EVENTS, PODS};
use tidespur_api::{Object, meta, names};
use tidespur_job_controller as controller;
use tidespur_planner_protocol::ToPlanner;
use tidespur_store::{Precondition, Store};

impl Core {
    pub(super) fn apply_dispatcher_action(
        &mut self,
        action: Action,
        context: &mut StepContext<'_>,
    ) {
        let now = context.now;
        match action {
            Action::SendToPlanner { planner, message } => self.send(planner, message, context),
            Action::MarkPlaced { uid, node } => self.mark_placed(&uid, &node, context),
            Action::MarkRejected { uid, reason } => {
                self.mark_unplaced(&uid, names::PLACEMENT_REFUSED, &reason, context);
            }
            Action::MarkFailed { uid, reason } => {
                self.mark_unplaced(&uid, names::PLACEMENT_UNKNOWN, &reason, context);
            }
            Action::MarkRunning { uid } => {
                self.update_pod(&uid, context.store, |pod| pod_status::set_running(pod, now));
            }
            Action::MarkEnded { uid, reason } => {
                self.update_pod(&uid, context.store, |pod| {
                    pod_status::set_ended(pod, reason, now);
                });
                self.pod_names.remove(&uid);
            }
            Action::ReportLocation { uid, location } => {
                tracing::info!(
                    uid,
                    ?location,
                    "finished locating a task whose outcome was unknown"
                );
                let event = controller::Event::PodLocated { uid, location };
                context.controller_events.push_back(event);
            }
        }
    }

    fn send(&mut self, planner: PlannerId, message: ToPlanner, context: &mut StepContext<'_>) {
        if let ToPlanner::Commit { uid, timeout } = &message {
            // Once it has the commit, the planner may offer the task to nodes; a restarted edge must know that.
            self.pending_writes
                .put_open_request(uid, context.now + timeout, true);
            self.pending_status.clear_edge_reason(context.now, uid);
        }
        context.messages.push(OutgoingMessage { planner, message });
    }

    fn mark_placed(&mut self, uid: &str, node: &str, context: &mut StepContext<'_>) {
        let now = context.now;
        self.pending_writes.remove_open_request(uid);
        self.pending_status.close(uid);
        self.update_pod(uid, context.store, |pod| {
            pod_status::set_placed(pod, node, now);
        });
        let message = format!("assigned to {node}");
        self.create_event(uid, EventType::Normal, "Scheduled", &message, context);
    }

    /// Records that a Pod was not placed, or that it is unknown whether it runs.
    fn mark_unplaced(
        &mut self,
        uid: &str,
        reason: &str,
        message: &str,
        context: &mut StepContext<'_>,
    ) {
        let now = context.now;
        self.pending_writes.remove_open_request(uid);
        self.pending_status.close(uid);
        self.update_pod(uid, context.store, |pod| {
            pod_status::set_unplaced(pod, reason, message, now);
        });
        self.create_event(
            uid,
            EventType::Warning,
            "FailedScheduling",
            message,
            context,
        );
        self.pod_names.remove(uid);
    }

    fn update_pod(&self, uid: &str, store: &mut Store, change: impl FnOnce(&mut Object)) {
        let Some(pod_name) = self.pod_names.get(uid) else {
            return;
        };
        let Some(pod) = store.get(PODS, &pod_name.namespace, &pod_name.name) else {
            return;
        };
        if meta::uid(pod) != uid {
            return;
        }
        let mut pod = (**pod).clone();
        change(&mut pod);
        if let Err(error) = store.update(PODS, pod, &Precondition::default()) {
            tracing::error!(uid, %error, "cannot update the status of a Pod");
        }
    }

    fn create_event(
        &mut self,
        uid: &str,
        event_type: EventType,
        reason: &str,
        message: &str,
        context: &mut StepContext<'_>,
    ) {
        let Some(pod_name) = self.pod_names.get(uid) else {
            return;
        };
        let pod = context
            .store
            .get(PODS, &pod_name.namespace, &pod_name.name)
            .cloned();
        let Some(pod) = pod else {
            return;
        };
        let name = format!("{}.{}", pod_name.name, context.store.random_suffix());
        let event = events::pod_event(&pod, &name, event_type, reason, message, context.now);
        tracing::debug!(uid, reason, message, "creating an Event of a Pod");
        match context.store.create(EVENTS, event, context.now) {
            Ok(event) => self.events.add(&event, context.store),
            Err(error) => tracing::debug!(uid, reason, %error, "cannot create an Event"),
        }
    }
}
