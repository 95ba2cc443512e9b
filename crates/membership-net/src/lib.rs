//! The loop around a member of the fleet: a datagram socket and timers in, datagrams and news out. It decides nothing.

use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use serde_json::{Value, json};
use smol::net::UdpSocket;
use smol::stream::StreamExt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use tidespur_config::Config;
use tidespur_membership::{
    Input, MAX_DATAGRAM_BYTES, MemberId, MemberMetadata, Membership, MembershipView, Output,
    Settings,
};
use tidespur_net::clock;

/// Datagrams that are taken into one step.
const STEP_MOST: usize = 256;
/// News that wait for whoever asked for them; more are dropped, as the view tells all of it.
const NEWS_MOST: usize = 256;
/// Lines of the log about members, a second; the rest is counted.
const LINES: f64 = 20.0;

/// How a program joins the fleet, beside the settings' block `fleet`.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct JoinOptions {
    /// Join a fleet at this address of another member; may be given several times
    #[arg(long = "fleet-join")]
    pub fleet_join: Vec<SocketAddr>,
    /// Address for the fleet's datagrams; the fleet is off without this, `--fleet-join` and a block `fleet`
    #[arg(long)]
    pub fleet_listen: Option<SocketAddr>,
}

/// A member that runs; it ends with this value.
pub struct MemberHandle {
    fleet: Arc<Mutex<Membership>>,
    tell: Sender<Input>,
    news: Receiver<Output>,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    leaving: Arc<AtomicBool>,
    _tasks: [smol::Task<()>; 2],
}

impl MemberHandle {
    /// Joins the fleet, where one is set up; `None` where none is. `incarnation` is what the process remembers of its
    /// starts, where it remembers.
    ///
    /// # Errors
    /// What keeps it from joining.
    pub async fn join(
        config: &Config,
        options: &JoinOptions,
        name: &str,
        facts: MemberMetadata,
        seed: u64,
        incarnation: Option<u64>,
    ) -> Result<Option<Self>, String> {
        if config.membership.is_none()
            && options.fleet_listen.is_none()
            && options.fleet_join.is_empty()
        {
            return Ok(None);
        }
        let block = config.membership.clone().unwrap_or_default();
        let listen = options
            .fleet_listen
            .map_or(block.listen.clone(), |address| address.to_string());
        let mut join = options.fleet_join.clone();
        for address in &block.join {
            join.push(
                address
                    .parse()
                    .map_err(|e| format!("fleet.join: {address}: {e}"))?,
            );
        }
        let socket = UdpSocket::bind(&listen)
            .await
            .map_err(|e| format!("{listen}: no datagrams: {e}"))?;
        let address = socket.local_addr().map_err(|e| e.to_string())?;
        let clock = || {
            SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default()
                .as_micros() as u64
        };
        // A clock may be set back; what a process remembers of its starts may not.
        let born = incarnation.unwrap_or_else(clock);
        let own = MemberId {
            name: name.to_owned(),
            address,
            incarnation: born,
            rejoin_count: 0,
        };
        let settings = Settings {
            cluster: block.cluster,
            seed_addresses: join,
            max_members: block.max_members as usize,
            ..Settings::default()
        };
        let fleet = Membership::new(settings, own, facts, seed ^ born, clock::now())?;
        let fleet = Arc::new(Mutex::new(fleet));
        let (tell, told) = async_channel::bounded(16);
        let (send, news) = async_channel::bounded(NEWS_MOST);
        let signals = Signals::new([Signal::Term]).map_err(|e| format!("signals: {e}"))?;
        let name = name.to_owned();
        tracing::info!(member = name, %address, "joins the fleet");
        let leaving = Arc::new(AtomicBool::new(false));
        let tasks = [
            smol::spawn(turn(fleet.clone(), socket, told, send, name)),
            smol::spawn(leave(signals, leaving.clone(), tell.clone())),
        ];
        Ok(Some(Self {
            fleet,
            tell,
            news,
            address,
            leaving,
            _tasks: tasks,
        }))
    }

    /// The fleet as this member sees it.
    pub fn view(&self) -> MembershipView {
        self.fleet
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .view()
    }

    /// Waits for news, this long at most; says where the process has to end, and why.
    pub async fn wait_for_shutdown(&self, seconds: f64) -> Option<ShutdownReason> {
        // The member's loop ends for nothing else.
        let news = clock::timeout(seconds, self.news.recv()).await;
        if !matches!(news, Some(Ok(Output::Replaced(_)) | Err(_))) {
            return None;
        }
        if self.leaving.load(Ordering::Relaxed) {
            tracing::info!(address = %self.address, "ends: told to, and the fleet was told");
            return Some(ShutdownReason::Signalled);
        }
        tracing::error!(address = %self.address, "ends: a newer process has its name");
        Some(ShutdownReason::Replaced)
    }

    /// What this member tells of itself from now on.
    pub fn update_metadata(&self, facts: MemberMetadata) {
        // Where the loop is that far behind, the next word is newer.
        let _ = self.tell.try_send(Input::UpdateMetadata(facts));
    }
}

/// Why a process has to end. Its loop finishes what is owed and returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownReason {
    /// It was told to, and the fleet knows.
    Signalled,
    /// A newer process has its name.
    Replaced,
}

impl ShutdownReason {
    /// What the program's end says of it.
    ///
    /// # Errors
    /// Where somebody should look at it.
    pub fn into_result(self) -> Result<(), String> {
        match self {
            Self::Signalled => Ok(()),
            Self::Replaced => Err("a newer process has this one's name".into()),
        }
    }
}

/// Waits for SIGTERM; for a process that is in no fleet.
///
/// # Errors
/// Where the system lets nobody wait for it.
pub async fn shutdown_signal() -> Result<ShutdownReason, String> {
    let mut signals = Signals::new([Signal::Term]).map_err(|e| format!("signals: {e}"))?;
    while signals.next().await.is_none() {}
    Ok(ShutdownReason::Signalled)
}

/// On SIGTERM the fleet is told that this member leaves.
async fn leave(mut signals: Signals, leaving: Arc<AtomicBool>, tell: Sender<Input>) {
    if signals.next().await.is_some() {
        leaving.store(true, Ordering::Relaxed);
        let _ = tell.send(Input::Leave).await;
    }
}

async fn turn(
    fleet: Arc<Mutex<Membership>>,
    socket: UdpSocket,
    told: Receiver<Input>,
    news: Sender<Output>,
    name: String,
) {
    let lock = || fleet.lock().unwrap_or_else(PoisonError::into_inner);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    // Lines of the log that may be written, and those that were not.
    let (mut lines, mut lines_at, mut unsaid) = (LINES, clock::now(), 0_u64);
    loop {
        let wake = lock().next_wake();
        if !wake.is_finite() {
            return;
        }
        let came = async {
            match socket.recv(&mut buffer).await {
                Ok(bytes) => Some(Input::DatagramReceived(buffer[..bytes].to_vec())),
                // Of a peer that is gone, on some systems.
                Err(_) => None,
            }
        };
        let asked = async { told.recv().await.ok() };
        let first = clock::timeout(wake - clock::now(), smol::future::or(came, asked))
            .await
            .flatten();
        let mut inputs: Vec<Input> = first.into_iter().collect();
        while inputs.len() < STEP_MOST {
            // What has come already is read before time goes on.
            let next = async { socket.recv(&mut buffer).await.ok() };
            let Some(Some(bytes)) = smol::future::poll_once(next).await else {
                break;
            };
            inputs.push(Input::DatagramReceived(buffer[..bytes].to_vec()));
        }
        let mut out = Vec::new();
        lock().step(clock::now(), inputs, &mut out);
        let now = clock::now();
        lines = (lines + (now - lines_at) * LINES).min(LINES);
        lines_at = now;
        for output in out {
            match output {
                Output::SendDatagram(to, bytes) => {
                    // A datagram that can't go at once is lost, as one is on the way.
                    let _ = smol::future::poll_once(socket.send_to(&bytes, to)).await;
                }
                output => {
                    if lines >= 1.0 {
                        lines -= 1.0;
                        say(&name, &output, std::mem::take(&mut unsaid));
                    } else {
                        unsaid += 1;
                    }
                    let _ = news.try_send(output);
                }
            }
        }
    }
}

fn say(member: &str, output: &Output, unsaid: u64) {
    match output {
        Output::MemberJoined(who) => tracing::info!(member, who, unsaid, "a member joined"),
        Output::MemberSuspected(who) => tracing::info!(member, who, unsaid, "a member is in doubt"),
        Output::SuspicionRefuted(who) => {
            tracing::info!(member, who, unsaid, "a member says that it lives")
        }
        Output::MemberFailed(who) => tracing::warn!(member, who, unsaid, "a member is lost"),
        Output::MemberLeft(who) => tracing::info!(member, who, unsaid, "a member left in order"),
        Output::Rejoined => tracing::warn!(
            member,
            unsaid,
            "given up by others; back under a higher turn"
        ),
        Output::Replaced(by) => {
            tracing::error!(member, address = %by.address, "a newer process has this name; this one ends");
        }
        Output::MetadataChanged(_) | Output::SendDatagram(..) => {}
    }
}

/// A view as JSON, for operators and their tools. `now` is the asked member's clock.
pub fn view_to_json(view: &MembershipView, now: f64) -> Value {
    let member = |seen: &tidespur_membership::MemberState| {
        let facts = seen.metadata.as_ref();
        json!({"name": seen.id.name, "address": seen.id.address.to_string(), "incarnation": seen.id.incarnation,
            "turn": seen.id.rejoin_count, "state": seen.status.as_str(), "for": (now - seen.since).max(0.0),
            "role": facts.map(|facts| facts.role.as_str()), "zone": facts.map(|facts| facts.zone.as_str()),
            "api": facts.map(|facts| facts.api.as_str()), "link": facts.map(|facts| facts.link.as_str()),
            "open": facts.and_then(|facts| facts.open_tasks), "factsAge": facts.map(|_| (now - seen.metadata_received_at).max(0.0))})
    };
    let drops: serde_json::Map<String, Value> = view
        .drops
        .iter()
        .map(|(why, count)| (why.as_str().to_owned(), (*count).into()))
        .collect();
    json!({"asked": view.own.name, "settled": view.settled, "live": view.live_members().count(),
        "members": view.members.iter().map(member).collect::<Vec<_>>(),
        "drops": drops, "rejoins": view.rejoins, "stalls": view.stalls})
}
