//! Errors of creating a gateway.

use tidespur_policy::interface::SettingsError;

/// Why a gateway can't be created.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The policy rejects a setting of the site; the message names the field.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
