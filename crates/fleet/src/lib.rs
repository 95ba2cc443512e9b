//! A view of the fleet that its members keep themselves.
//!
//! Who is a member is found by SWIM with suspicion and indirect probes (crate `foca`); what each tells of itself (its
//! [`Facts`]) goes along with that, and a random exchange settles what gossip missed. [`Fleet`] is a state machine: no
//! clock, no socket, its own seed. Nothing safe may rest on this view alone: it is late, and two halves of a partitioned
//! fleet have two of it.

mod facts;
mod fleet;
mod id;
mod shared;
mod view;
pub mod wire;

pub use facts::{FACTS_MOST, Facts, Role, Told, Version};
pub use fleet::{Fleet, Input, Output, Settings};
pub use id::{Id, NAME_MOST, name_is_sound};
pub use view::{Seen, Standing, View};
pub use wire::{DATAGRAM_MOST, Drop};

/// Seconds.
pub type Seconds = f64;
