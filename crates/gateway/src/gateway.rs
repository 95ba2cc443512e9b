//! The state machine of the gateway: inputs from sockets to events of the policy, its actions to bytes.

mod actions;
mod attempts;
mod clients;
mod io;
mod machines;
mod requests;
mod shutdown;

pub use io::{Input, Limits, Output, Seen};

use clients::{Claim, Due};
use shutdown::Leaving;

use crate::counts::Counts;
use crate::discovery::Delivery;
use crate::downstream::Downstreams;
use crate::message::{Id, Kind, Message, cause, code};
use crate::pool::{End, News, Pool, PoolAction, Times};
use crate::table::{Attempt, Request, RequestTable, Stage, micros};
use crate::{DownstreamId, UpstreamId, ask, discovery};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;
use tidespur_load_shedding::LoadShedder;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{
    Action, AttemptOutcome, EndpointStatus, Event, FailureCause, LoadReport, MachineId,
    RetrySafety, Seconds, TaskId,
};
use tidespur_site_settings::Site;

/// Set-ups without an answer on one connection; more are refused at once.
const OPEN_MOST: usize = 256;
/// Set-ups without an answer in all.
const OPEN_MOST_ALL: usize = 8_192;
/// Requests and tasks that stand, in all: more are not taken over. Guards against clients that name tasks without end.
/// Harm: whoever has more is told that they failed.
const REQUESTS_MOST: usize = 32_768;
/// Releases that wait for a way to their owner.
const OWED_MOST: usize = 4_096;
/// Time goes on at least this often.
const TICK: Seconds = 0.1;

/// A step this long after the one before: the loop stood still, as with a tick alone it comes sooner.
const STALL: Seconds = 2.0 * TICK;

/// The gateway of one scheduler.
pub struct Gateway {
    site: Site,
    policy: Scheduler,
    table: RequestTable,
    pool: Pool,
    downstreams: Downstreams,
    /// Machines that are listed, or of which something is still here: name, and when it last started.
    known: BTreeMap<MachineId, (String, Option<Seconds>)>,
    delivered: u64,
    events: Vec<Event>,
    timers: BTreeSet<(u64, u64)>,
    owed: VecDeque<(Option<IpAddr>, Vec<u8>)>,
    /// Set-ups that leave once their clients are known to be there still, and who is looked at for it.
    due: Due,
    /// Set-ups under the numbers of others' requests, until the others' connections have been looked at.
    claims: Vec<Claim>,
    leaving: Option<Leaving>,
    ticked: Seconds,
    stepped: Seconds,
    shedder: LoadShedder,
    counts: Counts,
}

impl Gateway {
    /// A gateway over a policy that knows nothing yet.
    ///
    /// # Errors
    /// Settings that the policy can't work with.
    pub fn new(site: Site, limits: Limits, seed: u64) -> Result<Self, String> {
        let policy = Scheduler::new(site.settings.clone(), seed).map_err(|e| e.to_string())?;
        let shedder = LoadShedder::for_classes(
            site.settings
                .classes
                .iter()
                .map(|class| (class.latency_objective, class.priority_weight)),
        );
        let times = Times {
            connect_within: site.connect_timeout,
            idle: site.connection_idle,
        };
        Ok(Self {
            policy,
            table: RequestTable::default(),
            pool: Pool::new(limits.upstreams, times),
            downstreams: Downstreams::new(limits.downstreams),
            known: BTreeMap::new(),
            delivered: 0,
            events: Vec::new(),
            timers: BTreeSet::new(),
            owed: VecDeque::new(),
            due: Due::default(),
            claims: Vec::new(),
            leaving: None,
            ticked: 0.0,
            stepped: 0.0,
            shedder,
            counts: Counts::default(),
            site,
        })
    }

    /// Number of the last event of the notice board that was taken in.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// The settings that it works by.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Machines, and connections to them, that were looked at so far: the work of choosing.
    pub fn looked(&self) -> [u64; 2] {
        [self.policy.machines_examined(), self.pool.looked()]
    }

    /// What was done so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Requests, those that wait, connections of clients and to machines, machines known.
    pub fn sizes(&self) -> [usize; 5] {
        let clients = self.downstreams.count();
        [
            self.table.count(),
            self.table.waiting(),
            clients,
            self.pool.count(),
            self.pool.peers(),
        ]
    }

    /// When [`Input::Tick`] is due at the latest.
    pub fn next_wake(&self) -> Seconds {
        let timer = self
            .timers
            .first()
            .map_or(f64::INFINITY, |&(at, _)| at as f64 / 1e6);
        let late = self
            .table
            .next_late()
            .map_or(f64::INFINITY, |at| at as f64 / 1e6);
        timer
            .min(late)
            .min(self.ticked + TICK)
            .min(self.due.again_at)
            .min(self.leaves_at())
    }

    /// Takes in what came at `now`, and tells what is to be done.
    pub fn step(
        &mut self,
        now: Seconds,
        inputs: impl IntoIterator<Item = Input>,
        out: &mut Vec<Output>,
    ) {
        if now - self.stepped > STALL {
            self.pool.stalled(now);
        }
        self.stepped = now;
        for input in inputs {
            self.take(now, input, out);
        }
        self.pass(now, out);
        // An offer that can't leave is an event at once; the policy's attempts bound how often.
        while !self.events.is_empty() {
            let mut actions = Vec::new();
            self.policy
                .step(now, std::mem::take(&mut self.events), &mut actions);
            for action in actions {
                self.carry_out(now, action, out);
            }
        }
    }

    fn take(&mut self, now: Seconds, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::DownstreamOpened(client, from) => {
                self.downstreams.opened(now, client, from);
                self.close_surplus(now, out);
            }
            Input::DownstreamSaid(client, message) if self.downstreams.has(client) => {
                self.client_said(now, client, message, out);
            }
            Input::DownstreamSaid(..) => {}
            Input::DownstreamMalformed(client) => {
                self.counts.useless += 1;
                self.close_client(now, client, out);
            }
            Input::DownstreamClosed(client) => {
                self.downstreams.closed(client);
                self.forget_client(now, client, out);
            }
            Input::DownstreamGone(client) => self.client_gone(now, client, out),
            Input::Looked(client, seen) => self.looked_at(now, client, seen, out),
            Input::UpstreamOpened(line) => {
                self.on_pool(out, |pool, acts| pool.opened(now, line, acts))
            }
            Input::UpstreamRefused(line) => self.line_ended(now, line, End::Refused, out),
            Input::UpstreamEnded(line) | Input::UpstreamFailed(line) => {
                self.line_ended(now, line, End::Other, out);
            }
            Input::UpstreamUnwritten(line, offer) => {
                self.line_ended(now, line, End::Unwritten(offer), out);
            }
            Input::UpstreamFull(line, offer, bytes) => self.pool.full(line, offer, bytes),
            Input::UpstreamPart(line, offer) => self.pool.part(line, offer),
            Input::UpstreamDrained(line) => {
                self.on_pool(out, |pool, acts| pool.drained(line, acts))
            }
            Input::UpstreamLooked(line) => self.upstream_looked_at(now, line, out),
            Input::UpstreamMalformed(line) => self.malformed(now, line, out),
            Input::UpstreamSaid(line, message) => self.line_said(now, line, &message, out),
            Input::Delivered(event) => self.delivered_event(now, event, out),
            Input::Leave => self.leave(now),
            Input::Unlistened => self.unlistened(out),
            Input::Lag(late) => {
                self.counts.lag_most = self.counts.lag_most.max((late * 1e3) as u64);
                self.shedder.observe_lag(now, late);
            }
            Input::Tick => {}
        }
    }

    /// What is due by now.
    fn pass(&mut self, now: Seconds, out: &mut Vec<Output>) {
        while let Some(&(at, token)) = self.timers.first().filter(|&&(at, _)| at <= micros(now)) {
            self.timers.remove(&(at, token));
            self.events.push(Event::TimerFired(token));
        }
        self.overdue(now, out);
        self.look_again(now, out);
        self.leave_on(now, out);
        if now - self.ticked < TICK {
            return;
        }
        self.ticked = now;
        let mut news = Vec::new();
        self.on_pool(out, |pool, acts| pool.tick(now, acts, &mut news));
        self.hear(now, news, out);
        for client in self.downstreams.silent(now) {
            out.push(Output::Look(client));
        }
        // Machines come and go without end: what is kept of one goes with its last connection.
        let pool = &self.pool;
        self.known.retain(|machine, _| pool.knows(*machine));
        self.pay(out);
        self.close_on(out);
    }
}

fn event(
    (task, attempt, ending, closed, report): (
        TaskId,
        u32,
        AttemptOutcome,
        bool,
        Option<LoadReport>,
    ),
) -> Event {
    Event::AttemptEnded {
        task,
        attempt,
        outcome: ending,
        closed,
        report,
    }
}
