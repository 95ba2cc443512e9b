//! The Job controller, as a state machine without I/O: it keeps as many Pods running as each Job wants, retries Pods that
//! were rejected, failed, were evicted or lost, and where a second run could do harm first finds out whether the earlier
//! one still runs. The edge's core feeds it with events and carries out its actions.
//!
//! The work of a Job is divided into *slots*. A slot is one Pod's worth of work, and at most one Pod that may run
//! occupies it at any time. All rules about retries are rules about one slot, in `slot.rs`.

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
