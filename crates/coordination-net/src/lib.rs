//! The loop around a voter of the ledger: streams, timers and the disk in; words, batches and news out. It decides
//! nothing.

mod pack;
mod streams;
mod turn;

use async_channel::Sender;
use serde_json::{Value, json};
use smol::net::TcpListener;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use streams::Streams;
use tidespur_config::Config;
use tidespur_coordination::{Input, Seconds, Settings, Voter, VoterStatus};
use tidespur_net::{clock, routes::Routes};
use tidespur_persistence::{Disk, LoadedRecords};

pub use pack::{pack, unpack};
pub use streams::Frame;

/// The lease of the one edge that acts for the whole fleet.
pub const FLEET_LEASE: &str = "fleet";
/// Inputs that may wait for the loop.
const INPUTS_MOST: usize = 4_096;

/// A voter that runs; it ends with this value.
pub struct VoterHandle {
    ledger: Arc<Mutex<Voter>>,
    tell: Sender<turn::Event>,
    _tasks: Vec<smol::Task<()>>,
}

pub(crate) fn lock(ledger: &Mutex<Voter>) -> MutexGuard<'_, Voter> {
    // Each step is one call; a panic in it leaves a voter that is not used any more.
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A number that no other start of a process has.
fn start() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    // Each of these is made with keys that the system draws.
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
}

impl VoterHandle {
    /// Starts the voter that the settings name like this process; `None` where they name no ledger, or others only.
    ///
    /// # Errors
    /// What keeps it from starting, and what an operator can do.
    pub async fn start(
        config: &Config,
        name: &str,
        disk: Option<Arc<Disk>>,
        memory: Option<&LoadedRecords>,
        routes: Routes,
    ) -> Result<Option<Self>, String> {
        let Some(block) = &config.coordination else {
            return Ok(None);
        };
        let Some(address) = block.voters.get(name) else {
            return Ok(None);
        };
        let (Some(disk), Some(memory)) = (disk, memory) else {
            return Err(
                "the ledger's voters need a memory: name a folder by --data or durable { dir = ... }".into(),
            );
        };
        let settings = Settings {
            voters: block.voters.keys().cloned().collect(),
            own: name.to_owned(),
            incarnation: memory.incarnation(),
            start: start(),
            lease_term: block.lease_term,
            max_clock_drift: block.max_clock_drift,
        };
        let ledger = Arc::new(Mutex::new(Voter::new(settings, memory, clock::now())?));
        let (tell, told) = async_channel::bounded(INPUTS_MOST);
        let listener = TcpListener::bind(address)
            .await
            .map_err(|e| format!("ledger: {address}: can't listen: {e}"))?;
        let streams = Arc::new(Streams {
            cluster: config.cluster().to_owned(),
            own: name.to_owned(),
            voters: block.voters.clone(),
            tell: tell.clone(),
            routes,
        });
        let mut tasks = vec![smol::spawn(streams.clone().accept(listener))];
        // Of each pair the one that the settings name first dials.
        let place = block.voters.get_index_of(name).unwrap_or(0);
        for other in block.voters.keys().skip(place + 1) {
            tasks.push(smol::spawn(streams.clone().dial(other.clone())));
        }
        tasks.push(smol::spawn(turn::run(
            name.to_owned(),
            ledger.clone(),
            told,
            disk,
        )));
        tracing::info!(
            voter = name,
            address,
            voters = block.voters.len(),
            "keeps the ledger"
        );
        let voter = Self {
            ledger,
            tell,
            _tasks: tasks,
        };
        voter.send(Input::AcquireLease(FLEET_LEASE.into()));
        Ok(Some(voter))
    }

    /// Whether this process may act now under a lease, and with which token: to be asked at the moment of the act.
    pub fn valid_token(&self, lease: &str) -> Option<u64> {
        lock(&self.ledger).valid_token(clock::now(), lease)
    }

    /// What is remembered under keys that begin with this, without it.
    pub fn keys_with_prefix(&self, prefix: &str) -> BTreeSet<String> {
        let ledger = lock(&self.ledger);
        let keys = ledger.state().values.keys();
        keys.filter_map(|key| key.strip_prefix(prefix).map(str::to_owned))
            .collect()
    }

    /// Tells the voter something. Lost where its loop is far behind: whoever wants it said says it again.
    pub fn send(&self, input: Input) {
        let _ = self.tell.try_send(turn::Event::Input(input));
    }

    /// Where the ledger stands, in a line, or what it waits for.
    ///
    /// # Errors
    /// What it waits for and what an operator can do.
    pub fn readiness(&self) -> Result<String, String> {
        let ledger = lock(&self.ledger);
        match (ledger.status(), ledger.leader()) {
            (VoterStatus::Voting, Some(leader)) => Ok(format!("votes; {leader} leads")),
            (VoterStatus::Voting, None) => {
                Err("votes, but no majority of the voters is heard: what needs the fleet's word waits; look at the other voters".into())
            }
            (VoterStatus::Verifying(heard), _) => {
                Err(format!("{heard} voters have said how far they know this one; look whether the others run"))
            }
            (VoterStatus::Quarantined { by, .. }, _) => Err(format!(
                "does not vote: {by} knows it as further than its disk is; if the disk is a restored or a new one, have it taken in again at a voter that votes"
            )),
        }
    }

    /// All that an operator may want to see.
    pub fn report(&self) -> Value {
        report(&lock(&self.ledger), clock::now())
    }
}

/// A voter's state as JSON, for operators and their tools. `now` is the voter's clock.
pub fn report(ledger: &Voter, now: Seconds) -> Value {
    let lease = |(name, lease): (&String, &tidespur_coordination::Lease)| {
        let holder = lease.holder.as_ref().map(|holder| holder.name.as_str());
        json!({"name": name, "token": lease.token, "holder": holder,
            "mayActHere": ledger.valid_token(now, name)})
    };
    let standing = match ledger.status() {
        VoterStatus::Voting => "voting",
        VoterStatus::Verifying(_) => "asking",
        VoterStatus::Quarantined { .. } => "barred",
    };
    let state = ledger.state();
    json!({"standing": standing, "leader": ledger.leader(),
        "leases": state.leases.iter().map(lease).collect::<Vec<_>>(),
        "notes": state.values.len(),
        "asking": ledger.voters_awaiting_readmission().collect::<Vec<_>>()})
}
