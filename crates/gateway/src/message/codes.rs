//! Numbers of parameters and causes in the platform's messages.

/// Codes of the parameters.
pub mod code {
    /// The task's class, by name.
    pub const CLASS: u8 = 180;
    /// How long the sender waits, in milliseconds.
    pub const TIMEOUT: u8 = 183;
    /// Tenant, by name, where the settings have any.
    pub const TENANT: u8 = 186;
    /// `1` where an owner submits a task again.
    pub const RETRY: u8 = 189;
    /// Name of the task.
    pub const NAME: u8 = 192;
    /// What the task requests: resources, service, and the machine that holds it, if one does.
    pub const REQUESTED: u8 = 195;
    /// The kind of progress, or the reason of a rejection or release.
    pub const REASON: u8 = 201;
    /// Load report of a machine.
    pub const LOAD: u8 = 207;
    /// How long the task is expected to run, in milliseconds.
    pub const EXPECTED_DURATION: u8 = 210;
    /// The level that a progress report gives.
    pub const LEVEL: u8 = 216;
    /// The cause, one byte; see [`cause`](super::cause).
    pub const CAUSE: u8 = 222;
    /// The description of a placed task: bytes that are forwarded unchanged.
    pub const DESCRIPTION: u8 = 225;
}

/// Causes of releases.
pub mod cause {
    /// A placed task finished. From an owner, before the answer: the set-up is cancelled.
    pub const NORMAL: u8 = 16;
    /// A placed task was migrated, or ended by its owner.
    pub const ENDED: u8 = 31;
    /// Rejected, as there is no capacity; the task never ran.
    pub const FULL: u8 = 34;
    /// Failed, reset or cut.
    pub const FAILED: u8 = 41;
    /// Rejected by the scheduler as overloaded; the task never ran.
    pub const CONGESTED: u8 = 42;
    /// An error of the machine.
    pub const ERROR: u8 = 47;
    /// Rejected: the request is malformed or can never be met.
    pub const INVALID_CONTENT: u8 = 100;
    /// Never sent.
    pub const NEVER_SENT: u8 = 102;
}
