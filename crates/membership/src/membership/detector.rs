//! Runs the failure detector (crate `foca`) and applies its effects.

use super::Membership;
use crate::detector_hooks::DetectorHooks;
use crate::wire::{Body, MAX_BODY_BYTES};
use crate::{DropReason, MemberId, Output, Seconds, Settings};
use foca::{Foca, Notification, PeriodicParams, Runtime, Timer};
use rand_pcg::Pcg32;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Number of members that are requested to probe a member indirectly.
const INDIRECT_PROBES: usize = 3;
/// Number of times a member retransmits an update.
const MAX_TRANSMISSIONS: u8 = 12;
/// Periodic announcement of this member to alive members.
const ANNOUNCE: Periodic = Periodic {
    interval: 3.0,
    member_count: 1,
};
/// Periodic announcement to failed members, by which two partitions that declared each other failed merge again.
const ANNOUNCE_TO_FAILED: Periodic = Periodic {
    interval: 1.5,
    member_count: 2,
};
/// Periodic gossip of updates, in addition to those piggybacked on probes.
const GOSSIP: Periodic = Periodic {
    interval: 0.2,
    member_count: 3,
};

pub(super) type Detector = Foca<MemberId, DetectorHooks, Pcg32, DetectorHooks>;

/// Key of a detector timer: its expiry, and a sequence number that keeps timers of equal expiry in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerKey {
    at_micros: u64,
    number: u64,
}

impl TimerKey {
    /// Expiry of the timer, by the protocol's clock.
    pub(super) fn seconds(&self) -> Seconds {
        self.at_micros as f64 / 1e6
    }
}

/// Parameters of a message that is sent periodically to random members.
struct Periodic {
    interval: Seconds,
    member_count: usize,
}

impl Periodic {
    fn params(&self) -> Option<PeriodicParams> {
        Some(PeriodicParams {
            frequency: Duration::from_secs_f64(self.interval),
            num_members: at_least_one(self.member_count),
        })
    }
}

struct TimerRequest {
    timer: Timer<MemberId>,
    after: Duration,
}

struct OutgoingData {
    to: MemberId,
    data: Vec<u8>,
}

/// Effects that the detector requested from its runtime during one call.
#[derive(Default)]
pub(super) struct DetectorEffects {
    sends: Vec<OutgoingData>,
    timers: Vec<TimerRequest>,
    is_view_changed: bool,
    /// Whether other members have declared this member failed.
    is_declared_failed: bool,
}

impl Runtime<MemberId> for DetectorEffects {
    fn notify(&mut self, notification: Notification<'_, MemberId>) {
        self.is_declared_failed |= matches!(notification, Notification::Defunct);
        self.is_view_changed = true;
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        self.sends.push(OutgoingData {
            to,
            data: data.to_vec(),
        });
    }

    fn submit_after(&mut self, timer: Timer<MemberId>, after: Duration) {
        self.timers.push(TimerRequest { timer, after });
    }
}

impl Membership {
    /// Calls the detector and applies its effects; returns whether its view may have changed.
    pub(super) fn run_detector(
        &mut self,
        now: Seconds,
        outputs: &mut Vec<Output>,
        call: impl FnOnce(&mut Detector, &mut DetectorEffects) -> Result<(), foca::Error>,
    ) -> bool {
        let mut effects = DetectorEffects::default();
        let result = call(&mut self.detector, &mut effects);
        let has_rejected_member = std::mem::take(&mut self.hooks.lock().has_rejected_member);
        if has_rejected_member {
            self.count_drop(DropReason::TooManyMembers);
        } else if result.is_err() {
            self.count_drop(DropReason::Malformed);
        }
        let mut is_view_changed = effects.is_view_changed;
        if effects.is_declared_failed && !self.has_ended {
            self.is_declared_failed = true;
            is_view_changed = true;
        }
        self.apply_effects(now, effects, outputs);
        is_view_changed
    }

    pub(super) fn apply_effects(
        &mut self,
        now: Seconds,
        effects: DetectorEffects,
        outputs: &mut Vec<Output>,
    ) {
        let protocol_now = self.protocol_time(now);
        for request in effects.timers {
            self.last_timer_number += 1;
            let fires_at = protocol_now + request.after.as_secs_f64();
            let key = TimerKey {
                at_micros: (fires_at * 1e6) as u64,
                number: self.last_timer_number,
            };
            self.timers.insert(key, request.timer);
        }
        for outgoing in effects.sends {
            self.send(outgoing.to.address, &Body::Swim(outgoing.data), outputs);
        }
    }

    /// Fires the timers that are due at `protocol_now`; returns whether the view of the detector may have changed.
    pub(super) fn fire_timers(
        &mut self,
        now: Seconds,
        protocol_now: Seconds,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let mut is_view_changed = false;
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().seconds() > protocol_now {
                break;
            }
            let timer = entry.remove();
            is_view_changed |= self.run_detector(now, outputs, |detector, effects| {
                detector.handle_timer(timer, effects)
            });
        }
        is_view_changed
    }
}

fn at_least_one(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN)
}

pub(super) fn detector_config(settings: &Settings) -> foca::Config {
    foca::Config {
        probe_period: Duration::from_secs_f64(settings.probe_interval),
        probe_rtt: Duration::from_secs_f64(settings.probe_timeout),
        num_indirect_probes: at_least_one(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_secs_f64(settings.suspicion_timeout),
        remove_down_after: Some(Duration::from_secs_f64(settings.forget_after)),
        max_packet_size: at_least_one(MAX_BODY_BYTES),
        notify_down_members: true,
        periodic_announce: ANNOUNCE.params(),
        periodic_announce_to_down_members: ANNOUNCE_TO_FAILED.params(),
        periodic_gossip: GOSSIP.params(),
    }
}
