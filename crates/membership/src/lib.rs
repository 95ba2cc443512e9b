//! Membership of a fleet, which its members keep by themselves. No I/O.
//!
//! Members are found by SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol", DSN 2002) with suspicion and indirect probes, implemented by the crate `foca`. The
//! [`MemberMetadata`] of each member is gossiped along with the protocol's messages, and a random exchange repairs what
//! gossip missed. [`Membership`] is a state machine without clock and socket and with a seed of its own; the package
//! `tidespur-membership-net` drives it.
//!
//! Nothing that must be safe may rest on this view alone: it is late, and the two halves of a partitioned fleet have
//! two different views.

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
/// Seconds: a point on the caller's clock, or a length of time.
pub use tidespur_units::Seconds;
pub use view::{MemberState, MemberStatus, MembershipView};
pub use wire::{DropReason, MAX_DATAGRAM_BYTES};
