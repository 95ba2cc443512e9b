//! What edges say, and edges that are lost.

use super::{Core, Output, Question, SHED_FOR, UNWANTED_FOR};
use crate::book::{EdgeId, Stage};
use crate::nodes::Standing;
use crate::words;
use tidespur_api::task::PlacementRequest;
use tidespur_planner_protocol::{TerminationReason, ToEdge, ToPlanner};
use tidespur_policy::interface::{AttemptOutcome, Event, Resources, Task, TaskId};

impl Core {
    pub(super) fn edge(
        &mut self,
        now: f64,
        edge: EdgeId,
        message: ToPlanner,
        events: &mut Vec<Event>,
        out: &mut Vec<Output>,
    ) {
        match message {
            ToPlanner::Welcome { .. } | ToPlanner::Heartbeat => {}
            ToPlanner::PlannerCount {
                lease,
                token,
                planners,
            } => match self.fence.admit(&lease, token) {
                Ok(()) => {
                    out.push(Output::Log(format!(
                        "shares cold nodes with all of {planners} planners, by token {token} of {lease}"
                    )));
                    out.push(Output::Share(planners));
                }
                Err(stale) => {
                    out.push(Output::Log(format!("refused: {stale}")));
                    let newest = stale.newest;
                    out.push(Output::Edge(
                        edge,
                        ToEdge::StaleToken {
                            lease,
                            token,
                            newest,
                        },
                    ));
                }
            },
            // Its edge takes it back and gives it to another planner.
            ToPlanner::Place(ask) if self.stuck && !self.knows(&ask.uid) => {}
            ToPlanner::Place(ask) => match self.read_task(now, &ask) {
                Err(why) => out.push(Output::Edge(
                    edge,
                    ToEdge::Rejected {
                        uid: ask.uid,
                        reason: why,
                        retry_after: 0.0,
                    },
                )),
                // Only what is new: what was taken is never turned away, however often it is asked for.
                Ok(task) if !self.knows(&ask.uid) && !self.shedder.admit(task.class) => {
                    let why = "the planner is behind its work; ask again".to_owned();
                    out.push(Output::Edge(
                        edge,
                        ToEdge::Rejected {
                            uid: ask.uid,
                            reason: why,
                            retry_after: SHED_FOR,
                        },
                    ));
                }
                Ok(_) => {
                    out.push(Output::Edge(
                        edge,
                        ToEdge::Acknowledged {
                            uid: ask.uid.clone(),
                        },
                    ));
                    if self.book.id(&ask.uid).is_none() {
                        self.taken.insert(ask.uid.clone(), (edge, ask));
                    }
                }
            },
            ToPlanner::Commit {
                uid,
                timeout: within,
            } => {
                let Some((_, ask)) = self.taken.remove(&uid).filter(|(of, _)| *of == edge) else {
                    return;
                };
                let ask = PlacementRequest {
                    timeout: Some(within),
                    ..ask
                };
                let Ok(mut task) = self.read_task(now, &ask) else {
                    return;
                };
                let safe = !self.guarded[task.class];
                if let Some(id) = self.book.open(ask, edge, safe, Stage::Open, 0) {
                    task.id = id;
                    events.push(Event::TaskSubmitted(task));
                }
            }
            ToPlanner::Adopt { request: ask, node } => {
                let Ok(mut task) = self.read_task(now, &ask) else {
                    return;
                };
                let safe = !self.guarded[task.class];
                let stage = Stage::Bound {
                    attempt: 0,
                    node: node.clone(),
                };
                let (uid, name) = (ask.uid.clone(), (ask.tenant.clone(), ask.name.clone()));
                let Some(id) = self.book.open(ask, edge, safe, stage, 1) else {
                    self.hand_over(&uid, edge, out);
                    return;
                };
                task.id = id;
                let machine = words::machine(&node);
                self.machines.learn(machine, &node);
                events.push(Event::TaskAdopted(task, machine));
                out.push(Output::Edge(
                    edge,
                    ToEdge::Placed {
                        uid,
                        node: node.clone(),
                    },
                ));
                // It may have run on, ended or gone before we were told of it.
                let seen = self
                    .nodes
                    .0
                    .get(&node)
                    .map(|n| (n.standing, n.pods.get(&name).map(|held| held.at)));
                match seen {
                    Some((_, Some(at))) => self.seen(id, at, events, out),
                    Some((Standing::Watched | Standing::Dead, None)) => {
                        self.ended(id, TerminationReason::NodeLost, events, out)
                    }
                    _ => {}
                }
            }
            ToPlanner::Cancel { uid } => {
                if self.taken.remove(&uid).is_some() {
                    return;
                }
                self.unwanted.insert(uid.clone(), now + UNWANTED_FOR);
                if let Some(id) = self.book.id(&uid) {
                    self.stop(id, events, out);
                }
                self.reap(&uid, out);
            }
            ToPlanner::Locate { uid, tenant, name } => {
                self.questions.push(Question {
                    edge,
                    uid,
                    tenant,
                    name,
                    asked_at: now,
                });
            }
        }
    }

    /// An edge that was lost comes back for a task that is still known here.
    pub(super) fn hand_over(&mut self, uid: &str, edge: EdgeId, out: &mut Vec<Output>) {
        let Some(known) = self.book.id(uid).and_then(|id| self.book.get_mut(id)) else {
            return;
        };
        let Stage::Bound { node, .. } = &known.stage else {
            return;
        };
        known.edge = edge;
        out.push(Output::Edge(
            edge,
            ToEdge::Placed {
                uid: uid.to_owned(),
                node: node.clone(),
            },
        ));
        if known.runs {
            out.push(Output::Edge(
                edge,
                ToEdge::Started {
                    uid: uid.to_owned(),
                },
            ));
        }
    }

    /// Whether this task was taken, or is known otherwise.
    pub(super) fn knows(&self, uid: &str) -> bool {
        self.taken.contains_key(uid) || self.book.id(uid).is_some()
    }

    pub(super) fn read_task(&self, now: f64, ask: &PlacementRequest) -> Result<Task, String> {
        let class = match ask.class.as_str() {
            "" => 0,
            name => match self.config.classes.get_index_of(name) {
                Some(class) => class,
                None => return Err(format!("class {name:?} is not in the planner's settings")),
            },
        };
        let tenant = self
            .config
            .tenants
            .get_index_of(&ask.tenant)
            .unwrap_or(self.config.tenants.len());
        let within = ask.timeout.or(self
            .config
            .classes
            .get_index(class)
            .map(|(_, c)| c.deadline));
        Ok(Task {
            id: TaskId(0),
            class,
            tenant,
            service: words::service(&ask.service),
            deadline: now + within.unwrap_or(0.0),
            expected_duration: ask.expected_duration,
            request: Resources::new(ask.cores, ask.memory),
            is_resubmission: ask.is_resubmission,
        })
    }

    /// Its owner does not want it any more.
    pub(super) fn stop(&mut self, id: TaskId, events: &mut Vec<Event>, out: &mut Vec<Output>) {
        self.drop_open(id, events);
        let Some(known) = self.book.get(id) else {
            return;
        };
        let Stage::Bound { attempt, node } = known.stage.clone() else {
            return;
        };
        let name = (known.ask.tenant.clone(), known.ask.name.clone());
        self.delete_at(&node, name, out);
        let uid = known.ask.uid.clone();
        self.attempts.proved(&uid, &node);
        let ending = AttemptOutcome::Cancelled;
        events.push(Event::AttemptEnded {
            task: id,
            attempt,
            outcome: ending,
            closed: true,
            report: None,
        });
        self.book.close(id);
    }

    /// Nobody waits for an answer any more. One that is out is still waited for here; what a node has stays.
    pub(super) fn drop_open(&mut self, id: TaskId, events: &mut Vec<Event>) {
        let Some(known) = self.book.get_mut(id) else {
            return;
        };
        match known.stage.clone() {
            Stage::Open => drop(self.book.close(id)),
            Stage::Out { attempt, node } => known.stage = Stage::Leaving { attempt, node },
            Stage::Bound { .. } | Stage::Leaving { .. } => return,
        }
        events.push(Event::TaskCancelled(id));
    }

    /// The edge is lost. What was not yet answered is nobody's now; what runs runs on.
    pub(super) fn edge_lost(&mut self, edge: EdgeId, events: &mut Vec<Event>) {
        self.give_up(|of| of == edge, events);
        self.waits.forget(edge);
    }

    /// Whatever is open of these edges is nobody's any more.
    pub(super) fn give_up(&mut self, these: impl Fn(EdgeId) -> bool, events: &mut Vec<Event>) {
        self.questions.retain(|question| !these(question.edge));
        self.taken.retain(|_, (of, _)| !these(*of));
        let its: Vec<TaskId> = self
            .book
            .iter()
            .filter(|(_, known)| these(known.edge))
            .map(|(id, _)| id)
            .collect();
        its.into_iter().for_each(|id| self.drop_open(id, events));
    }
}
