//! The types through which a [`Scheduler`](crate::Scheduler) is driven: settings, events, actions.
//!
//! All times are seconds on one monotonic clock, whose zero the caller chooses. The caller assigns ids: one id means
//! one task (or machine, service) for the life of a `Scheduler`.

mod actions;
mod events;
mod settings;
mod validation;

pub use actions::{Action, FilterReason, PendingDiagnosis, RetryBlocker};
pub use events::{
    AttemptOutcome, AttemptProgress, Endpoint, EndpointStatus, Event, FailureCause, LoadReport,
    Task,
};
pub use settings::{
    Class, CostModel, FailureDomain, LoadReportSource, MachineType, RetrySafety, SafetyLimits,
    Settings, Tenant,
};
pub use validation::SettingsError;

pub use tidespur_units::{Resources, Seconds};

/// One request to place a task. Never reused: a task that is submitted again has a new id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

/// A machine. It keeps its id over restarts, and all schedulers are given the same id for it, for instance a hash
/// of its address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(pub u64);

/// The service that a task belongs to; all schedulers are given the same id for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u64);
