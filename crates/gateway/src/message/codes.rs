//! Codes of parameters and numbers of causes in the platform's messages.

/// Codes of the parameters.
pub mod code {
    /// The task's class, by name.
    pub const CLASS: u8 = 180;
    /// How long the sender waits for an answer, in milliseconds.
    pub const TIMEOUT: u8 = 183;
    /// The tenant, by name; required only if the settings have tenants.
    pub const TENANT: u8 = 186;
    /// `1` if the task was submitted before.
    pub const RETRY: u8 = 189;
    /// The task's name; must not be empty.
    pub const NAME: u8 = 192;
    /// `key:value;...` with the requested resources, the service and, in a hand-over, the machine that holds the task.
    pub const REQUESTED: u8 = 195;
    /// The kind of progress, or the reason of a rejection or release.
    pub const REASON: u8 = 201;
    /// `key:value;...` with the load of a machine.
    pub const LOAD: u8 = 207;
    /// How long the task is expected to run, in milliseconds.
    pub const EXPECTED_DURATION: u8 = 210;
    /// The measured value of a progress report.
    pub const LEVEL: u8 = 216;
    /// The cause, one byte; see [`cause`](super::cause).
    pub const CAUSE: u8 = 222;
    /// The machine's description of a placed task; forwarded to the owner unchanged.
    pub const DESCRIPTION: u8 = 225;
}

/// Causes of releases.
pub mod cause {
    /// A placed task finished. In a release that is sent before the set-up was answered: the set-up is cancelled.
    pub const NORMAL: u8 = 16;
    /// A placed task was migrated, or ended by its owner.
    pub const ENDED: u8 = 31;
    /// Rejected for lack of capacity; the task never ran.
    pub const FULL: u8 = 34;
    /// The task failed, or its connection was reset or closed.
    pub const FAILED: u8 = 41;
    /// Rejected as the scheduler is overloaded; the task never ran.
    pub const CONGESTED: u8 = 42;
    /// The machine reported an error.
    pub const ERROR: u8 = 47;
    /// Rejected as the request is malformed or can never be met.
    pub const INVALID_CONTENT: u8 = 100;
    /// The attempt was never sent, so the task never ran.
    pub const NEVER_SENT: u8 = 102;
}
