//! A bound on memory that several users share, by dynamic thresholds.
//!
//! A user may take up to a fixed fraction of what is still free (Choudhury and Hahne, "Dynamic Queue Length Thresholds for
//! Shared-Memory Packet Switches", 1998). So users that take all they can leave room for others, without a part that is
//! reserved for each.

/// A user may take one part in this many of the free bytes.
const FREE_PARTS: usize = 16;

/// Bytes that several users share.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    capacity: usize,
    used: usize,
}

impl Default for ByteBudget {
    /// A budget without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl ByteBudget {
    /// Creates a budget of this many bytes, all free.
    pub const fn new(capacity: usize) -> Self {
        Self { capacity, used: 0 }
    }

    /// Bytes in use.
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Whether a user that has `own` bytes may take `additional` ones.
    pub const fn admits(&self, own: usize, additional: usize) -> bool {
        let free = self.capacity.saturating_sub(self.used);
        own.saturating_add(additional) <= free / FREE_PARTS
    }

    /// Counts bytes that a user takes, admitted or not.
    pub const fn take(&mut self, bytes: usize) {
        self.used = self.used.saturating_add(bytes);
    }

    /// Counts bytes that a user gives back.
    pub const fn give_back(&mut self, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
    }
}
