//! What the policy wants done, and answers to questions.

use super::{Core, LOCATE_FOR, Output, UNWANTED_FOR};
use crate::book::Stage;
use tidespur_planner_protocol::{Location, TerminationReason, ToEdge};
use tidespur_policy::interface::Action;

impl Core {
    pub(super) fn carry_out(&mut self, now: f64, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Offer {
                task,
                machine,
                timeout: wait,
            } => {
                let (Some(known), Some(node)) =
                    (self.book.get_mut(task), self.machines.of(machine))
                else {
                    return;
                };
                let Some(address) = self.nodes.0.get(node).map(|n| n.address.clone()) else {
                    return;
                };
                let (attempt, node) = (known.attempts, node.to_owned());
                known.attempts += 1;
                let ask = &known.ask;
                self.attempts
                    .sent(&ask.uid, (&ask.tenant, &ask.name), &node, now + wait);
                known.stage = Stage::Out {
                    attempt,
                    node: node.clone(),
                };
                out.push(Output::Offer {
                    task,
                    attempt,
                    node,
                    address,
                    ask: known.ask.clone(),
                    wait,
                });
            }
            Action::Reject {
                task,
                retry_after: retry_in,
            } => {
                let Some(known) = self.book.close(task) else {
                    return;
                };
                if known.safe && known.attempts > 0 {
                    // Its owner may ask again, so a copy that an unclear attempt left somewhere is one too many.
                    self.unwanted
                        .insert(known.ask.uid.clone(), now + UNWANTED_FOR);
                    self.reap(&known.ask.uid, out);
                }
                let why = self.why(known.answers.last(), "no node took it in time");
                out.push(Output::Edge(
                    known.edge,
                    ToEdge::Rejected {
                        uid: known.ask.uid,
                        reason: why,
                        retry_after: retry_in,
                    },
                ));
            }
            Action::Fail(task) => {
                let Some(known) = self.book.close(task) else {
                    return;
                };
                let why = self.why(known.answers.last(), "an attempt may have run");
                out.push(Output::Edge(
                    known.edge,
                    ToEdge::Failed {
                        uid: known.ask.uid,
                        reason: why,
                    },
                ));
            }
            Action::Migrate(task) => {
                let Some(known) = self.book.get(task) else {
                    return;
                };
                if let Stage::Bound { node, .. } = &known.stage {
                    self.delete_at(
                        &node.clone(),
                        (known.ask.tenant.clone(), known.ask.name.clone()),
                        out,
                    );
                }
            }
            Action::SubscribeEndpoints => out.push(Output::Subscribe),
            Action::SetTimer { after, token } => out.push(Output::Timer(after, token)),
            Action::PollLoad(machine) => {
                if let Some(node) = self.machines.of(machine)
                    && let Some(known) = self.nodes.0.get(node)
                {
                    out.push(Output::Probe(node.to_owned(), known.address.clone()));
                }
            }
            // Planners share nothing here; the settings say so, and the policy then tells nothing.
            Action::Gossip(_) => {}
            Action::Log(line) => out.push(Output::Log(line)),
        }
    }

    pub(super) fn why(&self, last: Option<&(String, String)>, otherwise: &str) -> String {
        match last {
            _ if !self.listed => "the register has listed no nodes yet".to_owned(),
            None => otherwise.to_owned(),
            Some((node, words)) => format!("{otherwise}; last word of a node: {node}: {words}"),
        }
    }

    pub(super) fn answer_questions(&mut self, now: f64, out: &mut Vec<Output>) {
        let questions = std::mem::take(&mut self.questions);
        for q in questions {
            let found = match self.listed {
                true => self.nodes.locate(&q.tenant, &q.name, &q.uid, q.asked_at),
                false => Location::Unknown,
            };
            // An earlier process of this planner offered it to a node that nobody has heard since.
            let heard = |node: &str| {
                self.nodes
                    .0
                    .get(node)
                    .is_some_and(crate::nodes::Node::is_known)
            };
            let found = match found {
                Location::Ended(TerminationReason::Succeeded) => found,
                Location::NotFound | Location::Ended(_) if self.attempts.unsure(&q.uid, heard) => {
                    Location::Unknown
                }
                found => found,
            };
            if found == Location::Unknown && now < q.asked_at + LOCATE_FOR {
                self.questions.push(q);
                continue;
            }
            out.push(Output::Edge(
                q.edge,
                ToEdge::Located {
                    uid: q.uid,
                    location: found,
                },
            ));
        }
    }
}
