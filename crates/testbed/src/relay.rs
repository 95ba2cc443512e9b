//! TCP relay between two processes. It can close connections, stall one direction, delay or throttle the traffic, and
//! does not interpret the bytes.

use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tidespur_net::clock;

/// How the relay treats the traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayMode {
    /// Forwards everything without delay.
    Forward,
    /// Closes all connections and accepts no new one.
    Cut,
    /// Forwards nothing from the client to the server.
    StallFromClient,
    /// Forwards nothing from the server to the client.
    StallToClient,
    /// Forwards each chunk after this many seconds.
    Delay(f64),
    /// Forwards this many bytes per second in each direction.
    Throttle(f64),
}

struct Shared {
    mode: Mutex<RelayMode>,
    /// Incremented to close all open connections.
    generation: AtomicU64,
}

impl Shared {
    fn mode(&self) -> MutexGuard<'_, RelayMode> {
        self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A relay in front of one server address. Dropping it stops it from accepting connections.
pub struct Relay {
    /// Address that clients connect to.
    pub address: String,
    shared: Arc<Shared>,
    _task: smol::Task<()>,
}

/// Interval in seconds at which stalled connections check the mode.
const POLL_INTERVAL: f64 = 0.01;

impl Relay {
    /// Starts a relay to this server address.
    ///
    /// # Errors
    /// If no local port can be bound.
    pub async fn start(to: &str) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(|e| e.to_string())?;
        let address = listener
            .local_addr()
            .map_err(|e| e.to_string())?
            .to_string();
        let shared = Arc::new(Shared {
            mode: Mutex::new(RelayMode::Forward),
            generation: AtomicU64::new(0),
        });
        let task = smol::spawn(accept(listener, to.to_owned(), shared.clone()));
        Ok(Self {
            address,
            shared,
            _task: task,
        })
    }

    /// Changes the mode of all open and future connections.
    pub fn set_mode(&self, mode: RelayMode) {
        *self.shared.mode() = mode;
        if mode == RelayMode::Cut {
            self.shared.generation.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Closes all open connections; new ones are accepted.
    pub fn close_connections(&self) {
        self.shared.generation.fetch_add(1, Ordering::SeqCst);
    }
}

async fn accept(listener: TcpListener, to: String, shared: Arc<Shared>) {
    while let Ok((here, _)) = listener.accept().await {
        if *shared.mode() == RelayMode::Cut {
            continue;
        }
        let (to, shared) = (to.clone(), shared.clone());
        smol::spawn(async move {
            let Ok(there) = TcpStream::connect(&to).await else {
                return;
            };
            let generation = shared.generation.load(Ordering::SeqCst);
            let forwarding = smol::future::or(
                forward(
                    here.clone(),
                    there.clone(),
                    &shared,
                    RelayMode::StallFromClient,
                ),
                forward(
                    there.clone(),
                    here.clone(),
                    &shared,
                    RelayMode::StallToClient,
                ),
            );
            let ended = async {
                while shared.generation.load(Ordering::SeqCst) == generation {
                    clock::sleep(POLL_INTERVAL).await;
                }
            };
            smol::future::or(forwarding, ended).await;
            for socket in [here, there] {
                let _ = socket.shutdown(std::net::Shutdown::Both);
            }
        })
        .detach();
    }
}

async fn forward(mut from: TcpStream, mut to: TcpStream, shared: &Shared, stalled_by: RelayMode) {
    let mut buffer = [0; 16 * 1024];
    loop {
        while *shared.mode() == stalled_by {
            clock::sleep(POLL_INTERVAL).await;
        }
        let mode = *shared.mode();
        let max_chunk = if matches!(mode, RelayMode::Throttle(_)) {
            64
        } else {
            buffer.len()
        };
        let Ok(bytes) = from.read(&mut buffer[..max_chunk]).await else {
            return;
        };
        match mode {
            RelayMode::Delay(seconds) => clock::sleep(seconds).await,
            RelayMode::Throttle(rate) => clock::sleep(bytes as f64 / rate.max(1.0)).await,
            _ => {}
        }
        // A chunk that was read before the stall began is held back too.
        while *shared.mode() == stalled_by {
            clock::sleep(POLL_INTERVAL).await;
        }
        if bytes == 0 || to.write_all(&buffer[..bytes]).await.is_err() {
            return;
        }
    }
}
