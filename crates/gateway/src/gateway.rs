//! The gateway's state machine: turns inputs of connections into events for the policy, and its actions into messages.
//!
//! [`Gateway`] owns the request table, the connections of clients, the pool of connections to machines and the policy.
//! It does no I/O: the event loop of `gateway-net` calls [`Gateway::step`] and carries out its outputs.

mod actions;
mod attempts;
mod clients;
mod endpoints;
mod id_conflicts;
mod inputs;
mod io;
mod machines;
mod owner_messages;
mod recent_ends;
mod requests;
mod set_ups;
mod shutdown;
mod upstream_messages;

pub use io::{Input, Limits, MemoryLimits, Output, PeerCheck};

use clients::ReadyOffers;
use id_conflicts::IdConflict;
use owner_messages::PendingRelease;
use recent_ends::RecentEnds;
use shutdown::GracefulShutdown;

use crate::counts::{Counts, ExaminedCounts, Sizes};
use crate::downstream::Downstreams;
use crate::error::GatewayError;
use crate::pool::{ConnectionTimeouts, Pool};
use crate::request_table::RequestTable;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tidespur_load_shedding::LoadShedder;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{Event, MachineId, Seconds};
use tidespur_site_settings::Site;

/// Pending requests on one client connection; more are rejected.
const MAX_PENDING_PER_CLIENT: usize = 256;
/// Pending requests of all clients; more are rejected.
const MAX_PENDING: usize = 8_192;
/// Maintenance runs at this interval; the event loop wakes at least as often.
const TICK_INTERVAL: Seconds = 0.1;

/// A step that begins this long after the previous one shows that the event loop stalled, as ticks are more frequent.
const LOOP_STALL_TIMEOUT: Seconds = 2.0 * TICK_INTERVAL;

/// A machine's name on the platform, and its last start.
struct KnownMachine {
    name: String,
    /// `None` if it is not listed, or started before all schedulers.
    started_at: Option<Seconds>,
}

/// The gateway of one scheduler; see the module documentation.
pub struct Gateway {
    site: Site,
    policy: Scheduler,
    requests: RequestTable,
    /// Placed tasks beyond which none is adopted; their owners are told that they failed.
    max_placed: usize,
    pool: Pool,
    downstreams: Downstreams,
    /// Machines that are listed or still in the pool.
    machines: BTreeMap<MachineId, KnownMachine>,
    last_revision: u64,
    events: Vec<Event>,
    /// Timers of the policy: due time in microseconds, and token.
    timers: BTreeSet<(u64, u64)>,
    /// Releases without a connection to their owner.
    pending_releases: VecDeque<PendingRelease>,
    /// Offers that are sent once a check has shown that their clients are still connected.
    ready_offers: ReadyOffers,
    /// How many more connections may be checked now because there are too many.
    surplus_checks_left: u32,
    /// Set-ups whose id is in use on another connection, until that connection has been checked.
    id_conflicts: Vec<IdConflict>,
    recent_ends: RecentEnds,
    shutdown: Option<GracefulShutdown>,
    last_tick: Seconds,
    last_step: Seconds,
    shedder: LoadShedder,
    counts: Counts,
}

impl Gateway {
    /// Creates a gateway without endpoints and tasks. The seed makes the policy's random choices repeatable.
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
            idle: site.idle_connection_timeout,
        };
        Ok(Self {
            policy,
            requests: RequestTable::new(limits.memory.pending_bytes),
            max_placed: limits.memory.max_placed,
            pool: Pool::new(limits.upstreams, timeouts),
            downstreams: Downstreams::new(limits.downstreams),
            machines: BTreeMap::new(),
            last_revision: 0,
            events: Vec::new(),
            timers: BTreeSet::new(),
            pending_releases: VecDeque::new(),
            ready_offers: ReadyOffers::default(),
            surplus_checks_left: 0,
            id_conflicts: Vec::new(),
            recent_ends: RecentEnds::default(),
            shutdown: None,
            last_tick: 0.0,
            last_step: 0.0,
            shedder,
            counts: Counts::default(),
            site,
        })
    }

    /// Revision of the last watch event that was applied; 0 before the first.
    pub fn last_revision(&self) -> u64 {
        self.last_revision
    }

    /// Settings that the gateway was created with.
    pub fn site(&self) -> &Site {
        &self.site
    }

    /// Machines and connections examined since the start.
    pub fn examined(&self) -> ExaminedCounts {
        ExaminedCounts {
            machines: self.policy.machines_examined(),
            connections: self.pool.connections_examined(),
        }
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Current numbers of requests, connections and machines.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            requests: self.requests.count(),
            pending: self.requests.pending_count(),
            pending_bytes: self.requests.pending_bytes(),
            downstreams: self.downstreams.count(),
            upstreams: self.pool.count(),
            machines: self.pool.peer_count(),
        }
    }

    /// Latest time for the next [`Input::Tick`], in seconds of the clock that [`Gateway::step`] is called with.
    pub fn next_wake(&self) -> Seconds {
        let timer = self
            .timers
            .first()
            .map_or(f64::INFINITY, |&(at, _)| at as f64 / 1e6);
        let attempt_deadline = self
            .requests
            .next_attempt_deadline()
            .map_or(f64::INFINITY, |at| at as f64 / 1e6);
        timer
            .min(attempt_deadline)
            .min(self.last_tick + TICK_INTERVAL)
            .min(self.ready_offers.recheck_at)
            .min(self.next_shutdown_deadline())
    }
}
