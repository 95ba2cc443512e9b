//! The operators' settings object, load reports, reasons and ids, read once for the simulator's adapter and for the
//! platform's door. Decides nothing.

pub mod info;
pub mod words;

pub use info::{Info, Site};
