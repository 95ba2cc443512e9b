//! Coordination of a fleet: a small replicated log over voters that the settings name, and leases in it. No I/O.
//!
//! Consensus is Omni-Paxos (Ng, Haridi, Carbone, "Omni-Paxos: Breaking the Barriers of Partial Connectivity", EuroSys
//! 2023) by its own crate: it keeps a leader where only some pairs of voters are connected. This package adds the
//! persistence of the log ([`Log`]), the rule who may vote after a restart ([`LogPosition`]), leases with fencing tokens
//! that never fall, and [`Fence`]s for those who carry out what a lease holder decides.
//!
//! The log is small and entries are rare. No task waits for it. [`Voter`] is a state machine; the package
//! `tidespur-coordination-net` drives it.

mod entry;
mod error;
mod fence;
mod leases;
mod log;
mod log_position;
mod messages;
mod replicated_state;
mod settings;
mod voter;

pub use entry::{Entry, Holder};
pub use error::{LoadError, VoterError};
pub use fence::{Fence, StaleToken};
pub use log::Log;
pub use log_position::{LogPosition, VoterStatus};
pub use messages::{Input, KnownPosition, Output, PeerMessage};
pub use replicated_state::{Lease, Readmission, ReplicatedState};
pub use settings::{Settings, SettingsError};
/// Seconds: a point on the machine's monotonic clock, or a length of time.
pub use tidespur_units::Seconds;
pub use voter::Voter;
