//! What nodes answer and show.

use super::{ANSWERS_MOST, Answer, Core, Output, UNWANTED_FOR};
use crate::book::Stage;
use crate::nodes::Held;
use crate::words::{self, AtNode};
use tidespur_planner_protocol::{TerminationReason, ToEdge};
use tidespur_policy::interface::{AttemptOutcome, Event, TaskId};

impl Core {
    pub(super) fn answered(
        &mut self,
        now: f64,
        id: TaskId,
        attempt: u32,
        answer: Answer,
        events: &mut Vec<Event>,
        out: &mut Vec<Output>,
    ) {
        let Some(known) = self.book.get_mut(id) else {
            return;
        };
        let (node, leaving) = match &known.stage {
            Stage::Out { attempt: a, node } if *a == attempt => (node.clone(), false),
            Stage::Leaving { attempt: a, node } if *a == attempt => (node.clone(), true),
            _ => return,
        };
        let accepted = matches!(answer, Answer::Accepted(_));
        if leaving {
            // Nobody waits: what was accepted is stopped, what may have been is stopped when it turns up.
            let ending = match answer {
                Answer::Accepted(_) => AttemptOutcome::Cancelled,
                Answer::Ended(ending, ..) => ending,
            };
            if never_ran(&ending)
                && let Some(known) = self.book.get(id)
            {
                self.attempts.proved(&known.ask.uid, &node);
            }
            events.push(Event::AttemptEnded {
                task: id,
                attempt,
                outcome: ending,
                closed: true,
                report: None,
            });
            let Some(known) = self.book.close(id) else {
                return;
            };
            self.unwanted
                .insert(known.ask.uid.clone(), now + UNWANTED_FOR);
            if accepted {
                self.delete_at(&node, (known.ask.tenant, known.ask.name), out);
            }
            return;
        }
        match answer {
            Answer::Accepted(report) => {
                known.stage = Stage::Bound {
                    attempt,
                    node: node.clone(),
                };
                let (edge, uid) = (known.edge, known.ask.uid.clone());
                let name = (known.ask.tenant.clone(), known.ask.name.clone());
                events.push(Event::AttemptConfirmed { task: id, attempt });
                if report.is_some() {
                    events.push(Event::LoadPolled {
                        machine: words::machine(&node),
                        report,
                    });
                }
                out.push(Output::Edge(
                    edge,
                    ToEdge::Placed {
                        uid,
                        node: node.clone(),
                    },
                ));
                // The node's watch may have been faster than its answer.
                if let Some(at) = self
                    .nodes
                    .0
                    .get(&node)
                    .and_then(|n| n.pods.get(&name))
                    .map(|held| held.at)
                {
                    self.seen(id, at, events, out);
                }
            }
            Answer::Ended(ending, words, report) => {
                if never_ran(&ending) {
                    self.attempts.proved(&known.ask.uid, &node);
                }
                known.stage = Stage::Open;
                if known.answers.len() >= ANSWERS_MOST {
                    known.answers.remove(0);
                }
                known.answers.push((node.clone(), words));
                if matches!(
                    ending,
                    AttemptOutcome::TimedOut
                        | AttemptOutcome::Interrupted(_)
                        | AttemptOutcome::Failed
                ) && known.safe
                {
                    // It is sent again, so what the node shows of this attempt is one copy too many.
                    let name = (known.ask.tenant.clone(), known.ask.name.clone());
                    if self
                        .nodes
                        .0
                        .get(&node)
                        .is_some_and(|n| n.pods.contains_key(&name))
                    {
                        self.delete_at(&node, name, out);
                    }
                }
                events.push(Event::AttemptEnded {
                    task: id,
                    attempt,
                    outcome: ending,
                    closed: false,
                    report,
                });
            }
        }
    }

    pub(super) fn is_at(&self, id: TaskId, at: &str) -> bool {
        matches!(self.book.get(id).map(|k| &k.stage), Some(Stage::Bound { node, .. }) if node == at)
    }

    /// A node shows a Pod.
    pub(super) fn see(
        &mut self,
        now: f64,
        node: &str,
        name: (String, String),
        held: Held,
        events: &mut Vec<Event>,
        out: &mut Vec<Output>,
    ) {
        let (uid, at) = (held.uid.clone(), held.at);
        let over = matches!(at, AtNode::Over(_));
        if let Some(known) = self.nodes.0.get_mut(node) {
            known.pods.insert(name.clone(), held);
        }
        let task = self.book.id(&uid).or_else(|| {
            // One that was taken over keeps the uid of its first request at the node.
            let mut bound = self.book.bound_at(node).into_iter();
            bound.find(|id| {
                self.book
                    .get(*id)
                    .is_some_and(|k| (&k.ask.tenant, &k.ask.name) == (&name.0, &name.1))
            })
        });
        match task.and_then(|id| {
            self.book
                .get(id)
                .map(|known| (id, known.stage.clone(), known.safe))
        }) {
            Some((id, Stage::Bound { node: there, .. }, _)) if there == node => {
                self.seen(id, at, events, out)
            }
            // The node shows that it took the task: as good as its answer, which is on its way or lost. Guards against
            // lost answers where the watch stands; should also help where answers are slow. No harm is known: what a
            // node shows it holds.
            Some((
                id,
                Stage::Out {
                    attempt,
                    node: there,
                },
                _,
            )) if there == node && !over => {
                self.answered(now, id, attempt, Answer::Accepted(None), events, out);
            }
            Some((_, Stage::Out { node: there, .. } | Stage::Leaving { node: there, .. }, _))
                if there == node => {}
            // A copy from an attempt that was given up. Where copies do no harm it is stopped, so that it holds no
            // room; where they do, the edge settles what becomes of it.
            Some((_, _, true)) if !over => self.delete_at(node, name, out),
            Some(_) => {}
            None if !over && self.unwanted.get(&uid).is_some_and(|until| now < *until) => {
                self.delete_at(node, name, out);
            }
            None => {}
        }
    }

    /// News of a task that a node has.
    pub(super) fn seen(
        &mut self,
        id: TaskId,
        at: AtNode,
        events: &mut Vec<Event>,
        out: &mut Vec<Output>,
    ) {
        let Some(known) = self.book.get_mut(id) else {
            return;
        };
        match at {
            AtNode::Waits => {}
            AtNode::Runs if known.runs => {}
            AtNode::Runs => {
                known.runs = true;
                out.push(Output::Edge(
                    known.edge,
                    ToEdge::Started {
                        uid: known.ask.uid.clone(),
                    },
                ));
                events.push(Event::AttemptProgressed {
                    task: id,
                    progress: tidespur_policy::interface::AttemptProgress::Started,
                });
            }
            AtNode::Over(end) => self.ended(id, end, events, out),
        }
    }

    pub(super) fn ended(
        &mut self,
        id: TaskId,
        end: TerminationReason,
        events: &mut Vec<Event>,
        out: &mut Vec<Output>,
    ) {
        let Some(Stage::Bound { attempt, .. }) = self.book.get(id).map(|known| known.stage.clone())
        else {
            return;
        };
        let Some(known) = self.book.close(id) else {
            return;
        };
        if let Stage::Bound { node, .. } = &known.stage {
            self.attempts.proved(&known.ask.uid, node);
        }
        let ending = words::ending(end);
        events.push(Event::AttemptEnded {
            task: id,
            attempt,
            outcome: ending,
            closed: true,
            report: None,
        });
        out.push(Output::Edge(
            known.edge,
            ToEdge::Ended {
                uid: known.ask.uid,
                reason: end,
            },
        ));
    }

    pub(super) fn delete_at(&self, node: &str, name: (String, String), out: &mut Vec<Output>) {
        let Some(known) = self.nodes.0.get(node) else {
            return;
        };
        let pod_uid = known.pods.get(&name).map(|held| held.pod_uid.clone());
        out.push(Output::Delete {
            address: known.address.clone(),
            name,
            pod_uid,
        });
    }

    /// Deletes what nodes show of a request.
    pub(super) fn reap(&self, uid: &str, out: &mut Vec<Output>) {
        for (node, known) in &self.nodes.0 {
            for (name, held) in &known.pods {
                if held.uid == uid && !matches!(held.at, AtNode::Over(_)) {
                    self.delete_at(node, name.clone(), out);
                }
            }
        }
    }
}

/// Whether this answer proves that nothing of the attempt runs.
fn never_ran(ending: &AttemptOutcome) -> bool {
    matches!(
        ending,
        AttemptOutcome::ConnectFailed | AttemptOutcome::Rejected(_) | AttemptOutcome::NeverSent
    )
}
