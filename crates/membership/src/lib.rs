//! A view of the fleet that its members keep themselves.
//!
//! Who is a member is found by SWIM with suspicion and indirect probes (crate `foca`); what each tells of itself (its
//! [`MemberMetadata`]) goes along with that, and a random exchange settles what gossip missed. [`Membership`] is a state machine: no
//! clock, no socket, its own seed. Nothing safe may rest on this view alone: it is late, and two halves of a partitioned
//! fleet have two of it.

mod facts;
mod fleet;
mod id;
mod shared;
mod view;
pub mod wire;

pub use facts::{MAX_METADATA_BYTES, MemberMetadata, MetadataUpdate, MetadataVersion, Role};
pub use fleet::{Input, Membership, Output, Settings};
pub use id::{MAX_NAME_BYTES, MemberId, is_valid_name};
pub use view::{MemberState, MemberStatus, MembershipView};
pub use wire::{DropReason, MAX_DATAGRAM_BYTES};

/// Seconds.
pub type Seconds = f64;
