//! The pool of connections to machines: its actions and events, and what the failure of a machine ends.

use super::{Gateway, Output};
use crate::UpstreamId;
use crate::message::{Message, cause};
use crate::pool::{ConnectionEnd, Pool, PoolAction, PoolEvent};
use crate::request_table::RequestState;
use tidespur_policy::interface::{AttemptOutcome, FailureCause, MachineId, Seconds};

impl Gateway {
    /// Calls the pool, and passes on the actions that it returns.
    pub(super) fn with_pool<T>(
        &mut self,
        outputs: &mut Vec<Output>,
        act: impl FnOnce(&mut Pool, &mut Vec<PoolAction>) -> T,
    ) -> T {
        let mut actions = Vec::new();
        let done = act(&mut self.pool, &mut actions);
        for act in actions {
            match act {
                PoolAction::OfferReady(upstream, id) => self.offer_ready(upstream, id, outputs),
                act => outputs.push(Output::Upstream(act)),
            }
        }
        done
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
        for pool_events in pool_events {
            match pool_events {
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

    /// Fails the tasks that were placed on a machine at or before `before`, and releases them to their owners.
    pub(super) fn machine_failed(
        &mut self,
        machine: MachineId,
        before: Seconds,
        outputs: &mut Vec<Output>,
    ) {
        for id in self.requests.placed_at_machine(machine) {
            let Some(RequestState::Placed { attempt, since, .. }) =
                self.requests.get(id).map(|r| r.state)
            else {
                continue;
            };
            if since > before {
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
