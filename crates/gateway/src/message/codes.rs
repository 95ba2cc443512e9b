//! Numbers of the platform's messages.

/// Codes of the parameters.
pub mod code {
    /// Class, by name.
    pub const CLASS: u8 = 180;
    /// How long the sender waits, in milliseconds.
    pub const WAIT: u8 = 183;
    /// Tenant, by name, where the settings have any.
    pub const TENANT: u8 = 186;
    /// `1` where an owner tries again.
    pub const RETRY: u8 = 189;
    /// Name of the task.
    pub const NAME: u8 = 192;
    /// What the task asks for.
    pub const ASKS: u8 = 195;
    /// What is noted, or why something was refused or released.
    pub const WORD: u8 = 201;
    /// Load of a machine.
    pub const LOAD: u8 = 207;
    /// How long the task is expected to run, in milliseconds.
    pub const HINT: u8 = 210;
    /// The figure of a note.
    pub const FIGURE: u8 = 216;
    /// Cause: one byte.
    pub const CAUSE: u8 = 222;
    /// Description: bytes that are passed on as they are.
    pub const DESCRIPTION: u8 = 225;
}

/// Causes.
pub mod cause {
    /// A standing task came to its end; from an owner, before the answer: the set-up is given up.
    pub const NORMAL: u8 = 16;
    /// A standing task was moved, or ended by its owner.
    pub const ENDED: u8 = 31;
    /// Refused: full, never ran.
    pub const FULL: u8 = 34;
    /// Failed, reset or cut.
    pub const FAILED: u8 = 41;
    /// Refused by the scheduler itself: too much at once.
    pub const CONGESTED: u8 = 42;
    /// An error of the machine.
    pub const ERROR: u8 = 47;
    /// Failed: what was asked can't be read or can't be had.
    pub const CONTENT: u8 = 100;
    /// Never left.
    pub const MOOT: u8 = 102;
}
