//! A step of the gateway: handles inputs, fires due timers, runs the policy and carries out its actions.
//!
//! The event loop of `gateway-net` calls [`Gateway::step`] with the inputs that have arrived since the last step.

use super::{Gateway, Input, LOOP_STALL_TIMEOUT, Output, TICK_INTERVAL};
use crate::DownstreamId;
use crate::pool::ConnectionEnd;
use crate::request_table::micros;
use std::net::IpAddr;
use tidespur_policy::interface::{Event, Seconds};

impl Gateway {
    /// Handles the inputs and the timers that are due by `now`, and appends the resulting outputs to `outputs`.
    pub fn step(
        &mut self,
        now: Seconds,
        inputs: impl IntoIterator<Item = Input>,
        outputs: &mut Vec<Output>,
    ) {
        if now - self.last_step > LOOP_STALL_TIMEOUT {
            self.pool.loop_stalled(now);
        }
        self.last_step = now;
        for input in inputs {
            self.handle_input(now, input, outputs);
        }
        self.handle_timers(now, outputs);
        self.run_policy(now, outputs);
    }

    /// Runs the policy until no event is left. An offer that can't be sent results in a new event; the policy's limit
    /// on attempts bounds the number of rounds.
    fn run_policy(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        while !self.events.is_empty() {
            let mut actions = Vec::new();
            self.policy
                .step(now, std::mem::take(&mut self.events), &mut actions);
            for action in actions {
                self.apply_action(now, action, outputs);
            }
        }
    }

    fn handle_input(&mut self, now: Seconds, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::DownstreamOpened(..)
            | Input::DownstreamMessage(..)
            | Input::DownstreamMalformed(_)
            | Input::DownstreamClosed(_)
            | Input::DownstreamPeerClosed(_)
            | Input::DownstreamChecked(..) => self.handle_downstream_input(now, input, outputs),
            Input::EndpointsDelivered(event) => self.endpoints_delivered(now, event, outputs),
            Input::Shutdown => self.begin_shutdown(now),
            Input::ListeningStopped => self.listening_stopped(outputs),
            Input::LagMeasured(lag) => self.lag_measured(now, lag),
            Input::Tick => {}
            upstream_input => self.handle_upstream_input(now, upstream_input, outputs),
        }
    }

    fn handle_downstream_input(&mut self, now: Seconds, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::DownstreamOpened(client, address) => {
                self.downstream_opened(now, client, address, outputs);
            }
            Input::DownstreamMessage(client, message) if self.downstreams.contains(client) => {
                self.downstream_message(now, client, message, outputs);
            }
            Input::DownstreamMalformed(client) => self.downstream_malformed(now, client, outputs),
            Input::DownstreamClosed(client) => self.downstream_closed(now, client, outputs),
            Input::DownstreamPeerClosed(client) => {
                self.downstream_peer_closed(now, client, outputs);
            }
            Input::DownstreamChecked(client, check) => {
                self.downstream_checked(now, client, check, outputs);
            }
            // A message on a connection that the gateway has closed.
            _ => {}
        }
    }

    fn handle_upstream_input(&mut self, now: Seconds, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::UpstreamOpened(upstream) => {
                self.with_pool(outputs, |pool, actions| pool.opened(now, upstream, actions));
            }
            Input::UpstreamConnectRefused(upstream) => {
                self.upstream_ended(now, upstream, ConnectionEnd::Refused, outputs);
            }
            Input::UpstreamEnded(upstream) => {
                self.upstream_ended(now, upstream, ConnectionEnd::Closed, outputs);
            }
            Input::UpstreamReset(upstream) | Input::UpstreamConnectFailed(upstream) => {
                self.upstream_ended(now, upstream, ConnectionEnd::Other, outputs);
            }
            Input::UpstreamWriteFailed(upstream, offer) => {
                self.upstream_ended(now, upstream, ConnectionEnd::WriteFailed(offer), outputs);
            }
            Input::UpstreamBlocked(upstream, offer, bytes) => {
                self.pool.write_blocked(upstream, offer, bytes);
            }
            Input::UpstreamPartiallyWritten(upstream, offer) => {
                self.pool.partially_written(upstream, offer);
            }
            Input::UpstreamDrained(upstream) => self.with_pool(outputs, |pool, actions| {
                pool.write_drained(upstream, actions);
            }),
            Input::UpstreamChecked(upstream) => self.upstream_checked(now, upstream, outputs),
            Input::UpstreamMalformed(upstream) => self.upstream_malformed(now, upstream, outputs),
            Input::UpstreamMessage(upstream, message) => {
                self.upstream_message(now, upstream, &message, outputs);
            }
            _ => {}
        }
    }

    fn downstream_opened(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        address: IpAddr,
        outputs: &mut Vec<Output>,
    ) {
        self.downstreams.opened(now, client, address);
        self.close_surplus(now, outputs);
    }

    fn downstream_malformed(
        &mut self,
        now: Seconds,
        client: DownstreamId,
        outputs: &mut Vec<Output>,
    ) {
        self.counts.malformed += 1;
        self.close_client(now, client, outputs);
    }

    fn downstream_closed(&mut self, now: Seconds, client: DownstreamId, outputs: &mut Vec<Output>) {
        self.downstreams.remove(client);
        self.cancel_client_requests(now, client, outputs);
    }

    /// Records that an input was handled `lag` seconds after it was due.
    fn lag_measured(&mut self, now: Seconds, lag: Seconds) {
        self.counts.max_lag_ms = self.counts.max_lag_ms.max((lag * 1e3) as u64);
        self.shedder.observe_lag(now, lag);
    }

    /// Handles what is due by `now`: timers of the policy, deadlines of attempts, rechecks and the shutdown in each
    /// step, maintenance once per [`TICK_INTERVAL`].
    fn handle_timers(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        while let Some(&(at, token)) = self.timers.first().filter(|&&(at, _)| at <= micros(now)) {
            self.timers.remove(&(at, token));
            self.events.push(Event::TimerFired(token));
        }
        self.check_overdue_attempts(now, outputs);
        self.recheck_busy_clients(now, outputs);
        self.advance_shutdown(now, outputs);
        if now - self.last_tick >= TICK_INTERVAL {
            self.last_tick = now;
            self.run_maintenance(now, outputs);
        }
    }

    fn run_maintenance(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        let mut pool_events = Vec::new();
        self.with_pool(outputs, |pool, actions| {
            pool.tick(now, actions, &mut pool_events);
        });
        self.handle_pool_events(now, pool_events, outputs);
        for client in self.downstreams.mark_silent(now) {
            outputs.push(Output::CheckDownstream(client));
        }
        self.close_surplus(now, outputs);
        // Bounds the memory for machines that were replaced: an entry is dropped once the pool has dropped the machine.
        let pool = &self.pool;
        self.machines.retain(|machine, _| pool.contains(*machine));
        self.send_pending_releases(outputs);
        self.recheck_closing_clients(outputs);
    }
}
