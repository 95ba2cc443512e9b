//! Finding other members by the seed addresses, and the own departure.

use super::Membership;
use crate::wire::Body;
use crate::{Output, Seconds};
use rand::RngExt;
use std::net::SocketAddr;

/// First pause between two rounds of discovery of a member that is alone; it doubles with each round.
pub(super) const MIN_DISCOVERY_BACKOFF: Seconds = 0.3;
/// The longest pause, and the one of a member that is not alone.
const MAX_DISCOVERY_BACKOFF: Seconds = 5.0;

impl Membership {
    /// Addresses of the alive members.
    pub(super) fn alive_addresses(&self) -> Vec<SocketAddr> {
        self.detector
            .iter_members()
            .map(|member| member.id().address)
            .collect()
    }

    /// Greets the seed addresses that no alive member has. A member that is alone greets all of them, with growing
    /// pauses; others greet one now and then, so that two halves of a fleet that have forgotten each other meet again.
    pub(super) fn discover(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        let alive = self.alive_addresses();
        let mut missing: Vec<SocketAddr> = self.settings.seed_addresses.clone();
        missing.retain(|seed| *seed != self.own.address && !alive.contains(seed));
        let backoff = if alive.is_empty() {
            for &seed in &missing {
                self.send(seed, &Body::Hello(self.own.clone()), outputs);
            }
            let backoff = self.discovery_backoff;
            self.discovery_backoff = (backoff * 2.0).min(MAX_DISCOVERY_BACKOFF);
            backoff
        } else {
            if !missing.is_empty() {
                let seed = missing[self.rng.random_range(0..missing.len())];
                self.send(seed, &Body::Hello(self.own.clone()), outputs);
            }
            self.discovery_backoff = MIN_DISCOVERY_BACKOFF;
            MAX_DISCOVERY_BACKOFF
        };
        let pause = backoff * self.rng.random_range(0.5..1.0);
        self.next_discovery_at = self.protocol_time(now) + pause;
    }

    /// Leaves the fleet in order.
    pub(super) fn leave_fleet(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        self.metadata.is_leaving = true;
        self.publish_metadata();
        // The metadata is gossiped first, so that the others know that this member has not failed.
        self.run_detector(now, outputs, |detector, effects| detector.gossip(effects));
        self.has_ended = true;
        self.run_detector(now, outputs, |detector, effects| {
            detector.leave_cluster(effects)
        });
    }
}
