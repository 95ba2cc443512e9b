//! Bytes that a socket has not accepted yet.

use std::cell::RefCell;
use std::rc::Rc;
use tidespur_gateway::byte_budget::ByteBudget;

/// Maximum number of unsent bytes for a peer that does not read.
const MAX_UNSENT_BYTES: usize = 256 * 1024;

/// A budget that the buffers of many connections share.
pub type SharedBudget = Rc<RefCell<ByteBudget>>;

/// Buffer of one connection; what it holds counts in a budget until it is removed or the buffer is dropped.
#[derive(Debug, Default)]
pub struct UnsentBytes {
    bytes: Vec<u8>,
    budget: SharedBudget,
}

impl UnsentBytes {
    /// Creates an empty buffer.
    pub fn new(budget: SharedBudget) -> Self {
        Self {
            bytes: Vec::new(),
            budget,
        }
    }

    /// The buffered bytes, in the order in which they are to be sent.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes; returns false and does nothing if the buffer or the budget has no room for them.
    pub fn extend(&mut self, bytes: &[u8]) -> bool {
        let own = self.bytes.len();
        let mut budget = self.budget.borrow_mut();
        if own + bytes.len() > MAX_UNSENT_BYTES || !budget.admits(own, bytes.len()) {
            return false;
        }
        budget.take(bytes.len());
        self.bytes.extend_from_slice(bytes);
        true
    }

    /// Removes the first `count` bytes, as they were sent. Frees the memory once none are left.
    pub fn remove_first(&mut self, count: usize) {
        self.budget.borrow_mut().give_back(count);
        self.bytes.drain(..count);
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
        }
    }
}

impl Drop for UnsentBytes {
    fn drop(&mut self) {
        self.budget.borrow_mut().give_back(self.bytes.len());
    }
}
