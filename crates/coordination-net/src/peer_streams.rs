//! Streams to the other voters. Each pair of voters shares one stream, which is dialled by the voter that the settings
//! list first. Received messages are passed to the event loop as events.

use crate::event_loop::{Event, next_stream_id};
use crate::frame::{Frame, unpack};
use crate::handshake::{EstablishedStream, handshake};
use async_channel::Sender;
use smol::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tidespur_config::Voters;
use tidespur_coordination::{PeerMessage, Seconds};
use tidespur_net::routes::Routes;
use tidespur_net::{clock, frames};

/// Time after which a stream is closed if nothing arrives on it; also the timeout of each step of the handshake.
pub(crate) const PEER_TIMEOUT: Seconds = 1.5;
/// Timeout of an attempt to connect.
const CONNECT_TIMEOUT: Seconds = 1.0;
/// Pause before a voter is dialled again.
const REDIAL_INTERVAL: Seconds = 0.2;
/// Pause before the next connection is accepted after an error, or while too many handshakes are in progress.
const ACCEPT_BACKOFF: Seconds = 0.05;
/// Handshakes of accepted connections that may be in progress at a time; further connections are closed.
const MAX_HANDSHAKES: u64 = 32;

pub(crate) struct PeerStreams {
    pub(crate) cluster: String,
    pub(crate) own_name: String,
    pub(crate) voters: Voters,
    pub(crate) events: Sender<Event>,
    pub(crate) routes: Routes,
}

impl PeerStreams {
    /// Spawns the tasks that accept streams and dial the voters listed after this one. Dropping the tasks closes the
    /// streams.
    pub(crate) fn spawn(self: &Arc<Self>, listener: TcpListener) -> Vec<smol::Task<()>> {
        let mut tasks = vec![smol::spawn(self.clone().accept(listener))];
        let own_index = self.voters.get_index_of(&self.own_name).unwrap_or(0);
        for voter in self.voters.keys().skip(own_index + 1) {
            tasks.push(smol::spawn(self.clone().dial(voter.clone())));
        }
        tasks
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let handshakes = Arc::new(AtomicU64::new(0));
        let mut connections: Vec<smol::Task<()>> = Vec::new();
        loop {
            connections.retain(|connection| !connection.is_finished());
            match listener.accept().await {
                Ok((socket, _)) if handshakes.load(Ordering::Relaxed) < MAX_HANDSHAKES => {
                    handshakes.fetch_add(1, Ordering::Relaxed);
                    let connection = self.clone().serve(socket, handshakes.clone());
                    connections.push(smol::spawn(connection));
                }
                Ok(_) => clock::sleep(ACCEPT_BACKOFF).await,
                Err(error) => {
                    tracing::warn!(%error, "can't accept a connection from a voter");
                    clock::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    async fn serve(self: Arc<Self>, socket: TcpStream, handshakes: Arc<AtomicU64>) {
        let result = handshake(&self, socket, None).await;
        handshakes.fetch_sub(1, Ordering::Relaxed);
        match result {
            Ok(stream) => self.run(stream).await,
            Err(error) => tracing::debug!(%error, "handshake with an accepted peer failed"),
        }
    }

    async fn dial(self: Arc<Self>, voter: String) {
        let Some(address) = self.voters.get(&voter) else {
            return;
        };
        loop {
            let route = self.routes.resolve(address);
            match clock::timeout(CONNECT_TIMEOUT, TcpStream::connect(&route)).await {
                Some(Ok(socket)) => match handshake(&self, socket, Some(&voter)).await {
                    Ok(stream) => self.run(stream).await,
                    Err(error) => tracing::debug!(voter, %error, "handshake with a voter failed"),
                },
                Some(Err(error)) => tracing::debug!(voter, %error, "can't connect to a voter"),
                None => tracing::debug!(voter, "connecting to a voter timed out"),
            }
            clock::sleep(REDIAL_INTERVAL).await;
        }
    }

    /// Runs an established stream until it ends.
    async fn run(&self, stream: EstablishedStream) {
        let EstablishedStream {
            socket,
            reader,
            voter,
        } = stream;
        let (sender, queue) = async_channel::bounded(frames::MAX_QUEUED_MESSAGES);
        let stream_id = next_stream_id();
        let opened = Event::StreamOpened {
            voter: voter.clone(),
            stream_id,
            sender: sender.clone(),
        };
        if self.events.send(opened).await.is_err() {
            // The event loop has ended.
            return;
        }
        let session = frames::Session {
            queue,
            send: sender,
            heartbeat: Frame::Message(PeerMessage::Heartbeat),
        };
        let to_event = |frame: Frame| received_event(&voter, stream_id, frame);
        let ended = frames::run_session(
            socket,
            reader,
            session,
            PEER_TIMEOUT,
            to_event,
            &self.events,
        )
        .await;
        tracing::info!(voter, ?ended, "stream to a voter ended");
        // Sending fails only if the event loop has ended, which needs no event then.
        let _ = self
            .events
            .send(Event::StreamClosed { voter, stream_id })
            .await;
    }
}

/// The event of a received frame; `None` if the frame contains no message for the voter, or can't be unpacked.
fn received_event(voter: &str, stream_id: u64, frame: Frame) -> Option<Event> {
    let message = match frame {
        Frame::Message(PeerMessage::Heartbeat) | Frame::Hello(..) => return None,
        Frame::Message(message) => message,
        Frame::Packed(bytes) => match unpack(&bytes) {
            Ok(message) => message,
            Err(error) => {
                tracing::warn!(voter, %error, "can't unpack a message from a voter");
                return None;
            }
        },
    };
    Some(Event::MessageReceived {
        voter: voter.to_owned(),
        stream_id,
        message,
    })
}
