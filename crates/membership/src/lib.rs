//! Decentralized membership of a fleet of edges and planners. No I/O.
//!
//! Failures are detected with SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
//! Group Membership Protocol", DSN 2002), with suspicion and indirect probes, as implemented by the crate `foca`. The
//! [`MemberMetadata`] of each member is piggybacked on the protocol's messages, and a periodic anti-entropy exchange
//! with a random member repairs what gossip missed. [`Membership`] is a deterministic state machine: its caller, the
//! package `tidespur-membership-net`, supplies the time, the datagrams and the random seed.
//!
//! The view is eventually consistent: it lags behind, and the sides of a network partition have different views.
//! Nothing that must be safe, such as mutual exclusion, may depend on it alone.

mod detector_hooks;
mod error;
mod id;
mod membership;
mod messages;
mod metadata;
mod metadata_table;
mod settings;
mod view;
pub mod wire;

pub use error::MembershipError;
pub use id::{MAX_NAME_BYTES, MemberId, is_valid_name};
pub use membership::Membership;
pub use messages::{Input, Output};
pub use metadata::{MAX_METADATA_BYTES, MemberMetadata, MetadataUpdate, MetadataVersion, Role};
pub use settings::Settings;
/// Seconds: a time of the caller's clock, or a duration.
pub use tidespur_units::Seconds;
pub use view::{MemberState, MemberStatus, MembershipView};
pub use wire::{DropReason, MAX_DATAGRAM_BYTES};
