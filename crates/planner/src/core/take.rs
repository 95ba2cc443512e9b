//! What came, led to where it belongs.

use super::{Core, Input, LOCATE_FOR, Output, read_held};
use crate::nodes::Standing;
use crate::words::{self, AtNode};
use std::collections::BTreeSet;
use tidespur_planner_protocol::TerminationReason;
use tidespur_policy::interface::{Endpoint, EndpointStatus as Listing, Event};

impl Core {
    pub(super) fn take(
        &mut self,
        now: f64,
        input: Input,
        events: &mut Vec<Event>,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::Edge(edge, message) => self.edge(now, edge, message, events, out),
            Input::EdgeLost(edge) => self.edge_lost(edge, events),
            Input::ListWhole(list) => {
                let list: Vec<_> = list
                    .iter()
                    .filter_map(|node| words::node(node, &self.config))
                    .collect();
                let names: BTreeSet<&str> = list.iter().map(|node| node.name.as_str()).collect();
                let gone: Vec<String> = self
                    .nodes
                    .0
                    .iter()
                    .filter(|(n, node)| node.listed && !names.contains(n.as_str()))
                    .map(|(n, _)| n.clone())
                    .collect();
                self.listed = true;
                let entries = list.into_iter().map(|node| self.learn(node, out)).collect();
                events.push(Event::EndpointsListed(entries));
                gone.into_iter()
                    .for_each(|node| self.node_gone(now, &node, events, out));
            }
            Input::ListChange(object, deleted) => {
                let Some(mut node) = words::node(&object, &self.config) else {
                    return;
                };
                if deleted {
                    node.entry.status = Listing::Gone;
                }
                let (name, gone) = (node.name.clone(), node.entry.status == Listing::Gone);
                let entry = self.learn(node, out);
                events.push(Event::EndpointsChanged(vec![entry]));
                if gone {
                    self.node_gone(now, &name, events, out);
                }
            }
            Input::ListFailed => events.push(Event::EndpointListFailed),
            Input::Answered {
                task,
                attempt,
                answer,
            } => self.answered(now, task, attempt, answer, events, out),
            Input::NodeHolds(node, pods) => {
                let held: Vec<_> = pods.iter().map(read_held).collect();
                let names: BTreeSet<&(String, String)> =
                    held.iter().map(|(name, _)| name).collect();
                let uids: BTreeSet<&str> = held.iter().map(|(_, held)| held.uid.as_str()).collect();
                self.attempts.holds(now, &node, &uids, &names);
                let Some(known) = self.nodes.0.get_mut(&node) else {
                    return;
                };
                if !known.is_known() && known.listed {
                    events.extend(
                        known
                            .entry
                            .clone()
                            .map(|entry| Event::EndpointsChanged(vec![entry])),
                    );
                }
                (known.standing, known.heard) = (Standing::Watched, now);
                known.pods.retain(|name, _| names.contains(name));
                for (name, held) in held {
                    self.see(now, &node, name, held, events, out);
                }
                // What we had there and is no more was lost: it came back cold.
                for task in self.book.bound_at(&node) {
                    let Some(known) = self.book.get(task) else {
                        continue;
                    };
                    let name = (known.ask.tenant.clone(), known.ask.name.clone());
                    if !self
                        .nodes
                        .0
                        .get(&node)
                        .is_some_and(|n| n.pods.contains_key(&name))
                    {
                        self.ended(task, TerminationReason::NodeLost, events, out);
                    }
                }
            }
            Input::NodePod(node, pod, deleted) => {
                let Some(known) = self.nodes.0.get_mut(&node) else {
                    return;
                };
                (known.standing, known.heard) = (Standing::Watched, now);
                let (name, held) = read_held(&pod);
                if deleted {
                    known.pods.remove(&name);
                    if let Some(task) = self.book.id(&held.uid)
                        && self.is_at(task, &node)
                    {
                        let end = if let AtNode::Over(end) = held.at {
                            end
                        } else {
                            TerminationReason::Stopped
                        };
                        self.ended(task, end, events, out);
                    }
                } else {
                    self.see(now, &node, name, held, events, out);
                }
            }
            Input::NodeHeard(node) => {
                if let Some(known) = self.nodes.0.get_mut(&node) {
                    (known.standing, known.heard) = (Standing::Watched, now);
                }
            }
            Input::NodeDown(node, dead) => {
                let Some(known) = self.nodes.0.get_mut(&node) else {
                    return;
                };
                known.standing = if dead {
                    Standing::Dead
                } else {
                    Standing::Unheard
                };
                if dead {
                    known.pods.clear();
                    for task in self.book.bound_at(&node) {
                        self.ended(task, TerminationReason::NodeLost, events, out);
                    }
                }
            }
            Input::Probed(node, report) => events.push(Event::LoadPolled {
                machine: words::machine(&node),
                report,
            }),
            Input::Timer(token) => events.push(Event::TimerFired(token)),
            Input::Sent(at) => self.shedder.observe_lag(now, now - at),
            Input::Tick => {}
        }
    }

    /// A line of the list, as the policy is to know it: a node that has not said what it holds is offered nothing. Guards
    /// against a planner that begins, or a fleet that returns, and offers before it knows what runs there. Harm: a node
    /// whose watch can't be opened gets nothing though it might answer offers.
    pub(super) fn learn(&mut self, node: words::Listed, out: &mut Vec<Output>) -> Endpoint {
        self.machines.learn(node.entry.machine, &node.name);
        if self.nodes.list(&node.name, &node.address, &node.zone) {
            out.push(Output::WatchNode(node.name.clone(), node.address));
        }
        if let Some(known) = self.nodes.0.get_mut(&node.name) {
            known.listed = node.entry.status != Listing::Gone;
            known.entry = Some(node.entry.clone());
            if !known.is_known() {
                return Endpoint {
                    status: Listing::Gone,
                    ..node.entry
                };
            }
        }
        node.entry
    }

    /// The list says that a node is gone. What it held is lost unless it is heard all the same: a list that lags or
    /// flaps must not end what runs.
    pub(super) fn node_gone(
        &mut self,
        now: f64,
        node: &str,
        events: &mut Vec<Event>,
        out: &mut Vec<Output>,
    ) {
        let Some(known) = self.nodes.0.get_mut(node) else {
            return;
        };
        known.listed = false;
        if known.standing == Standing::Watched && now - known.heard < LOCATE_FOR {
            return;
        }
        known.pods.clear();
        self.attempts.gone(node);
        for task in self.book.bound_at(node) {
            self.ended(task, TerminationReason::NodeLost, events, out);
        }
    }
}
