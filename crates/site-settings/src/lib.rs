//! The operators' settings object, load reports, reasons and ids, read once for the simulator's adapter and for the
//! platform's front end. Decides nothing.

pub mod info;
mod wire;
pub mod words;

pub use info::{SettingsObject, Site};
