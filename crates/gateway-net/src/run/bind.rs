//! Binds the listener's address, which a previous process may still hold.

use crate::StartError;
use async_io::Async;
use std::net::{SocketAddr, TcpListener};

/// Pause before an address that is still in use is bound again: the previous process may be exiting.
const BIND_BACKOFF: std::time::Duration = std::time::Duration::from_millis(50);
/// Attempts to bind an address that is in use, after the first one.
const MAX_BIND_RETRIES: u32 = 100;

/// Binds `address`, and waits for it for up to 5 s if it is in use.
///
/// # Errors
/// Fails if the address can't be bound.
pub(super) fn bind(address: SocketAddr) -> Result<Async<TcpListener>, StartError> {
    let mut attempts = 0;
    loop {
        match Async::<TcpListener>::bind(address) {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && attempts < MAX_BIND_RETRIES => {
                if attempts == 0 {
                    tracing::warn!(%address, "waits for its address, which is taken");
                }
                attempts += 1;
                std::thread::sleep(BIND_BACKOFF);
            }
            made => return made.map_err(|e| StartError::Bind(address, e)),
        }
    }
}
