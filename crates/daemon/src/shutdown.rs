//! Shutdown of a process that is in no fleet.

use tidespur_membership_net::{ShutdownReason, shutdown_signal};

/// Waits for the reason to shut down of a process that has not joined a fleet. One with a store waits for SIGTERM and
/// then closes it in order; one without a store has nothing to close, so SIGTERM ends it at once as the system does.
pub async fn wait_for_shutdown_without_membership(has_store: bool) -> ShutdownReason {
    if !has_store {
        return std::future::pending().await;
    }
    match shutdown_signal().await {
        Ok(reason) => reason,
        Err(error) => {
            tracing::error!(%error, "cannot wait for SIGTERM; shutting down in order now");
            ShutdownReason::Signalled
        }
    }
}
