//! What the gateway has done, for its log.

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Set-ups taken.
    pub accepted: u64,
    /// Set-ups of tasks that a machine holds already.
    pub adopted: u64,
    /// Set-ups that can't be used, and messages that mean nothing.
    pub malformed: u64,
    /// Answers passed on.
    pub placed: u64,
    /// Refusals.
    pub rejected: u64,
    /// Of these, set-ups turned away as the loop was behind.
    pub shed: u64,
    /// The most that the loop was behind so far, in milliseconds.
    pub max_lag_ms: u64,
    /// Failures.
    pub failed: u64,
    /// Set-ups that their owners gave up, or whose connection ended.
    pub cancelled: u64,
    /// Offers written or dialled for.
    pub offers: u64,
    /// Offers without an answer in time.
    pub timed_out: u64,
    /// Offers that never left.
    pub unsent: u64,
    /// Offers whose connection ended.
    pub interrupted: u64,
    /// Offers that machines turned away.
    pub rejected_by_machine: u64,
    /// Offers answered by an error.
    pub errors: u64,
    /// Messages of machines that belong to nothing here.
    pub unmatched: u64,
    /// Standing tasks that came to an end.
    pub ended: u64,
    /// Standing tasks lost with their machine.
    pub lost: u64,
    /// Connections of clients closed from here.
    pub closed: u64,
}
