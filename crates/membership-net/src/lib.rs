//! Runs a fleet member: UDP socket, timers, and shutdown on SIGTERM. The protocol itself is in `tidespur-membership`.
//! Started by edge and planner.

mod error;
mod event_log;
mod event_loop;
mod handle;
mod options;
mod report;
mod shutdown;

pub use error::{JoinError, ReplacedError};
pub use handle::MemberHandle;
pub use options::JoinOptions;
pub use report::view_to_json;
pub use shutdown::{ShutdownReason, shutdown_signal};
