//! Counters and sizes of the gateway, for its log.

/// Counters since the start; none ever falls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Set-ups submitted to the policy.
    pub accepted: u64,
    /// Tasks adopted from a machine that held them already.
    pub adopted: u64,
    /// Set-ups that can't be used, and clients closed for malformed or unexpected messages.
    pub malformed: u64,
    /// Tasks that a machine accepted.
    pub placed: u64,
    /// Set-ups rejected by the policy, for lack of capacity in the gateway, or during shutdown.
    pub rejected: u64,
    /// Set-ups shed because the event loop lagged; also counted in `rejected`.
    pub shed: u64,
    /// Set-ups rejected because pending requests use too much memory; also counted in `rejected`.
    pub rejected_for_memory: u64,
    /// Maximum lag of the event loop, in milliseconds.
    pub max_lag_ms: u64,
    /// Requests that the policy failed.
    pub failed: u64,
    /// Pending requests that their owners cancelled, or whose connection closed.
    pub cancelled: u64,
    /// Offers made to machines, sent or not.
    pub offers: u64,
    /// Offers that were not answered before their deadline.
    pub timed_out: u64,
    /// Offers of which no byte was sent.
    pub unsent: u64,
    /// Offers whose connection ended, or that the machine aborted.
    pub interrupted: u64,
    /// Offers that machines rejected.
    pub rejected_by_machine: u64,
    /// Offers that machines answered with an error.
    pub errors: u64,
    /// Messages of machines that match no request.
    pub unmatched: u64,
    /// Ends of placed tasks, sent by another machine than the task's and ignored; also counted in `unmatched`.
    pub unmatched_ends: u64,
    /// Placed tasks that ended, lost ones included.
    pub ended: u64,
    /// Placed tasks that turned out to be at the machine that has the address of theirs now.
    pub moved: u64,
    /// Placed tasks lost because their machine failed.
    pub lost: u64,
    /// Releases to machines that could not be delivered in time, or were not kept for lack of memory.
    pub releases_given_up: u64,
    /// Client connections closed by the gateway.
    pub closed: u64,
}

/// Current numbers of requests, connections and machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Requests, pending or placed.
    pub requests: usize,
    /// Requests whose owner waits for an answer.
    pub pending: usize,
    /// Memory that pending requests may use now, in bytes.
    pub pending_bytes: usize,
    /// Open client connections.
    pub downstreams: usize,
    /// Connections to machines, including those that are half-closed or being dialled.
    pub upstreams: usize,
    /// Machines in the pool: listed, or with tasks or connections.
    pub machines: usize,
}

/// Machines and connections examined since the start; a measure of the work done that doesn't depend on a clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExaminedCounts {
    /// Machines examined by the policy.
    pub machines: u64,
    /// Connections examined by the pool.
    pub connections: u64,
}
