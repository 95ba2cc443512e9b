//! Interface to the pool of connections to machines: forwards its actions, and handles its events and failed machines.

use super::{Gateway, Output};
use crate::UpstreamId;
use crate::message::{Message, cause};
use crate::pool::{ConnectionEnd, Pool, PoolAction, PoolEvent};
use crate::request_table::RequestState;
use tidespur_policy::interface::{AttemptOutcome, FailureCause, MachineId, Seconds};

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
                PoolEvent::MachineFailed(machine) => {
                    let name = self
                        .machines
                        .get(&machine)
                        .map_or("", |(name, _)| name.as_str());
                    outputs.push(Output::Log(format!("machine {name} has failed")));
                    self.machine_failed(machine, now, outputs);
                }
            }
        }
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
