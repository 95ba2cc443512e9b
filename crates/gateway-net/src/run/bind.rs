//! Binds the listen address, which a previous process may still use.

use crate::StartError;
use async_io::Async;
use std::net::{SocketAddr, TcpListener};

/// Pause between attempts to bind an address in use: a previous process may be about to exit.
const BIND_BACKOFF: std::time::Duration = std::time::Duration::from_millis(50);
/// Attempts to bind an address in use, after the first one.
const MAX_BIND_RETRIES: u32 = 100;

/// Binds `address`; retries for up to 5 s if it is in use.
///
/// # Errors
/// Fails if the address can't be bound.
pub(super) fn bind(address: SocketAddr) -> Result<Async<TcpListener>, StartError> {
    let mut retries = 0;
    loop {
        match Async::<TcpListener>::bind(address) {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && retries < MAX_BIND_RETRIES => {
                if retries == 0 {
                    tracing::warn!(%address, "address in use; the listener waits for its address to be released");
                }
                retries += 1;
                std::thread::sleep(BIND_BACKOFF);
            }
            result => return result.map_err(|e| StartError::Bind(address, e)),
        }
    }
}
