//! The types through which a [`Scheduler`](crate::Scheduler) is driven: settings, events, actions.
//!
//! All times are in seconds on one monotonic clock; the caller chooses its origin. The caller also assigns the ids: an
//! id refers to the same task, machine or service for the lifetime of a `Scheduler`.

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

/// Identifies one request to place a task. Never reused: a resubmitted task gets a new id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId(pub u64);

/// Identifies a machine. The id survives restarts of the machine and is the same at all schedulers, for example a
/// hash of its address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineId(pub u64);

/// Identifies the service that a task belongs to. The id is the same at all schedulers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u64);
