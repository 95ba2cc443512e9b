//! The handle to a running voter, which owns the voter's tasks. Used by the edge.

use crate::event_loop::{Event, EventLoop};
use crate::peer_streams::PeerStreams;
use crate::readiness::{NotReady, Ready, readiness};
use crate::{FLEET_LEASE, StartError, report};
use async_channel::Sender;
use parking_lot::Mutex;
use serde_json::Value;
use smol::net::TcpListener;
use std::collections::BTreeSet;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::Arc;
use tidespur_config::{Config, CoordinationSection};
use tidespur_coordination::{Input, Settings, Voter};
use tidespur_net::{clock, routes::Routes};
use tidespur_persistence::{DurableStore, LoadedRecords};

/// Capacity of the event loop's queue.
const MAX_QUEUED_EVENTS: usize = 4_096;

/// A running voter. Dropping the handle cancels the voter's tasks.
pub struct VoterHandle {
    voter: Arc<Mutex<Voter>>,
    events: Sender<Event>,
    _tasks: Vec<smol::Task<()>>,
}

impl VoterHandle {
    /// Starts the voter named `name`, which requests the lease [`FLEET_LEASE`]; `None` if the settings list no voter of
    /// this name.
    ///
    /// # Errors
    /// If the voter has no store, can't load it, has invalid settings, or can't listen on its address.
    pub async fn start(
        config: &Config,
        name: &str,
        disk: Option<Arc<DurableStore>>,
        loaded: Option<&LoadedRecords>,
        routes: Routes,
    ) -> Result<Option<Self>, StartError> {
        let Some(section) = &config.coordination else {
            return Ok(None);
        };
        let Some(address) = section.voters.get(name) else {
            return Ok(None);
        };
        let (Some(disk), Some(loaded)) = (disk, loaded) else {
            return Err(StartError::NoStore);
        };
        let settings = voter_settings(section, name, loaded);
        let voter = Voter::new(settings, loaded, clock::now())?;
        let voter = Arc::new(Mutex::new(voter));
        let listener = listen(address).await?;
        let (events, received) = async_channel::bounded(MAX_QUEUED_EVENTS);
        let streams = Arc::new(PeerStreams {
            cluster: config.cluster().to_owned(),
            own_name: name.to_owned(),
            voters: section.voters.clone(),
            events: events.clone(),
            routes,
        });
        let mut tasks = streams.spawn(listener);
        let event_loop = EventLoop::new(name.to_owned(), voter.clone(), disk);
        tasks.push(smol::spawn(event_loop.run(received)));
        tracing::info!(
            voter = name,
            address,
            voters = section.voters.len(),
            "voter started"
        );
        let handle = Self {
            voter,
            events,
            _tasks: tasks,
        };
        handle.send(Input::AcquireLease(FLEET_LEASE.into()));
        Ok(Some(handle))
    }

    /// The fencing token, if this process holds the lease now. Callers must check it immediately before they act as the
    /// holder.
    pub fn valid_token(&self, lease: &str) -> Option<u64> {
        self.voter.lock().valid_token(clock::now(), lease)
    }

    /// Keys of the stored values that begin with `prefix`, with the prefix removed.
    pub fn keys_with_prefix(&self, prefix: &str) -> BTreeSet<String> {
        let voter = self.voter.lock();
        let keys = voter.state().values.keys();
        keys.filter_map(|key| key.strip_prefix(prefix).map(str::to_owned))
            .collect()
    }

    /// Sends an input to the voter. It is lost if the event loop's queue is full; callers must repeat it until it has
    /// taken effect.
    pub fn send(&self, input: Input) {
        let _ = self.events.try_send(Event::Input(input));
    }

    /// Whether the voter votes and knows a leader.
    ///
    /// # Errors
    /// Why it is not ready, with advice for the operator.
    pub fn readiness(&self) -> Result<Ready, NotReady> {
        readiness(&self.voter.lock())
    }

    /// The voter's state as the JSON of `/debug/ledger`.
    pub fn report(&self) -> Value {
        report(&self.voter.lock(), clock::now())
    }
}

fn voter_settings(section: &CoordinationSection, name: &str, loaded: &LoadedRecords) -> Settings {
    Settings {
        voters: section.voters.keys().cloned().collect(),
        name: name.to_owned(),
        incarnation: loaded.incarnation(),
        start_nonce: draw_nonce(),
        lease_term: section.lease_term,
        max_clock_drift: section.max_clock_drift,
    }
}

async fn listen(address: &str) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|reason| StartError::Listen {
            address: address.to_owned(),
            reason,
        })
}

/// Draws a random number that distinguishes the starts of a process.
fn draw_nonce() -> u64 {
    // The keys of `RandomState` are seeded by the operating system.
    RandomState::new().build_hasher().finish()
}
