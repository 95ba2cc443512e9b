//! The fleet's memory, without I/O: a small log over voters that the settings name, and what it says of leases.
//!
//! Agreement is OmniPaxos' (Ng, Haridi, Carbone, "Omni-Paxos: Breaking the Barriers of Partial Connectivity", EuroSys
//! 2023) by its own crate: it keeps a leader where only some pairs of voters hear each other. This package adds the
//! log's way to the disk ([`Log`]), who may vote at all after a return ([`LogPosition`]), leases with tokens that rise for ever,
//! and [`Fence`]s for those who carry acts out.
//!
//! What is in here is small and rare. No task waits for it.

mod entry;
mod fence;
mod leases;
mod ledger;
mod log;
mod mark;
mod state;
mod words;

pub use entry::{Entry, Holder};
pub use fence::{Fence, StaleToken};
pub use ledger::Voter;
pub use log::Log;
pub use mark::{LogPosition, VoterStatus};
pub use state::{Lease, Readmission, ReplicatedState};
pub use words::{Input, Known, Output, PeerMessage, Settings, SettingsError};

/// Seconds, on the machine's own monotonic clock.
pub type Seconds = f64;
