//! Discovery of other members through the seed addresses, and leaving the fleet.

use super::Membership;
use crate::wire::Body;
use crate::{Output, Seconds};
use rand::RngExt;
use std::net::SocketAddr;

/// Initial interval between discovery rounds while no other member is alive; it doubles with each round.
pub(super) const MIN_DISCOVERY_BACKOFF: Seconds = 0.3;
/// Maximum interval between discovery rounds, and the interval while other members are alive.
const MAX_DISCOVERY_BACKOFF: Seconds = 5.0;

impl Membership {
    /// Addresses of the alive members.
    pub(super) fn alive_addresses(&self) -> Vec<SocketAddr> {
        self.detector
            .iter_members()
            .map(|member| member.id().address)
            .collect()
    }

    /// Sends `Hello` to seed addresses that belong to no alive member. While no other member is alive it is sent to all
    /// of them, with exponential backoff; otherwise to a random one at a constant interval, so that two partitions that
    /// have forgotten each other merge again.
    pub(super) fn discover(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        let alive = self.alive_addresses();
        let mut unreached_seeds: Vec<SocketAddr> = self.settings.seed_addresses.clone();
        unreached_seeds.retain(|seed| *seed != self.own.address && !alive.contains(seed));
        let backoff = if alive.is_empty() {
            for &seed in &unreached_seeds {
                self.send(seed, &Body::Hello(self.own.clone()), outputs);
            }
            let backoff = self.discovery_backoff;
            self.discovery_backoff = (backoff * 2.0).min(MAX_DISCOVERY_BACKOFF);
            backoff
        } else {
            if !unreached_seeds.is_empty() {
                let seed = unreached_seeds[self.rng.random_range(0..unreached_seeds.len())];
                self.send(seed, &Body::Hello(self.own.clone()), outputs);
            }
            self.discovery_backoff = MIN_DISCOVERY_BACKOFF;
            MAX_DISCOVERY_BACKOFF
        };
        let interval = backoff * self.rng.random_range(0.5..1.0);
        self.next_discovery_at = self.protocol_time(now) + interval;
    }

    /// Leaves the fleet gracefully; the member ends.
    pub(super) fn leave_fleet(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        self.metadata.is_leaving = true;
        self.publish_metadata();
        // The metadata is gossiped first, so that the other members report the departure as graceful and not as a
        // failure.
        self.run_detector(now, outputs, |detector, effects| detector.gossip(effects));
        self.has_ended = true;
        self.run_detector(now, outputs, |detector, effects| {
            detector.leave_cluster(effects)
        });
    }
}
