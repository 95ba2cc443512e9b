//! The handle to a running member, which owns its tasks. Used by edge and planner.

use crate::event_log::EventLog;
use crate::event_loop::EventLoop;
use crate::shutdown::leave_on_signal;
use crate::{JoinError, JoinOptions, ShutdownReason};
use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use parking_lot::Mutex;
use smol::net::UdpSocket;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};
use tidespur_config::{Config, MembershipSection};
use tidespur_membership::{
    Input, MemberId, MemberMetadata, Membership, MembershipView, Output, Seconds, Settings,
};
use tidespur_net::clock;

/// Maximum number of inputs that wait for the event loop.
const MAX_QUEUED_INPUTS: usize = 16;
/// Maximum number of events that wait for the process.
const MAX_QUEUED_EVENTS: usize = 256;

/// A running member. Its tasks are cancelled when the handle is dropped.
pub struct MemberHandle {
    member: Arc<Mutex<Membership>>,
    inputs: Sender<Input>,
    events: Receiver<Output>,
    /// Address at which the member receives datagrams, with the port that was bound.
    pub address: SocketAddr,
    is_leaving: Arc<AtomicBool>,
    _tasks: [smol::Task<()>; 2],
}

impl MemberHandle {
    /// Joins the fleet; `None` if neither settings nor options name one. `incarnation` is that of the process's store;
    /// without a store it is the wall-clock time.
    ///
    /// # Errors
    /// If an address, the identity or the metadata is not valid, or the socket or the signal handler can't be set up.
    pub async fn join(
        config: &Config,
        options: &JoinOptions,
        name: &str,
        metadata: MemberMetadata,
        seed: u64,
        incarnation: Option<u64>,
    ) -> Result<Option<Self>, JoinError> {
        if config.membership.is_none() && options.is_empty() {
            return Ok(None);
        }
        let section = config.membership.clone().unwrap_or_default();
        let seed_addresses = seed_addresses(&section, options)?;
        let (socket, address) = bind(&section, options).await?;
        // The store's incarnation is preferred: it is higher at each start, even if the wall clock was set back.
        let incarnation = incarnation.unwrap_or_else(wall_clock_micros);
        let own = MemberId {
            name: name.to_owned(),
            address,
            incarnation,
            rejoin_count: 0,
        };
        let settings = Settings {
            cluster: section.cluster,
            seed_addresses,
            max_members: section.max_members as usize,
            ..Settings::default()
        };
        let member = Membership::new(settings, own, metadata, seed ^ incarnation, clock::now())?;
        let signals = Signals::new([Signal::Term]).map_err(JoinError::Signals)?;
        tracing::info!(member = name, %address, "joining the fleet");
        Ok(Some(Self::spawn(member, socket, address, name, signals)))
    }

    fn spawn(
        member: Membership,
        socket: UdpSocket,
        address: SocketAddr,
        name: &str,
        signals: Signals,
    ) -> Self {
        let member = Arc::new(Mutex::new(member));
        let (inputs, received_inputs) = async_channel::bounded(MAX_QUEUED_INPUTS);
        let (event_sender, events) = async_channel::bounded(MAX_QUEUED_EVENTS);
        let is_leaving = Arc::new(AtomicBool::new(false));
        let event_loop = EventLoop {
            member: member.clone(),
            socket,
            inputs: received_inputs,
            events: event_sender,
            log: EventLog::new(name.to_owned(), clock::now()),
        };
        let tasks = [
            smol::spawn(event_loop.run()),
            smol::spawn(leave_on_signal(signals, is_leaving.clone(), inputs.clone())),
        ];
        Self {
            member,
            inputs,
            events,
            address,
            is_leaving,
            _tasks: tasks,
        }
    }

    /// The current view of the fleet.
    pub fn view(&self) -> MembershipView {
        self.member.lock().view()
    }

    /// Waits for an event, for `timeout` at most, and returns the reason if the process has to shut down. Must be
    /// called repeatedly: other events are consumed without effect.
    pub async fn wait_for_shutdown(&self, timeout: Seconds) -> Option<ShutdownReason> {
        let event = clock::timeout(timeout, self.events.recv()).await;
        // The channel is closed when the event loop has ended, which happens only if the member has left or was
        // replaced.
        let has_ended = matches!(event, Some(Ok(Output::Replaced(_)) | Err(_)));
        if !has_ended {
            return None;
        }
        if self.is_leaving.load(Ordering::Relaxed) {
            tracing::info!(address = %self.address, "shutting down on SIGTERM; left the fleet");
            return Some(ShutdownReason::Signalled);
        }
        tracing::error!(address = %self.address, "shutting down: a newer process has this name");
        Some(ShutdownReason::Replaced)
    }

    /// Replaces the metadata that this member gossips.
    pub fn update_metadata(&self, metadata: MemberMetadata) {
        // If the queue is full, this update is dropped; the next one is newer and complete.
        let _ = self.inputs.try_send(Input::UpdateMetadata(metadata));
    }
}

/// The seed addresses of the options, followed by those of the settings.
fn seed_addresses(
    section: &MembershipSection,
    options: &JoinOptions,
) -> Result<Vec<SocketAddr>, JoinError> {
    let mut addresses = options.fleet_join.clone();
    for address in &section.join {
        let parsed = address.parse().map_err(|reason| JoinError::SeedAddress {
            address: address.clone(),
            reason,
        })?;
        addresses.push(parsed);
    }
    Ok(addresses)
}

async fn bind(
    section: &MembershipSection,
    options: &JoinOptions,
) -> Result<(UdpSocket, SocketAddr), JoinError> {
    let listen = match options.fleet_listen {
        Some(address) => address.to_string(),
        None => section.listen.clone(),
    };
    let listen_error = |reason| JoinError::Listen {
        address: listen.clone(),
        reason,
    };
    let socket = UdpSocket::bind(&listen).await.map_err(listen_error)?;
    let address = socket.local_addr().map_err(listen_error)?;
    Ok((socket, address))
}

/// Microseconds since 1970.
fn wall_clock_micros() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_micros() as u64
}
