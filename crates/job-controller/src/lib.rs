//! Job controller as a state machine without I/O. It keeps the number of Pods that each Job specifies, and retries Pods
//! that failed or were rejected, evicted or lost. If a second run could do harm, it first determines whether the
//! earlier Pod still runs. The edge's core passes events to it and executes its actions.
//!
//! The work of a Job is divided into *slots*. A slot is the work of one Pod, and at any time at most one Pod that may
//! run occupies it. Retries are decided per slot, in `slot.rs`. A *stray* Pod may still run but belongs to no Job any
//! more.

mod backoff;
mod controller;
mod job;
mod messages;
mod persistence;
mod slot;
mod view;

pub use backoff::Backoff;
pub use controller::{Controller, Settings};
pub use job::{JobPhase, JobStatus};
pub use messages::{Action, Event};
pub use persistence::{PersistedSlot, RestoredJob};
pub use slot::{Adoption, SlotId};
pub use view::{JobView, POD_FAILURE_REASONS, PodOutcome, PodPhase, PodView};
