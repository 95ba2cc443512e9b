//! The state machine of the gateway: inputs from sockets to events of the policy, its actions to bytes.

mod actions;
mod attempts;
mod clients;
mod endpoints;
mod id_conflicts;
mod inputs;
mod io;
mod machines;
mod requests;
mod set_ups;
mod shutdown;
mod upstream_messages;

pub use io::{Input, Limits, Output, PeerCheck};

use clients::ReadyOffers;
use id_conflicts::IdConflict;
use shutdown::GracefulShutdown;

use crate::counts::Counts;
use crate::downstream::Downstreams;
use crate::error::GatewayError;
use crate::pool::{ConnectionTimeouts, Pool};
use crate::request_table::RequestTable;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;
use tidespur_load_shedding::LoadShedder;
use tidespur_policy::Scheduler;
use tidespur_policy::interface::{Event, MachineId, Seconds};
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
}
