//! The reasons for which a process shuts down, and waiting for SIGTERM.

use crate::ReplacedError;
use async_channel::Sender;
use async_signal::{Signal, Signals};
use smol::stream::StreamExt;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tidespur_membership::Input;

/// Why a process shuts down. In both cases its event loop first completes pending work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownReason {
    /// It received SIGTERM, and has left the fleet if it was in one.
    Signalled,
    /// A newer process uses its name.
    Replaced,
}

impl ShutdownReason {
    /// The result with which the program ends.
    ///
    /// # Errors
    /// If the process was replaced: two processes had the same name, which an operator should correct.
    pub fn into_result(self) -> Result<(), ReplacedError> {
        match self {
            Self::Signalled => Ok(()),
            Self::Replaced => Err(ReplacedError),
        }
    }
}

/// Waits for SIGTERM in a process that is in no fleet.
///
/// # Errors
/// If the signal handler can't be installed.
pub async fn shutdown_signal() -> io::Result<ShutdownReason> {
    let mut signals = Signals::new([Signal::Term])?;
    while signals.next().await.is_none() {}
    Ok(ShutdownReason::Signalled)
}

/// Waits for SIGTERM, then requests that the member leaves the fleet.
pub(crate) async fn leave_on_signal(
    mut signals: Signals,
    is_leaving: Arc<AtomicBool>,
    inputs: Sender<Input>,
) {
    if signals.next().await.is_some() {
        is_leaving.store(true, Ordering::Relaxed);
        // Sending fails only if the event loop has already ended.
        let _ = inputs.send(Input::LeaveFleet).await;
    }
}
