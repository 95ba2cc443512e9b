//! Validation of settings when a scheduler is created.

use super::{Class, Resources, RetrySafety, Seconds, Settings};

/// An invalid setting. Messages use the names of the operators' settings.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// There is no class.
    #[error("settings: classes: the list is empty; name at least one class")]
    NoClasses,
    /// There is no machine type.
    #[error("settings: kinds: the list is empty; name at least one machine type")]
    NoMachineTypes,
    /// The capacity of a machine type is not above 0.
    #[error(
        "settings: kinds: machine type {machine_type} has {} cores and {} of memory; \
         give it more than 0 of both", .capacity.cpu, .capacity.memory
    )]
    EmptyMachineType {
        /// Index into [`Settings::machine_types`].
        machine_type: usize,
        /// The rejected capacity.
        capacity: Resources,
    },
    /// The ordinal of this scheduler is not below the number of schedulers.
    #[error(
        "settings: schedulers: this scheduler has the ordinal {ordinal} of {scheduler_count} schedulers; \
         count from 0, and give a number of schedulers above the ordinal"
    )]
    OrdinalOutOfRange {
        /// The number of this scheduler, from 0.
        ordinal: usize,
        /// The number of schedulers that share the machines.
        scheduler_count: usize,
    },
    /// A value of a class is negative or not a number.
    #[error("settings: classes: {name} of class {class} is {value}; give 0 or more")]
    InvalidClassValue {
        /// Index into [`Settings::classes`].
        class: usize,
        /// The field of [`Class`].
        name: &'static str,
        /// The rejected value.
        value: f64,
    },
    /// A class requires a machine type that does not exist.
    #[error(
        "settings: classes: class {class} needs machine type {machine_type}, of {machine_type_count} types \
         counted from 0; add the type or change the class"
    )]
    UnknownMachineType {
        /// Index into [`Settings::classes`].
        class: usize,
        /// Index into [`Settings::machine_types`].
        machine_type: usize,
        /// The number of machine types.
        machine_type_count: usize,
    },
    /// A safety limit is negative or not a number.
    #[error("settings: safety: {name} is {value}; give 0 or more")]
    InvalidSafetyLimit {
        /// The field of [`SafetyLimits`](super::SafetyLimits).
        name: &'static str,
        /// The rejected value.
        value: f64,
    },
    /// An overcommit ratio is negative or not a number.
    #[error(
        "settings: admit_cores: machines admit {} times their cores and {} times their memory; \
         give 0 or more for both", .overcommit.cpu, .overcommit.memory
    )]
    InvalidOvercommit {
        /// The rejected ratios.
        overcommit: Resources,
    },
}

impl SettingsError {
    /// The section of the operators' settings that the message names first.
    #[must_use]
    pub const fn field(&self) -> &'static str {
        match self {
            Self::NoClasses | Self::InvalidClassValue { .. } | Self::UnknownMachineType { .. } => {
                "classes"
            }
            Self::NoMachineTypes | Self::EmptyMachineType { .. } => "kinds",
            Self::OrdinalOutOfRange { .. } => "schedulers",
            Self::InvalidSafetyLimit { .. } => "safety",
            Self::InvalidOvercommit { .. } => "admit_cores",
        }
    }
}

impl Settings {
    /// Checks that all values are valid and consistent.
    ///
    /// # Errors
    /// Returns the first invalid setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        self.check_machine_types()?;
        if self.ordinal >= self.scheduler_count {
            return Err(SettingsError::OrdinalOutOfRange {
                ordinal: self.ordinal,
                scheduler_count: self.scheduler_count,
            });
        }
        for (index, class) in self.classes.iter().enumerate() {
            self.check_class(index, class)?;
        }
        self.check_safety_limits()?;
        if self.overcommit.any(is_invalid) {
            return Err(SettingsError::InvalidOvercommit {
                overcommit: self.overcommit,
            });
        }
        Ok(())
    }

    fn check_machine_types(&self) -> Result<(), SettingsError> {
        if self.machine_types.is_empty() {
            return Err(SettingsError::NoMachineTypes);
        }
        for (machine_type, properties) in self.machine_types.iter().enumerate() {
            let capacity = properties.capacity;
            let has_both = capacity.cpu > 0.0 && capacity.memory > 0.0;
            if !has_both {
                return Err(SettingsError::EmptyMachineType {
                    machine_type,
                    capacity,
                });
            }
        }
        Ok(())
    }

    fn check_class(&self, index: usize, class: &Class) -> Result<(), SettingsError> {
        let values = [
            ("latency_objective", class.latency_objective),
            ("deadline", class.deadline),
            ("priority_weight", class.priority_weight),
            ("start_weight", class.start_weight),
            ("full_service_utilization", class.full_service_utilization),
            ("degradation_range", class.degradation_range),
            ("window", deduplication_window(class)),
        ];
        for (name, value) in values {
            if is_invalid(value) {
                return Err(SettingsError::InvalidClassValue {
                    class: index,
                    name,
                    value,
                });
            }
        }
        let machine_type_count = self.machine_types.len();
        match class.machine_type {
            Some(machine_type) if machine_type >= machine_type_count => {
                Err(SettingsError::UnknownMachineType {
                    class: index,
                    machine_type,
                    machine_type_count,
                })
            }
            _ => Ok(()),
        }
    }

    fn check_safety_limits(&self) -> Result<(), SettingsError> {
        let limits = &self.safety_limits;
        let values = [
            ("answer_slack", limits.answer_slack),
            ("max_poll_interval", limits.max_poll_interval),
            ("slow_start_duration", limits.slow_start_duration),
            ("drain_grace", limits.drain_grace),
            ("overload_window", limits.overload_window),
            ("slow_start_offers", limits.slow_start_offers),
            ("slow_start_speed", limits.slow_start_speed),
            ("overload_ratio", limits.overload_ratio),
        ];
        for (name, value) in values {
            if is_invalid(value) {
                return Err(SettingsError::InvalidSafetyLimit { name, value });
            }
        }
        Ok(())
    }
}

/// How long duplicates of a task are dropped, in seconds; 0 for a class without idempotency keys.
const fn deduplication_window(class: &Class) -> Seconds {
    match class.retry_safety {
        RetrySafety::IdempotencyKeyed { window, .. } => window,
        RetrySafety::Idempotent | RetrySafety::NonIdempotent => 0.0,
    }
}

const fn is_invalid(value: f64) -> bool {
    value.is_nan() || value < 0.0
}
