//! Interface to the pool of connections to machines: forwards its actions, and handles its events and failed machines.

use super::{Gateway, Output};
use crate::UpstreamId;
use crate::message::{Message, RequestId, cause};
use crate::pool::{ConnectionEnd, Pool, PoolAction, PoolEvent};
use crate::request_table::RequestState;
use tidespur_policy::interface::{AttemptOutcome, Event, FailureCause, MachineId, Seconds};

impl Gateway {
    /// Calls the pool, and turns the actions that it returns into outputs.
    pub(super) fn with_pool<T>(
        &mut self,
        outputs: &mut Vec<Output>,
        call: impl FnOnce(&mut Pool, &mut Vec<PoolAction>) -> T,
    ) -> T {
        let mut actions = Vec::new();
        let result = call(&mut self.pool, &mut actions);
        for action in actions {
            match action {
                PoolAction::OfferReady(upstream, id) => self.offer_ready(upstream, id, outputs),
                action => outputs.push(Output::Upstream(action)),
            }
        }
        result
    }

    pub(super) fn upstream_ended(
        &mut self,
        now: Seconds,
        upstream: UpstreamId,
        end: ConnectionEnd,
        outputs: &mut Vec<Output>,
    ) {
        let mut pool_events = Vec::new();
        self.pool.ended(now, upstream, end, &mut pool_events);
        self.handle_pool_events(now, pool_events, outputs);
    }

    pub(super) fn upstream_malformed(
        &mut self,
        now: Seconds,
        upstream: UpstreamId,
        outputs: &mut Vec<Output>,
    ) {
        let mut pool_events = Vec::new();
        self.with_pool(outputs, |pool, actions| {
            pool.abort(now, upstream, actions, &mut pool_events)
        });
        self.handle_pool_events(now, pool_events, outputs);
    }

    pub(super) fn handle_pool_events(
        &mut self,
        now: Seconds,
        pool_events: Vec<PoolEvent>,
        outputs: &mut Vec<Output>,
    ) {
        for event in pool_events {
            match event {
                PoolEvent::ConnectFailed(id) => {
                    self.counts.unsent += 1;
                    self.attempt_ended(id, AttemptOutcome::ConnectFailed, None);
                }
                PoolEvent::Interrupted(id) => {
                    self.counts.interrupted += 1;
                    self.attempt_ended(
                        id,
                        AttemptOutcome::Interrupted(FailureCause::Unspecified),
                        None,
                    );
                }
                PoolEvent::NeverSent(id) => {
                    self.counts.unsent += 1;
                    self.attempt_ended(id, AttemptOutcome::NeverSent, None);
                }
                PoolEvent::ReleasesGivenUp(machine, count) => {
                    self.counts.releases_given_up += count;
                    let name = self.machine_name(machine);
                    outputs.push(Output::Log(format!(
                        "{count} releases to machine {name} could not be delivered; the tasks may run on there"
                    )));
                }
                PoolEvent::MachineFailed(machine) => {
                    let name = self.machine_name(machine);
                    outputs.push(Output::Log(format!("machine {name} has failed")));
                    self.machine_failed(machine, now, outputs);
                }
                PoolEvent::MachineReplaced {
                    machine,
                    successor,
                    offers,
                } => self.machine_replaced(now, machine, successor, &offers, outputs),
            }
        }
    }

    fn machine_name(&self, machine: MachineId) -> &str {
        self.machines
            .get(&machine)
            .map_or("", |known| known.name.as_str())
    }

    /// Handles a machine that is gone and whose address another one has. Tasks that were accepted on a connection
    /// dialled since the successor's start run there, though they were offered under the id of the machine that is
    /// gone; the others are lost.
    fn machine_replaced(
        &mut self,
        now: Seconds,
        machine: MachineId,
        successor: MachineId,
        offers: &[RequestId],
        outputs: &mut Vec<Output>,
    ) {
        let started_at = self
            .machines
            .get(&successor)
            .and_then(|known| known.started_at);
        let moved: Vec<RequestId> = self
            .requests
            .placed_at_machine(machine)
            .into_iter()
            .filter(|&id| self.is_accepted_since(id, started_at))
            .collect();
        for &id in &moved {
            self.requests.move_placed(id, successor);
            self.pool.task_ended(machine);
            self.pool.task_placed(now, successor);
        }
        self.counts.moved += moved.len() as u64;
        for id in offers.iter().chain(&moved) {
            let task = self.requests.get(*id).map(|request| request.task);
            let event = task.map(|task| Event::TaskMoved {
                task,
                machine: successor,
            });
            self.events.extend(event);
        }
        let lost = self.requests.placed_at_machine(machine).len();
        if lost + moved.len() > 0 {
            outputs.push(Output::Log(format!(
                "machine {} was replaced at its address by {}, which has {} of its tasks; {lost} are lost",
                self.machine_name(machine),
                self.machine_name(successor),
                moved.len()
            )));
        }
        self.machine_failed(machine, now, outputs);
    }

    /// Whether a task was accepted on a connection that was dialled at this time or later.
    fn is_accepted_since(&self, id: RequestId, time: Option<Seconds>) -> bool {
        let Some(RequestState::Placed {
            dialled_at: Some(dialled_at),
            ..
        }) = self.requests.get(id).map(|request| request.state)
        else {
            return false;
        };
        time.is_some_and(|time| dialled_at >= time)
    }

    /// Removes the tasks that were placed on a machine at or before `until`, and tells their owners that they failed.
    pub(super) fn machine_failed(
        &mut self,
        machine: MachineId,
        until: Seconds,
        outputs: &mut Vec<Output>,
    ) {
        for id in self.requests.placed_at_machine(machine) {
            let Some(RequestState::Placed { attempt, since, .. }) =
                self.requests.get(id).map(|r| r.state)
            else {
                continue;
            };
            if since > until {
                continue;
            }
            self.counts.lost += 1;
            self.reply(id, Message::release(id, cause::FAILED).encode(), outputs);
            self.finish_placed(
                id,
                attempt,
                AttemptOutcome::Interrupted(FailureCause::Unspecified),
                None,
            );
        }
    }
}
