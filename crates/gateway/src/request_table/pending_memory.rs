//! Memory of pending requests, by client.

use crate::DownstreamId;
use crate::byte_budget::ByteBudget;
use std::collections::BTreeMap;

/// Counts the memory of the pending requests of each client within a budget that the clients share.
#[derive(Debug, Default)]
pub struct PendingMemory {
    budget: ByteBudget,
    /// Clients without a pending request have no entry.
    by_client: BTreeMap<DownstreamId, usize>,
}

impl PendingMemory {
    /// Creates an account without requests; all clients together may use `max_bytes`.
    pub const fn new(max_bytes: usize) -> Self {
        Self {
            budget: ByteBudget::new(max_bytes),
            by_client: BTreeMap::new(),
        }
    }

    /// Bytes in use.
    pub const fn used(&self) -> usize {
        self.budget.used()
    }

    /// Whether there is room for another request of this client.
    pub fn admits(&self, client: DownstreamId, bytes: usize) -> bool {
        let own = self.by_client.get(&client).copied().unwrap_or(0);
        self.budget.admits(own, bytes)
    }

    /// Counts a request that has become pending.
    pub fn add(&mut self, client: DownstreamId, bytes: usize) {
        self.budget.take(bytes);
        *self.by_client.entry(client).or_default() += bytes;
    }

    /// Counts a request that is no longer pending.
    pub fn remove(&mut self, client: DownstreamId, bytes: usize) {
        self.budget.give_back(bytes);
        let Some(own) = self.by_client.get_mut(&client) else {
            return;
        };
        *own = own.saturating_sub(bytes);
        if *own == 0 {
            self.by_client.remove(&client);
        }
    }
}
