//! Why tasks are pending: a planner computes a [`Diagnosis`], [`ReasonPublisher`] selects the updates that go to an
//! edge, and [`PendingRecords`] holds what the edge serves and writes to Pods.
//!
//! State machines without I/O; all times are seconds on the caller's clock. Each reason ([`ReasonCode`]) belongs to the
//! part of the system that blocks the task ([`ReasonSource`]): the policy, a node, the owner, the edge or the node
//! registry. Where a node has rejected the task and the policy rejects nodes too, both reasons are reported.

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
