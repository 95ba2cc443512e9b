//! Gossip: tells the other schedulers which programs are in which caches.
//!
//! A start without the program is mostly too late, and programs of other schedulers are seen nowhere else. Where
//! messages are forbidden or dear, the preferred machines of a service must do. The cost: a program that is gone draws some
//! starts until its announcement expires.

use super::Scheduler;
use crate::interface::{Action, Seconds};

/// The part of the result, in points, that messages may cost.
const MAX_GOSSIP_COST: f64 = 0.004;

/// The part of a full message that one announcement takes.
const MESSAGE_FRACTION: f64 = 8.0 / 256.0;

impl Scheduler {
    /// Sends the announcements of this step, where gossip is worth its cost.
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

    /// Whether schedulers may gossip, have someone to gossip with, and the cost is small.
    pub(super) fn is_gossip_enabled(&self) -> bool {
        let receivers = (self.settings.scheduler_count - 1) as f64;
        let messages_per_task = receivers * MESSAGE_FRACTION;
        self.settings.allows_gossip
            && messages_per_task > 0.0
            && self.settings.costs.gossip_message * messages_per_task <= MAX_GOSSIP_COST
    }
}
