//! The link's frames on a socket.

use crate::clock;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde::{Serialize, de::DeserializeOwned};
use smol::net::TcpStream;
use std::sync::Mutex;
use tidespur_planner_protocol::{Decoder, FrameError, Liveness, encode};

/// Reads frames until the socket ends; `Err` says why it can't go on.
pub struct FrameReader {
    socket: TcpStream,
    decoder: Decoder,
}

impl FrameReader {
    /// Reads from this socket.
    pub fn new(socket: TcpStream) -> Self {
        Self {
            socket,
            decoder: Decoder::default(),
        }
    }

    /// The next message; `None` at the end.
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

/// Messages that may wait for a slow peer; then the link counts as broken.
pub const MAX_QUEUED_MESSAGES: usize = 16_384;

/// Writes what comes from the channel until either ends; all that waits goes out in one write.
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

/// The sending side of a link.
pub struct Session<Out> {
    /// What waits to go out.
    pub queue: async_channel::Receiver<Out>,
    /// Where it is put.
    pub send: async_channel::Sender<Out>,
    /// Says only that this end lives.
    pub heartbeat: Out,
}

/// Keeps a link going until either end is lost: what comes goes to `to` as `read` puts it, what waits in `queue` goes out, and `ping`
/// goes out often enough for the peer's patience. Says why it ended.
pub async fn run_session<In: DeserializeOwned + Send, Out: Serialize + Clone + Send, T: Send>(
    socket: TcpStream,
    mut reader: FrameReader,
    link: Session<Out>,
    patience: f64,
    read: impl Fn(In) -> Option<T> + Send,
    to: &async_channel::Sender<T>,
) -> Result<(), String> {
    let Session {
        queue,
        send,
        heartbeat: ping,
    } = link;
    let life = Mutex::new(Liveness::new(patience / 4.0, patience, clock::now()));
    let reading = async {
        while let Some(message) = reader.next::<In>().await? {
            if let Ok(mut life) = life.lock() {
                life.on_received(clock::now());
            }
            if let Some(input) = read(message) {
                to.send(input).await.map_err(|e| e.to_string())?;
            }
        }
        Ok(())
    };
    let beating = async {
        loop {
            clock::sleep(patience / 4.0).await;
            if life
                .lock()
                .is_ok_and(|life| life.is_peer_lost(clock::now()))
            {
                return Err("silence".to_owned());
            }
            send.try_send(ping.clone()).map_err(|e| e.to_string())?;
        }
    };
    let writing = write_all(socket.clone(), queue);
    let ended = futures_lite::future::or(reading, futures_lite::future::or(beating, writing)).await;
    // Closed already where the peer was faster.
    let _ = socket.shutdown(std::net::Shutdown::Both);
    ended
}
