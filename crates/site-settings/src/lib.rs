//! Parses the operators' settings object, and the codes that they use for load reports, failure causes and progress.
//! Shared by the simulator adapter and by the gateway of the operators' platform.
//!
//! [`SettingsObject`] is deserialized from JSON and converted into [`Site`] or into the policy's settings alone;
//! [`convert`] has the conversions of single values. The crate holds no state.

pub mod convert;
mod error;
mod settings_object;
mod wire;

pub use error::SiteSettingsError;
pub use settings_object::{SettingsObject, Site};
