//! The link's frames on a socket.

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde::{Serialize, de::DeserializeOwned};
use smol::net::TcpStream;
use tidespur_link::{Decoder, FrameError, encode};

/// Reads frames until the socket ends; `Err` says why it can't go on.
pub struct FrameReader {
    socket: TcpStream,
    decoder: Decoder,
}

impl FrameReader {
    /// Reads from this socket.
    pub fn new(socket: TcpStream) -> Self {
        Self { socket, decoder: Decoder::default() }
    }

    /// The next message; `None` at the end.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, String> {
        let mut buffer = [0; 16 * 1024];
        loop {
            if let Some(message) = self.decoder.message().map_err(|e: FrameError| e.to_string())? {
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
pub const QUEUE_MOST: usize = 16_384;

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
