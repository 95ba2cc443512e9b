//! Handles the answers to offers.

use super::{Core, OfferAnswer, Step, UNWANTED_REQUEST_RETENTION};
use crate::convert;
use crate::task_table::Stage;
use tidespur_planner_protocol::ToEdge;
use tidespur_policy::interface::{AttemptOutcome, Event, LoadReport, TaskId};

/// An attempt in flight.
struct Attempt {
    task: TaskId,
    number: u32,
    node: String,
}

impl Core {
    /// Handles the answer to an offer. It is ignored if the attempt is no longer in flight.
    pub(super) fn on_offer_answered(
        &mut self,
        step: &mut Step<'_>,
        task: TaskId,
        number: u32,
        answer: OfferAnswer,
    ) {
        let Some(record) = self.tasks.get(task) else {
            return;
        };
        match &record.stage {
            Stage::Offered { attempt, node } if *attempt == number => {
                let node = node.clone();
                let attempt = Attempt { task, number, node };
                match answer {
                    OfferAnswer::Accepted(report) => self.on_offer_accepted(step, attempt, report),
                    OfferAnswer::NotAccepted {
                        outcome,
                        message,
                        report,
                    } => self.on_offer_failed(step, &attempt, outcome, message, report),
                }
            }
            Stage::Abandoned { attempt, node } if *attempt == number => {
                let node = node.clone();
                let attempt = Attempt { task, number, node };
                self.on_abandoned_offer_answered(step, &attempt, &answer);
            }
            _ => {}
        }
    }

    fn on_offer_accepted(
        &mut self,
        step: &mut Step<'_>,
        attempt: Attempt,
        report: Option<LoadReport>,
    ) {
        let Attempt { task, number, node } = attempt;
        let Some(record) = self.tasks.get_mut(task) else {
            return;
        };
        record.stage = Stage::Placed {
            attempt: number,
            node: node.clone(),
        };
        step.events.push(Event::AttemptConfirmed {
            task,
            attempt: number,
        });
        if report.is_some() {
            step.events.push(Event::LoadPolled {
                machine: convert::machine_id(&node),
                report,
            });
        }
        let uid = record.request.uid.clone();
        let pod_name = record.pod_name();
        let message = ToEdge::Placed {
            uid,
            node: node.clone(),
        };
        step.send(record.edge, message);
        // The watch on the node may have reported the Pod before the answer arrived.
        if let Some(phase) = self.nodes.pod(&node, &pod_name).map(|pod| pod.phase) {
            self.on_pod_phase(step, task, phase);
        }
    }

    fn on_offer_failed(
        &mut self,
        step: &mut Step<'_>,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        message: String,
        report: Option<LoadReport>,
    ) {
        let Attempt { task, number, node } = attempt;
        let Some(record) = self.tasks.get_mut(*task) else {
            return;
        };
        if proves_never_ran(&outcome) {
            self.attempts.clear(&record.request.uid, node);
        }
        record.stage = Stage::Pending;
        record.add_node_answer(node, message);
        let is_retried = record.is_idempotent && may_have_reached_node(&outcome);
        let pod_name = record.pod_name();
        // The task is offered again, so a Pod of this attempt would be a duplicate.
        if is_retried && self.nodes.pod(node, &pod_name).is_some() {
            self.delete_pod(step, node, pod_name);
        }
        step.events.push(Event::AttemptEnded {
            task: *task,
            attempt: *number,
            outcome,
            closed: false,
            report,
        });
    }

    /// Handles the answer to an offer of a task that was abandoned while the offer was in flight. If the node has
    /// accepted it, the Pod is deleted now; if it may have, the Pod is deleted when the node reports it.
    fn on_abandoned_offer_answered(
        &mut self,
        step: &mut Step<'_>,
        attempt: &Attempt,
        answer: &OfferAnswer,
    ) {
        let outcome = match answer {
            OfferAnswer::Accepted(_) => AttemptOutcome::Cancelled,
            OfferAnswer::NotAccepted { outcome, .. } => *outcome,
        };
        let Some(record) = self.tasks.remove(attempt.task) else {
            return;
        };
        let uid = &record.request.uid;
        if proves_never_ran(&outcome) {
            self.attempts.clear(uid, &attempt.node);
        }
        step.events.push(Event::AttemptEnded {
            task: attempt.task,
            attempt: attempt.number,
            outcome,
            closed: true,
            report: None,
        });
        self.unwanted_requests
            .insert(uid.clone(), step.now + UNWANTED_REQUEST_RETENTION);
        if matches!(answer, OfferAnswer::Accepted(_)) {
            self.delete_pod(step, &attempt.node, record.pod_name());
        }
    }
}

/// Whether the outcome proves that the node has not accepted the attempt.
fn proves_never_ran(outcome: &AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::ConnectFailed | AttemptOutcome::Rejected(_) | AttemptOutcome::NeverSent
    )
}

/// Whether the node may have accepted an attempt with this outcome.
fn may_have_reached_node(outcome: &AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::TimedOut | AttemptOutcome::Interrupted(_) | AttemptOutcome::Failed
    )
}
