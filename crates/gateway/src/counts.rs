//! Figures of the gateway for its log: counters since the start, and present sizes.

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Set-ups submitted to the policy.
    pub accepted: u64,
    /// Set-ups of tasks that a machine holds already, adopted.
    pub adopted: u64,
    /// Set-ups that can't be used, and clients closed for malformed or useless messages.
    pub malformed: u64,
    /// Tasks that a machine has taken, and whose owner was answered.
    pub placed: u64,
    /// Set-ups rejected.
    pub rejected: u64,
    /// Set-ups shed because the event loop lagged; they are among the rejected ones.
    pub shed: u64,
    /// The largest lag of the event loop so far, in milliseconds.
    pub max_lag_ms: u64,
    /// Requests that the policy gave up as failed.
    pub failed: u64,
    /// Pending requests that their owners cancelled, or whose connection ended.
    pub cancelled: u64,
    /// Offers to machines.
    pub offers: u64,
    /// Offers that were not answered in time.
    pub timed_out: u64,
    /// Offers of which nothing was sent.
    pub unsent: u64,
    /// Offers whose connection ended, or that the machine gave up.
    pub interrupted: u64,
    /// Offers that machines rejected.
    pub rejected_by_machine: u64,
    /// Offers answered by an error.
    pub errors: u64,
    /// Messages of machines that belong to no request here.
    pub unmatched: u64,
    /// Placed tasks that have ended.
    pub ended: u64,
    /// Placed tasks lost with their machine.
    pub lost: u64,
    /// Connections of clients closed by the gateway.
    pub closed: u64,
}

/// What the gateway holds at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Requests, pending or placed.
    pub requests: usize,
    /// Requests whose owner waits for an answer.
    pub pending: usize,
    /// Connections of clients.
    pub downstreams: usize,
    /// Connections to machines, also those that are half-closed or being dialled.
    pub upstreams: usize,
    /// Machines that are known.
    pub machines: usize,
}

/// How much was examined since the start to choose machines and connections: a measure of the work done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExaminedCounts {
    /// Machines examined by the policy.
    pub machines: u64,
    /// Connections examined by the pool.
    pub connections: u64,
}
