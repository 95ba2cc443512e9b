//! Gossip: announces to other schedulers which machines have which programs in their caches.
//!
//! A start without a cached program usually misses its latency objective, and there is no other way to learn of the
//! programs of other schedulers. If messages are forbidden or too expensive, schedulers rely on the preferred machines
//! of a service instead. The cost is that a program that is gone from a cache attracts some starts until its
//! announcement expires.

use super::Scheduler;
use crate::interface::{Action, Seconds};

/// The most that messages may cost, in points of the score.
const MAX_GOSSIP_COST: f64 = 0.004;

/// The size of an announcement as a fraction of the maximum message size.
const MESSAGE_FRACTION: f64 = 8.0 / 256.0;

impl Scheduler {
    /// Sends the announcements of this step, or discards them if gossip is disabled.
    pub(super) fn gossip(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        if self.is_gossip_enabled() {
            actions.extend(
                self.programs
                    .take_messages()
                    .into_iter()
                    .map(Action::Gossip),
            );
        } else {
            self.programs.discard_announcements();
        }
        self.programs.remove_expired(now);
    }

    /// Whether gossip is permitted, there are other schedulers, and the cost is acceptable.
    pub(super) fn is_gossip_enabled(&self) -> bool {
        let receivers = (self.settings.scheduler_count - 1) as f64;
        let messages_per_task = receivers * MESSAGE_FRACTION;
        self.settings.allows_gossip
            && messages_per_task > 0.0
            && self.settings.costs.gossip_message * messages_per_task <= MAX_GOSSIP_COST
    }
}
