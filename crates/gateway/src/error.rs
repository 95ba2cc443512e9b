//! Errors on creating a gateway.

use tidespur_policy::interface::SettingsError;

/// Returned by [`Gateway::new`](crate::Gateway::new).
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The policy rejects a setting of the site; the message names the field.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
