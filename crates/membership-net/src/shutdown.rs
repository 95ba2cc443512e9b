//! Why a process shuts down, and waiting for SIGTERM.

use crate::ReplacedError;
use async_channel::Sender;
use async_signal::{Signal, Signals};
use smol::stream::StreamExt;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tidespur_membership::Input;

/// Why a process shuts down. Its event loop completes what is pending and returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownReason {
    /// It received SIGTERM, and has left the fleet.
    Signalled,
    /// A newer process has its name.
    Replaced,
}

impl ShutdownReason {
    /// The result of the program.
    ///
    /// # Errors
    /// If an operator should look at it: another process has the same name.
    pub fn into_result(self) -> Result<(), ReplacedError> {
        match self {
            Self::Signalled => Ok(()),
            Self::Replaced => Err(ReplacedError),
        }
    }
}

/// Waits for SIGTERM, for a process that is in no fleet.
///
/// # Errors
/// If the handler of the signal can't be installed.
pub async fn shutdown_signal() -> io::Result<ShutdownReason> {
    let mut signals = Signals::new([Signal::Term])?;
    while signals.next().await.is_none() {}
    Ok(ShutdownReason::Signalled)
}

/// Leaves the fleet once SIGTERM is received.
pub(crate) async fn leave_on_signal(
    mut signals: Signals,
    is_leaving: Arc<AtomicBool>,
    inputs: Sender<Input>,
) {
    if signals.next().await.is_some() {
        is_leaving.store(true, Ordering::Relaxed);
        // The channel is closed only if the event loop has ended already.
        let _ = inputs.send(Input::LeaveFleet).await;
    }
}
