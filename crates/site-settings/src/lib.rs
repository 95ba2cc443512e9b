//! The operators' settings object and the numbers they use for load reports, causes and progress, read once for the
//! simulator's adapter and for the gateway of the operators' platform.
//!
//! Owns no state and decides nothing. [`SettingsObject`] is deserialized from JSON and converted into [`Site`] or into
//! the policy's settings alone; [`convert`] has the conversions of single values.

pub mod convert;
mod error;
mod settings_object;
mod wire;

pub use error::SiteSettingsError;
pub use settings_object::{SettingsObject, Site};
