//! What each client has pending and placed, and how many malformed messages it has sent lately.

use super::Downstreams;
use crate::DownstreamId;
use tidespur_policy::interface::Seconds;

/// A client whose penalty is above this is closed. Each malformed message adds 1.
const MAX_PENALTY: f64 = 32.0;
/// A penalty falls by this much in a second.
const PENALTY_DECAY_PER_SECOND: f64 = 10.0;
/// Penalty of a health check, or of a message that means nothing here.
const FREE_MESSAGE_PENALTY: f64 = 0.1;

impl Downstreams {
    /// Counts a malformed or useless message; returns whether the client has sent too many.
    pub fn record_malformed(&mut self, now: Seconds, id: DownstreamId) -> bool {
        self.add_penalty(now, id, 1.0)
    }

    /// Counts a message that costs little, such as a health check; returns whether the client has sent too many.
    pub fn record_free_message(&mut self, now: Seconds, id: DownstreamId) -> bool {
        self.add_penalty(now, id, FREE_MESSAGE_PENALTY)
    }

    fn add_penalty(&mut self, now: Seconds, id: DownstreamId, penalty: f64) -> bool {
        self.downstreams.get_mut(&id).is_some_and(|client| {
            let (penalty_before, counted_at) = client.penalty;
            client.penalty = (
                (penalty_before - PENALTY_DECAY_PER_SECOND * (now - counted_at)).max(0.0) + penalty,
                now,
            );
            client.penalty.0 > MAX_PENALTY
        })
    }

    /// Counts a release that was sent and that the client may acknowledge once.
    pub fn release_sent(&mut self, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.unacknowledged_releases = client.unacknowledged_releases.saturating_add(1);
        }
    }

    /// Counts an acknowledgement. One without a release before it counts as malformed; returns whether the client has
    /// sent too many of these.
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

    /// Pending requests of the client.
    pub fn pending_count(&self, id: DownstreamId) -> usize {
        self.downstreams.get(&id).map_or(0, |client| client.pending)
    }

    /// Counts a request that became pending.
    pub fn request_opened(&mut self, now: Seconds, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.pending += 1;
            client.used_at = now;
        }
    }

    /// Counts a request that is pending no longer.
    pub fn request_closed(&mut self, now: Seconds, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.pending = client.pending.saturating_sub(1);
            client.used_at = now;
        }
    }

    /// Counts a task that was placed; its client is an owner from then on.
    pub fn task_placed(&mut self, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.placed += 1;
            client.is_owner = true;
        }
    }

    /// Counts a placed task that has ended.
    pub fn task_ended(&mut self, id: DownstreamId) {
        if let Some(client) = self.downstreams.get_mut(&id) {
            client.placed = client.placed.saturating_sub(1);
        }
    }
}
