//! A relay on the way from one process to another, for streams: what crosses it can be cut, held in one direction, made
//! late or slow. It knows nothing of what it carries.

use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tidespur_net::clock;

/// What the relay does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayMode {
    /// It carries all at once.
    Forward,
    /// It ends what stands and takes nothing new.
    Cut,
    /// It carries nothing from the one who dialled.
    StallFromClient,
    /// It carries nothing to the one who dialled.
    StallToClient,
    /// Each piece comes so many seconds later.
    Delay(f64),
    /// So many bytes a second, one after the other.
    Throttle(f64),
}

struct Shared {
    way: Mutex<RelayMode>,
    /// Rises when what stands is to end.
    generation: AtomicU64,
}

impl Shared {
    fn way(&self) -> MutexGuard<'_, RelayMode> {
        self.way.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A relay; it ends with this value.
pub struct Relay {
    /// Where it is dialled.
    pub address: String,
    shared: Arc<Shared>,
    _task: smol::Task<()>,
}

/// A held way is looked at again this often.
const LOOK: f64 = 0.01;

impl Relay {
    /// A relay to this address.
    ///
    /// # Errors
    /// Where the system gives no port.
    pub async fn start(to: &str) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(|e| e.to_string())?;
        let address = listener
            .local_addr()
            .map_err(|e| e.to_string())?
            .to_string();
        let shared = Arc::new(Shared {
            way: Mutex::new(RelayMode::Forward),
            generation: AtomicU64::new(0),
        });
        let task = smol::spawn(accept(listener, to.to_owned(), shared.clone()));
        Ok(Self {
            address,
            shared,
            _task: task,
        })
    }

    /// From now on it does this.
    pub fn set_mode(&self, mode: RelayMode) {
        *self.shared.way() = mode;
        if mode == RelayMode::Cut {
            self.shared.generation.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Ends what stands, and takes what is dialled anew.
    pub fn close_connections(&self) {
        self.shared.generation.fetch_add(1, Ordering::SeqCst);
    }
}

async fn accept(listener: TcpListener, to: String, shared: Arc<Shared>) {
    while let Ok((here, _)) = listener.accept().await {
        if *shared.way() == RelayMode::Cut {
            continue;
        }
        let (to, shared) = (to.clone(), shared.clone());
        smol::spawn(async move {
            let Ok(there) = TcpStream::connect(&to).await else {
                return;
            };
            let born = shared.generation.load(Ordering::SeqCst);
            let ways = smol::future::or(
                carry(
                    here.clone(),
                    there.clone(),
                    &shared,
                    RelayMode::StallFromClient,
                ),
                carry(
                    there.clone(),
                    here.clone(),
                    &shared,
                    RelayMode::StallToClient,
                ),
            );
            let ended = async {
                while shared.generation.load(Ordering::SeqCst) == born {
                    clock::sleep(LOOK).await;
                }
            };
            smol::future::or(ways, ended).await;
            for socket in [here, there] {
                let _ = socket.shutdown(std::net::Shutdown::Both);
            }
        })
        .detach();
    }
}

async fn carry(mut from: TcpStream, mut to: TcpStream, shared: &Shared, held_by: RelayMode) {
    let mut buffer = [0; 16 * 1024];
    loop {
        while *shared.way() == held_by {
            clock::sleep(LOOK).await;
        }
        let way = *shared.way();
        let most = if matches!(way, RelayMode::Throttle(_)) {
            64
        } else {
            buffer.len()
        };
        let Ok(bytes) = from.read(&mut buffer[..most]).await else {
            return;
        };
        match way {
            RelayMode::Delay(seconds) => clock::sleep(seconds).await,
            RelayMode::Throttle(rate) => clock::sleep(bytes as f64 / rate.max(1.0)).await,
            _ => {}
        }
        // What was read before the way was held is held too.
        while *shared.way() == held_by {
            clock::sleep(LOOK).await;
        }
        if bytes == 0 || to.write_all(&buffer[..bytes]).await.is_err() {
            return;
        }
    }
}
