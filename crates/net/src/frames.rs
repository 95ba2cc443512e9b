//! Framed messages over TCP: reading, writing, and a session with heartbeats on top of them.

use crate::clock;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde::{Serialize, de::DeserializeOwned};
use smol::net::TcpStream;
use std::sync::Mutex;
use tidespur_planner_protocol::{Decoder, FrameError, Liveness, encode};

/// Reads and decodes messages from a socket.
pub struct FrameReader {
    socket: TcpStream,
    decoder: Decoder,
}

impl FrameReader {
    /// A reader that starts at the next unread byte of the socket, which has to be the start of a frame.
    pub fn new(socket: TcpStream) -> Self {
        Self {
            socket,
            decoder: Decoder::default(),
        }
    }

    /// The next message; `None` once the peer has closed its side.
    ///
    /// # Errors
    /// The read fails, or the frame or its message is malformed; the stream can't be read any further.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, String> {
        let mut buffer = [0; 16 * 1024];
        loop {
            if let Some(message) = self
                .decoder
                .next_message()
                .map_err(|e: FrameError| e.to_string())?
            {
                return Ok(Some(message));
            }
            match self.socket.read(&mut buffer).await {
                Ok(0) => return Ok(None),
                Ok(n) => self.decoder.feed(&buffer[..n]),
                Err(e) => return Err(e.to_string()),
            }
        }
    }
}

/// Messages that may be queued for a slow peer; beyond that, the session counts as broken.
pub const MAX_QUEUED_MESSAGES: usize = 16_384;

/// Writes the messages of the channel until the channel is closed or a write fails. All messages that are queued are
/// combined into one write.
pub async fn write_all<T: Serialize>(
    mut socket: TcpStream,
    messages: async_channel::Receiver<T>,
) -> Result<(), String> {
    while let Ok(message) = messages.recv().await {
        let mut bytes = encode(&message).map_err(|e| e.to_string())?;
        while let Ok(message) = messages.try_recv() {
            bytes.extend(encode(&message).map_err(|e| e.to_string())?);
        }
        socket.write_all(&bytes).await.map_err(|e| e.to_string())?;
    }
    socket.flush().await.map_err(|e| e.to_string())
}

/// Outgoing side of a session with one peer.
pub struct Session<Out> {
    /// Messages that wait to be written.
    pub queue: async_channel::Receiver<Out>,
    /// The sender of `queue`, which heartbeats go through.
    pub send: async_channel::Sender<Out>,
    /// Message that is sent as heartbeat.
    pub heartbeat: Out,
}

/// Runs a session until either side closes it or the peer is lost. Received messages are converted by `convert` and
/// sent to `inputs`; those that it maps to `None` are dropped. A peer that is silent for `peer_timeout` seconds is
/// lost; a heartbeat is sent every quarter of that time. `Err` is the reason why the session failed.
pub async fn run_session<In: DeserializeOwned + Send, Out: Serialize + Clone + Send, T: Send>(
    socket: TcpStream,
    mut reader: FrameReader,
    session: Session<Out>,
    peer_timeout: f64,
    convert: impl Fn(In) -> Option<T> + Send,
    inputs: &async_channel::Sender<T>,
) -> Result<(), String> {
    let Session {
        queue,
        send,
        heartbeat,
    } = session;
    let liveness = Mutex::new(Liveness::new(
        peer_timeout / 4.0,
        peer_timeout,
        clock::now(),
    ));
    let receive = async {
        while let Some(message) = reader.next::<In>().await? {
            if let Ok(mut liveness) = liveness.lock() {
                liveness.on_received(clock::now());
            }
            if let Some(input) = convert(message) {
                inputs.send(input).await.map_err(|e| e.to_string())?;
            }
        }
        Ok(())
    };
    let send_heartbeats = async {
        loop {
            clock::sleep(peer_timeout / 4.0).await;
            if liveness
                .lock()
                .is_ok_and(|liveness| liveness.is_peer_lost(clock::now()))
            {
                return Err("silence".to_owned());
            }
            send.try_send(heartbeat.clone())
                .map_err(|e| e.to_string())?;
        }
    };
    let transmit = write_all(socket.clone(), queue);
    let result =
        futures_lite::future::or(receive, futures_lite::future::or(send_heartbeats, transmit))
            .await;
    // Fails if the peer has closed the connection already.
    let _ = socket.shutdown(std::net::Shutdown::Both);
    result
}
