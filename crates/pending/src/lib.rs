//! Why work is pending: what a planner found out ([`Diagnosis`]), which of it is sent to an edge ([`ReasonPublisher`]),
//! and what an edge keeps and shows ([`PendingRecords`]).
//!
//! State machines without I/O; all times are seconds on the caller's clock. A reason ([`ReasonCode`]) names the part of
//! the system that holds the work back ([`ReasonSource`]): the policy, a node, the owner, the edge, or the node registry.
//! A node's rejection and the policy's choice are shown side by side where both apply.

mod diagnosis;
mod pending_record;
mod pending_records;
mod publisher;
mod reason_code;
mod record_entry;
mod totals;
mod update;

pub use diagnosis::{Diagnosis, NearestNode, SpreadLimit};
pub use pending_record::{MAX_SPANS, PendingRecord, ReasonSpan};
pub use pending_records::{PendingRecords, Settings, StatusUpdate};
pub use publisher::ReasonPublisher;
pub use reason_code::{ReasonCode, ReasonSource};
pub use totals::{PendingTotals, TotalsByReason};
pub use update::{ReasonDraft, ReasonUpdate};
