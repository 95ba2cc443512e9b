//! Per-client counts of pending requests and placed tasks, and the rate limit on malformed messages.

use super::{Downstreams, Penalty};
use crate::DownstreamId;
use tidespur_policy::interface::Seconds;

/// A client with a higher penalty is closed. Each malformed message adds 1.
const MAX_PENALTY: f64 = 32.0;
/// A penalty decreases by this much per second.
const PENALTY_DECAY_PER_SECOND: f64 = 10.0;
/// Penalty of a health check, or of a message that is ignored.
const CHEAP_MESSAGE_PENALTY: f64 = 0.1;

impl Downstreams {
    /// Counts a malformed or unexpected message; returns whether the client exceeds the limit.
    pub fn record_malformed(&mut self, now: Seconds, id: DownstreamId) -> bool {
        self.add_penalty(now, id, 1.0)
    }

    /// Counts a message that is cheap to handle, such as a health check; returns whether the client exceeds the limit.
    pub fn record_cheap_message(&mut self, now: Seconds, id: DownstreamId) -> bool {
        self.add_penalty(now, id, CHEAP_MESSAGE_PENALTY)
    }

    fn add_penalty(&mut self, now: Seconds, id: DownstreamId, penalty: f64) -> bool {
        self.downstreams.get_mut(&id).is_some_and(|client| {
            let decay = PENALTY_DECAY_PER_SECOND * (now - client.penalty.computed_at);
            client.penalty = Penalty {
                value: (client.penalty.value - decay).max(0.0) + penalty,
                computed_at: now,
            };
            client.penalty.value > MAX_PENALTY
        })
    }

    /// Counts a release that was sent. The client may acknowledge it once, and its own release may cross it.
    pub fn release_sent(&mut self, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.unacknowledged_releases = client.unacknowledged_releases.saturating_add(1);
            client.uncrossed_releases = client.uncrossed_releases.saturating_add(1);
        }
    }

    /// Counts a release of the client that may have crossed one sent to it; returns false if none was sent that
    /// another one has not crossed.
    pub fn release_crossed(&mut self, id: DownstreamId) -> bool {
        let Some(client) = self.downstreams.get_mut(&id) else {
            return false;
        };
        let may_cross = client.uncrossed_releases > 0;
        client.uncrossed_releases = client.uncrossed_releases.saturating_sub(1);
        may_cross
    }

    /// Counts an acknowledgement. One that no release preceded counts as malformed; returns whether the client exceeds
    /// the limit.
    pub fn release_acknowledged(&mut self, now: Seconds, id: DownstreamId) -> bool {
        match self
            .downstreams
            .get_mut(&id)
            .filter(|client| client.unacknowledged_releases > 0)
        {
            Some(client) => {
                client.unacknowledged_releases -= 1;
                false
            }
            None => self.record_malformed(now, id),
        }
    }

    /// Number of pending requests; 0 for an unknown client.
    pub fn pending_count(&self, id: DownstreamId) -> usize {
        self.downstreams.get(&id).map_or(0, |client| client.pending)
    }

    /// Counts a new pending request.
    pub fn request_opened(&mut self, now: Seconds, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.pending += 1;
            client.last_used_at = now;
        }
    }

    /// Counts a request that is no longer pending.
    pub fn request_closed(&mut self, now: Seconds, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.pending = client.pending.saturating_sub(1);
            client.last_used_at = now;
        }
    }

    /// Counts a placed task. Its client is an owner from then on.
    pub fn task_placed(&mut self, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.placed += 1;
            client.is_owner = true;
        }
    }

    /// Counts the end of a placed task.
    pub fn task_ended(&mut self, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.placed = client.placed.saturating_sub(1);
        }
    }
}
