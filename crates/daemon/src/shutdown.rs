//! Shutdown of a process that is not a member of a fleet.

use tidespur_membership_net::{ShutdownReason, shutdown_signal};

/// Waits until a process that has not joined a fleet is to shut down. With a store it waits for SIGTERM, so that the
/// store is closed cleanly. Without a store there is nothing to close: no handler is installed, and SIGTERM terminates
/// the process by its default action.
pub async fn wait_for_shutdown_without_membership(has_store: bool) -> ShutdownReason {
    if !has_store {
        return std::future::pending().await;
    }
    match shutdown_signal().await {
        Ok(reason) => reason,
        Err(error) => {
            tracing::error!(%error, "cannot install the SIGTERM handler; shutting down cleanly now");
            ShutdownReason::Signalled
        }
    }
}
