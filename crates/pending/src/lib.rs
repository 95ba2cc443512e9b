//! Why work waits: what a planner found out ([`Diagnosis`]), what of it travels ([`ReasonPublisher`]), and what an edge keeps
//! and shows ([`PendingRecords`]). State machines without I/O; all times are seconds on the caller's clock.
//!
//! A reason says who holds the work back ([`ReasonSource`]): the policy's own choice, a node's refusal, the owner, the
//! edge, or the register. A node's words and the policy's choice stand side by side where both hold.

mod diagnosis;
mod ledger;
mod reason;
mod record;
mod teller;

pub use diagnosis::{Diagnosis, NearestNode, SpreadLimit};
pub use ledger::{PendingRecords, PendingTotals, Settings, StatusUpdate};
pub use reason::{ReasonCode, ReasonSource};
pub use record::{PendingRecord, ReasonSpan};
pub use teller::{ReasonDraft, ReasonPublisher, ReasonUpdate};
