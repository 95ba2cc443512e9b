//! Coordination of a fleet: a small replicated log, and leases kept in it. The settings list the voters. No I/O.
//!
//! The consensus protocol is Omni-Paxos (Ng, Haridi, Carbone, "Omni-Paxos: Breaking the Barriers of Partial
//! Connectivity", EuroSys 2023), from the `omnipaxos` crate: it keeps a leader even if only some pairs of voters are
//! connected. This package adds the persistence of the log ([`Log`]), the rule that decides which voters may vote after
//! a restart ([`LogPosition`]), leases with monotonic fencing tokens, and the check of these tokens by the receivers of
//! a lease holder's commands ([`Fence`]).
//!
//! The log is small and entries are rare; it is not on the path of any task. [`Voter`] is a state machine; the package
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
