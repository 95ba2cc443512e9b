//! One member as a state machine: takes datagrams and the time, returns datagrams and events. Owns the failure
//! detector, the view of the fleet and the metadata. Driven by the event loop of `tidespur-membership-net`.

use crate::detector_hooks::DetectorHooks;
use crate::{
    DropReason, Input, MemberId, MemberMetadata, MemberState, MembershipError, MetadataVersion,
    Output, Seconds, Settings,
};
use detector::{Detector, TimerKey, detector_config};
use foca::{Foca, Timer};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

mod datagrams;
mod detector;
mod discovery;
mod identity;
mod member_states;
mod metadata_exchange;

/// If `step` is called later than requested by more than this, the process was suspended, and the clock of the failure
/// detector is stopped for the length of the delay. Otherwise the member would declare all others failed before it has
/// read what they sent meanwhile. As in Lifeguard, a slow member trusts its own observations less; the cost is that
/// real failures are detected later by the same delay.
const MAX_STEP_DELAY: Seconds = 0.25;
/// Tolerance for rounding errors when due timers are collected. Times are sums of floating-point numbers; without it a
/// due timer could be missed repeatedly.
const TIMER_TOLERANCE: Seconds = 1e-6;
/// XORed with the seed for the failure detector, so that its random sequence differs from that of the member.
const DETECTOR_SEED_MASK: u64 = 0x5eed;

/// One member of the fleet.
pub struct Membership {
    settings: Settings,
    own: MemberId,
    metadata: MemberMetadata,
    metadata_version: MetadataVersion,
    /// Hash of the alive members in the view of this member.
    view_hash: u64,
    detector: Detector,
    hooks: DetectorHooks,
    rng: Pcg32,
    timers: BTreeMap<TimerKey, Timer<MemberId>>,
    last_timer_number: u64,
    members: BTreeMap<String, MemberState>,
    started_at: Seconds,
    /// Total time for which this process was suspended; the protocol's clock is behind the caller's by this.
    suspended_for: Seconds,
    // The following times are those of the protocol's clock.
    next_refresh_at: Seconds,
    next_exchange_at: Seconds,
    next_discovery_at: Seconds,
    discovery_backoff: Seconds,
    /// Last name in the previous exchange of metadata versions.
    exchange_cursor: String,
    drops: BTreeMap<DropReason, u64>,
    rejoins: u64,
    stalls: u64,
    /// Whether other members have declared this member failed; it rejoins at `rejoin_at` at the earliest.
    is_declared_failed: bool,
    rejoin_at: Seconds,
    /// Whether the member has left, or was replaced.
    has_ended: bool,
}

impl Membership {
    /// Creates a member that knows no other one. The incarnation of `own` must be higher at each start of a process of
    /// the same name, for instance the wall-clock time in microseconds.
    ///
    /// # Errors
    /// If the identity or the settings are not valid, or the metadata is too large.
    pub fn new(
        settings: Settings,
        own: MemberId,
        metadata: MemberMetadata,
        seed: u64,
        now: Seconds,
    ) -> Result<Self, MembershipError> {
        check_identity(&own)?;
        settings.check()?;
        let hooks = new_hooks(&own, settings.max_members);
        let detector = new_detector(&settings, &own, seed, &hooks);
        let mut member = Self {
            settings,
            metadata_version: MetadataVersion {
                incarnation: own.incarnation,
                count: 0,
            },
            own,
            metadata,
            view_hash: 0,
            detector,
            hooks,
            rng: Pcg32::seed_from_u64(seed),
            timers: BTreeMap::new(),
            last_timer_number: 0,
            members: BTreeMap::new(),
            started_at: now,
            suspended_for: 0.0,
            next_refresh_at: now,
            next_exchange_at: now + metadata_exchange::EXCHANGE_INTERVAL,
            next_discovery_at: now,
            discovery_backoff: discovery::MIN_DISCOVERY_BACKOFF,
            exchange_cursor: String::new(),
            drops: BTreeMap::new(),
            rejoins: 0,
            stalls: 0,
            is_declared_failed: false,
            rejoin_at: now,
            has_ended: false,
        };
        member.view_hash = member.hash_view();
        if !member.own_update().is_valid() {
            return Err(MembershipError::MetadataTooLarge {
                name: member.own.name,
            });
        }
        member.publish_metadata();
        Ok(member)
    }

    /// The time at which [`Membership::step`] must be called at the latest; infinite once the member has ended.
    pub fn next_wake(&self) -> Seconds {
        if self.has_ended {
            return f64::INFINITY;
        }
        let timer_at = self
            .timers
            .first_key_value()
            .map_or(f64::INFINITY, |(key, _)| key.seconds());
        let rejoin_at = if self.is_declared_failed {
            self.rejoin_at
        } else {
            f64::INFINITY
        };
        timer_at
            .min(self.next_refresh_at)
            .min(self.next_exchange_at)
            .min(self.next_discovery_at)
            .min(rejoin_at)
            + self.suspended_for
    }

    /// Handles `inputs`, all at the time `now`, fires due timers, and appends the outputs.
    pub fn step(
        &mut self,
        now: Seconds,
        inputs: impl IntoIterator<Item = Input>,
        outputs: &mut Vec<Output>,
    ) {
        if self.has_ended {
            return;
        }
        let delay = now - self.next_wake();
        if delay > MAX_STEP_DELAY {
            self.suspended_for += delay;
            self.stalls += 1;
        }
        self.hooks.lock().metadata.now = now;
        let mut is_view_changed = false;
        // Inputs are handled before timers: one of them may be the reply for which a timer is the timeout.
        for input in inputs {
            is_view_changed |= self.handle_input(now, input, outputs);
            if self.has_ended {
                return;
            }
        }
        let protocol_now = self.protocol_time(now) + TIMER_TOLERANCE;
        is_view_changed |= self.fire_timers(now, protocol_now, outputs);
        if is_view_changed || protocol_now >= self.next_refresh_at {
            self.refresh_members(now, outputs);
        }
        if self.is_declared_failed && protocol_now >= self.rejoin_at && !self.has_ended {
            self.rejoin(now, outputs);
        }
        if protocol_now >= self.next_exchange_at && !self.has_ended {
            self.exchange_versions(now, outputs);
        }
        if protocol_now >= self.next_discovery_at && !self.has_ended {
            self.discover(now, outputs);
        }
    }

    /// Returns whether the view of the failure detector may have changed.
    fn handle_input(&mut self, now: Seconds, input: Input, outputs: &mut Vec<Output>) -> bool {
        match input {
            Input::DatagramReceived(bytes) => self.handle_datagram(now, &bytes, outputs),
            Input::UpdateMetadata(metadata) => {
                if metadata != self.metadata {
                    self.metadata = metadata;
                    self.publish_metadata();
                }
                false
            }
            Input::LeaveFleet => {
                self.leave_fleet(now, outputs);
                false
            }
        }
    }

    /// Converts a time of the caller's clock to the protocol's clock, which stops while the process is suspended.
    fn protocol_time(&self, now: Seconds) -> Seconds {
        now - self.suspended_for
    }
}

fn check_identity(own: &MemberId) -> Result<(), MembershipError> {
    if own.is_valid() {
        return Ok(());
    }
    Err(MembershipError::InvalidMember {
        name: own.name.clone(),
        address: own.address,
    })
}

fn new_hooks(own: &MemberId, max_members: usize) -> DetectorHooks {
    let hooks = DetectorHooks::default();
    let mut state = hooks.lock();
    state.own = Some(own.clone());
    state.max_members = max_members;
    // This member, up to `max_members` alive ones, and as many failed ones.
    state.metadata.max_entries = max_members * 2 + 1;
    drop(state);
    hooks
}

fn new_detector(settings: &Settings, own: &MemberId, seed: u64, hooks: &DetectorHooks) -> Detector {
    let rng = Pcg32::seed_from_u64(seed ^ DETECTOR_SEED_MASK);
    Foca::with_custom_broadcast(
        own.clone(),
        detector_config(settings),
        rng,
        hooks.clone(),
        hooks.clone(),
    )
}
