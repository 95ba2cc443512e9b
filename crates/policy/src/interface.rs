//! The types through which a [`Scheduler`](crate::Scheduler) is spoken to: settings, events, actions.
//!
//! All times are seconds on one clock that only advances; its zero is the caller's. Ids are numbers that
//! the caller hands out: one id means one task (or machine, service) for the life of a `Scheduler`.

mod actions;
mod events;
mod settings;

pub use actions::*;
pub use events::*;
pub use settings::*;

pub use tidespur_units::{Resources, Seconds};

/// One request to place a task. Never reused: a task that comes again has a new id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

/// A machine. It keeps its id over restarts, and all schedulers are given the same id for it: such as a hash of
/// its address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(pub u64);

/// The service that a task belongs to; all schedulers are given the same id for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u64);
