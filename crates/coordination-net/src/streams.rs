//! One stream between each two voters.

use crate::turn::Event;
use async_channel::Sender;
use serde::{Deserialize, Serialize};
use smol::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tidespur_config::Voters;
use tidespur_coordination::PeerMessage;
use tidespur_net::routes::Routes;
use tidespur_net::{clock, frames};

/// A stream without a word for this long is lost.
const PATIENCE: f64 = 1.5;
/// Pause before a lost stream is dialled again.
const AGAIN: f64 = 0.2;
/// Streams that have not said who they are yet.
const STRANGERS_MOST: u64 = 32;

/// What goes over a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// First: of which cluster, and who.
    Hi(String, String),
    /// A voter's word.
    Word(PeerMessage),
    /// One that is long.
    Packed(Vec<u8>),
}

pub(crate) struct Streams {
    pub(crate) cluster: String,
    pub(crate) own: String,
    pub(crate) voters: Voters,
    pub(crate) tell: Sender<Event>,
    pub(crate) routes: Routes,
}

impl Streams {
    pub(crate) async fn accept(self: Arc<Self>, listener: TcpListener) {
        let strangers = Arc::new(AtomicU64::new(0));
        loop {
            match listener.accept().await {
                Ok((socket, peer)) if strangers.load(Ordering::Relaxed) < STRANGERS_MOST => {
                    let (this, strangers) = (self.clone(), strangers.clone());
                    strangers.fetch_add(1, Ordering::Relaxed);
                    smol::spawn(async move {
                        let known = this.greet(socket, None).await;
                        strangers.fetch_sub(1, Ordering::Relaxed);
                        match known {
                            Ok((socket, reader, name)) => this.keep(socket, reader, name).await,
                            Err(why) => tracing::debug!(%peer, why, "no voter"),
                        }
                    })
                    .detach();
                }
                Ok(_) => clock::sleep(0.05).await,
                Err(problem) => {
                    tracing::warn!(%problem, "a voter can't be accepted");
                    clock::sleep(0.05).await;
                }
            }
        }
    }

    pub(crate) async fn dial(self: Arc<Self>, name: String) {
        let Some(address) = self.voters.get(&name) else {
            return;
        };
        loop {
            let at = self.routes.resolve(address);
            let dialled = clock::timeout(1.0, TcpStream::connect(&at)).await;
            match dialled {
                Some(Ok(socket)) => match self.greet(socket, Some(&name)).await {
                    Ok((socket, reader, name)) => self.keep(socket, reader, name).await,
                    Err(why) => tracing::debug!(voter = name, why, "no stream"),
                },
                Some(Err(problem)) => tracing::debug!(voter = name, %problem, "no stream"),
                None => tracing::debug!(voter = name, "no stream in time"),
            }
            clock::sleep(AGAIN).await;
        }
    }

    /// Both ends say who they are; who the other is.
    async fn greet(
        &self,
        socket: TcpStream,
        wanted: Option<&str>,
    ) -> Result<(TcpStream, frames::FrameReader, String), String> {
        socket.set_nodelay(true).map_err(|e| e.to_string())?;
        let (send, queue) = async_channel::bounded(1);
        send.try_send(Frame::Hi(self.cluster.clone(), self.own.clone()))
            .map_err(|e| e.to_string())?;
        drop(send);
        clock::timeout(PATIENCE, frames::write_all(socket.clone(), queue))
            .await
            .ok_or("it takes nothing")??;
        let mut reader = frames::FrameReader::new(socket.clone());
        match clock::timeout(PATIENCE, reader.next::<Frame>())
            .await
            .ok_or("it says nothing")??
        {
            Some(Frame::Hi(cluster, _)) if cluster != self.cluster => {
                Err(format!("it is of the cluster {cluster:?}"))
            }
            Some(Frame::Hi(_, name)) if wanted.is_some_and(|wanted| wanted != name) => Err(
                format!("{name:?} is at that address: look at ledger.voters"),
            ),
            Some(Frame::Hi(_, name)) if self.voters.contains_key(&name) && name != self.own => {
                Ok((socket, reader, name))
            }
            other => Err(format!("no voter of ours: {other:?}")),
        }
    }

    async fn keep(&self, socket: TcpStream, reader: frames::FrameReader, name: String) {
        let (send, queue) = async_channel::bounded(frames::MAX_QUEUED_MESSAGES);
        let stream = crate::turn::number();
        if self
            .tell
            .send(Event::Up(name.clone(), stream, send.clone()))
            .await
            .is_err()
        {
            return;
        }
        let read = |frame: Frame| match frame {
            Frame::Word(PeerMessage::Heartbeat) | Frame::Hi(..) => None,
            Frame::Word(word) => Some(Event::Heard(name.clone(), stream, word)),
            Frame::Packed(bytes) => match crate::pack::unpack(&bytes) {
                Ok(word) => Some(Event::Heard(name.clone(), stream, word)),
                Err(why) => {
                    tracing::warn!(voter = name, why, "a word that can't be read");
                    None
                }
            },
        };
        let link = frames::Session {
            queue,
            send,
            heartbeat: Frame::Word(PeerMessage::Heartbeat),
        };
        let ended = frames::run_session(socket, reader, link, PATIENCE, read, &self.tell).await;
        tracing::info!(voter = name, ?ended, "the stream to a voter ended");
        let _ = self.tell.send(Event::Down(name, stream)).await;
    }
}
