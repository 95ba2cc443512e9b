//! The state machine of the gateway: inputs from sockets to events of the policy, its actions to bytes.

mod actions;
mod attempts;
mod clients;
mod io;
mod machines;
mod requests;
mod shutdown;

pub use io::{Input, Limits, Output, PeerCheck};

use clients::{IdConflict, ReadyOffers};
use shutdown::GracefulShutdown;

use crate::counts::Counts;
use crate::downstream::Downstreams;
use crate::error::GatewayError;
use crate::pool::{ConnectionEnd, ConnectionTimeouts, Pool};
use crate::request_table::{RequestTable, micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;
use tidespur_load_shedding::LoadShedder;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{AttemptOutcome, Event, LoadReport, MachineId, Seconds, TaskId};
use tidespur_site_settings::Site;

/// Set-ups without an answer on one connection; more are refused at once.
const MAX_PENDING_PER_CLIENT: usize = 256;
/// Set-ups without an answer in all.
const MAX_PENDING: usize = 8_192;
/// Requests and tasks that stand, in all: more are not taken over. Guards against clients that name tasks without end.
/// Harm: whoever has more is told that they failed.
const MAX_REQUESTS: usize = 32_768;
/// Releases that wait for a way to their owner.
const MAX_PENDING_RELEASES: usize = 4_096;
/// Time goes on at least this often.
const TICK_INTERVAL: Seconds = 0.1;

/// A step this long after the one before: the loop stood still, as with a tick alone it comes sooner.
const LOOP_STALL_TIMEOUT: Seconds = 2.0 * TICK_INTERVAL;

/// The gateway of one scheduler.
pub struct Gateway {
    site: Site,
    policy: Scheduler,
    requests: RequestTable,
    pool: Pool,
    downstreams: Downstreams,
    /// Machines that are listed, or of which something is still here: name, and when it last started.
    machines: BTreeMap<MachineId, (String, Option<Seconds>)>,
    last_revision: u64,
    events: Vec<Event>,
    timers: BTreeSet<(u64, u64)>,
    pending_releases: VecDeque<(Option<IpAddr>, Vec<u8>)>,
    /// Set-ups that leave once their clients are known to be there still, and who is looked at for it.
    ready_offers: ReadyOffers,
    /// Set-ups under the numbers of others' requests, until the others' connections have been looked at.
    id_conflicts: Vec<IdConflict>,
    shutdown: Option<GracefulShutdown>,
    last_tick: Seconds,
    last_step: Seconds,
    shedder: LoadShedder,
    counts: Counts,
}

impl Gateway {
    /// Creates a gateway whose policy has seen no endpoint and no task yet.
    ///
    /// # Errors
    /// Fails with [`GatewayError::Settings`] if the policy rejects a setting of the site.
    pub fn new(site: Site, limits: Limits, seed: u64) -> Result<Self, GatewayError> {
        let policy = Scheduler::new(site.settings.clone(), seed)?;
        let shedder = LoadShedder::for_classes(
            site.settings
                .classes
                .iter()
                .map(|class| (class.latency_objective, class.priority_weight)),
        );
        let timeouts = ConnectionTimeouts {
            connect: site.connect_timeout,
            idle: site.connection_idle,
        };
        Ok(Self {
            policy,
            requests: RequestTable::default(),
            pool: Pool::new(limits.upstreams, timeouts),
            downstreams: Downstreams::new(limits.downstreams),
            machines: BTreeMap::new(),
            last_revision: 0,
            events: Vec::new(),
            timers: BTreeSet::new(),
            pending_releases: VecDeque::new(),
            ready_offers: ReadyOffers::default(),
            id_conflicts: Vec::new(),
            shutdown: None,
            last_tick: 0.0,
            last_step: 0.0,
            shedder,
            counts: Counts::default(),
            site,
        })
    }

    /// Number of the last event of the notice board that was taken in.
    pub fn last_revision(&self) -> u64 {
        self.last_revision
    }

    /// The settings that it works by.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Machines, and connections to them, that were looked at so far: the work of choosing.
    pub fn looked(&self) -> [u64; 2] {
        [
            self.policy.machines_examined(),
            self.pool.connections_examined(),
        ]
    }

    /// What was done so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Requests, those that wait, connections of clients and to machines, machines known.
    pub fn sizes(&self) -> [usize; 5] {
        let clients = self.downstreams.count();
        [
            self.requests.count(),
            self.requests.pending_count(),
            clients,
            self.pool.count(),
            self.pool.peer_count(),
        ]
    }

    /// When [`Input::Tick`] is due at the latest.
    pub fn next_wake(&self) -> Seconds {
        let timer = self
            .timers
            .first()
            .map_or(f64::INFINITY, |&(at, _)| at as f64 / 1e6);
        let late = self
            .requests
            .next_attempt_deadline()
            .map_or(f64::INFINITY, |at| at as f64 / 1e6);
        timer
            .min(late)
            .min(self.last_tick + TICK_INTERVAL)
            .min(self.ready_offers.recheck_at)
            .min(self.next_shutdown_deadline())
    }

    /// Takes in what came at `now`, and tells what is to be done.
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
        // An offer that can't leave is an event at once; the policy's attempts bound how often.
        while !self.events.is_empty() {
            let mut actions = Vec::new();
            self.policy
                .step(now, std::mem::take(&mut self.events), &mut actions);
            for action in actions {
                self.carry_out(now, action, outputs);
            }
        }
    }

    fn handle_input(&mut self, now: Seconds, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::DownstreamOpened(client, from) => {
                self.downstreams.opened(now, client, from);
                self.close_surplus(now, outputs);
            }
            Input::DownstreamMessage(client, message) if self.downstreams.contains(client) => {
                self.downstream_message(now, client, message, outputs);
            }
            Input::DownstreamMessage(..) => {}
            Input::DownstreamMalformed(client) => {
                self.counts.malformed += 1;
                self.close_client(now, client, outputs);
            }
            Input::DownstreamClosed(client) => {
                self.downstreams.remove(client);
                self.cancel_client_requests(now, client, outputs);
            }
            Input::DownstreamPeerClosed(client) => {
                self.downstream_peer_closed(now, client, outputs)
            }
            Input::DownstreamChecked(client, check) => {
                self.downstream_checked(now, client, check, outputs)
            }
            Input::UpstreamOpened(upstream) => {
                self.with_pool(outputs, |pool, actions| pool.opened(now, upstream, actions))
            }
            Input::UpstreamConnectRefused(upstream) => {
                self.upstream_ended(now, upstream, ConnectionEnd::Refused, outputs)
            }
            Input::UpstreamEnded(upstream) | Input::UpstreamConnectFailed(upstream) => {
                self.upstream_ended(now, upstream, ConnectionEnd::Other, outputs);
            }
            Input::UpstreamWriteFailed(upstream, offer) => {
                self.upstream_ended(now, upstream, ConnectionEnd::WriteFailed(offer), outputs);
            }
            Input::UpstreamBlocked(upstream, offer, bytes) => {
                self.pool.write_blocked(upstream, offer, bytes)
            }
            Input::UpstreamPartiallyWritten(upstream, offer) => {
                self.pool.partially_written(upstream, offer)
            }
            Input::UpstreamDrained(upstream) => self.with_pool(outputs, |pool, actions| {
                pool.write_drained(upstream, actions)
            }),
            Input::UpstreamChecked(upstream) => self.upstream_checked(now, upstream, outputs),
            Input::UpstreamMalformed(upstream) => self.upstream_malformed(now, upstream, outputs),
            Input::UpstreamMessage(upstream, message) => {
                self.upstream_message(now, upstream, &message, outputs)
            }
            Input::EndpointsDelivered(event) => self.endpoints_delivered(now, event, outputs),
            Input::Shutdown => self.begin_shutdown(now),
            Input::ListeningStopped => self.listening_stopped(outputs),
            Input::LagMeasured(late) => {
                self.counts.max_lag_ms = self.counts.max_lag_ms.max((late * 1e3) as u64);
                self.shedder.observe_lag(now, late);
            }
            Input::Tick => {}
        }
    }

    /// What is due by now.
    fn handle_timers(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        while let Some(&(at, token)) = self.timers.first().filter(|&&(at, _)| at <= micros(now)) {
            self.timers.remove(&(at, token));
            self.events.push(Event::TimerFired(token));
        }
        self.check_overdue_attempts(now, outputs);
        self.recheck_busy_clients(now, outputs);
        self.advance_shutdown(now, outputs);
        if now - self.last_tick < TICK_INTERVAL {
            return;
        }
        self.last_tick = now;
        let mut pool_events = Vec::new();
        self.with_pool(outputs, |pool, actions| {
            pool.tick(now, actions, &mut pool_events)
        });
        self.handle_pool_events(now, pool_events, outputs);
        for client in self.downstreams.mark_silent(now) {
            outputs.push(Output::CheckDownstream(client));
        }
        // Machines come and go without end: what is kept of one goes with its last connection.
        let pool = &self.pool;
        self.machines.retain(|machine, _| pool.knows(*machine));
        self.send_pending_releases(outputs);
        self.recheck_closing_clients(outputs);
    }
}

/// The policy's event about an attempt that has ended.
fn attempt_ended_event(
    task: TaskId,
    attempt: u32,
    outcome: AttemptOutcome,
    closed: bool,
    report: Option<LoadReport>,
) -> Event {
    Event::AttemptEnded {
        task,
        attempt,
        outcome,
        closed,
        report,
    }
}
