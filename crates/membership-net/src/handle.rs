//! The handle on a running member, which owns its tasks. Used by edge and planner.

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

/// Inputs that wait for the event loop.
const MAX_QUEUED_INPUTS: usize = 16;
/// Events that wait for the process.
const MAX_QUEUED_EVENTS: usize = 256;

/// A running member. Its tasks are cancelled when this is dropped.
pub struct MemberHandle {
    member: Arc<Mutex<Membership>>,
    inputs: Sender<Input>,
    events: Receiver<Output>,
    /// Address at which it receives datagrams.
    pub address: SocketAddr,
    is_leaving: Arc<AtomicBool>,
    _tasks: [smol::Task<()>; 2],
}

impl MemberHandle {
    /// Joins the fleet; `None` if neither settings nor options name one. `incarnation` is that of the process's store,
    /// if it has one; otherwise it follows from the wall clock.
    ///
    /// # Errors
    /// What keeps it from joining.
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
        let block = config.membership.clone().unwrap_or_default();
        let seed_addresses = seed_addresses(&block, options)?;
        let (socket, address) = bind(&block, options).await?;
        // The wall clock may be set back between two starts; the store's incarnation rises with each of them.
        let incarnation = incarnation.unwrap_or_else(wall_clock_micros);
        let own = MemberId {
            name: name.to_owned(),
            address,
            incarnation,
            rejoin_count: 0,
        };
        let settings = Settings {
            cluster: block.cluster,
            seed_addresses,
            max_members: block.max_members as usize,
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

    /// The fleet as this member sees it.
    pub fn view(&self) -> MembershipView {
        self.member.lock().view()
    }

    /// Waits for an event, for `timeout` at most. Returns the reason if the process has to shut down.
    pub async fn wait_for_shutdown(&self, timeout: Seconds) -> Option<ShutdownReason> {
        let event = clock::timeout(timeout, self.events.recv()).await;
        // The channel is closed once the event loop has ended, which it does only if the member has left or was
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

    /// Gossips this metadata of this member from now on.
    pub fn update_metadata(&self, metadata: MemberMetadata) {
        // If the queue is full, the next update, which is newer, replaces this one.
        let _ = self.inputs.try_send(Input::UpdateMetadata(metadata));
    }
}

/// The seed addresses of the options, then those of the settings.
fn seed_addresses(
    block: &MembershipSection,
    options: &JoinOptions,
) -> Result<Vec<SocketAddr>, JoinError> {
    let mut addresses = options.fleet_join.clone();
    for address in &block.join {
        let parsed = address.parse().map_err(|reason| JoinError::SeedAddress {
            address: address.clone(),
            reason,
        })?;
        addresses.push(parsed);
    }
    Ok(addresses)
}

async fn bind(
    block: &MembershipSection,
    options: &JoinOptions,
) -> Result<(UdpSocket, SocketAddr), JoinError> {
    let listen = match options.fleet_listen {
        Some(address) => address.to_string(),
        None => block.listen.clone(),
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
