//! One member: datagrams and time in, datagrams and news out.

use crate::Seconds;
use crate::facts::{MAX_METADATA_BYTES, MemberMetadata, MetadataUpdate, MetadataVersion};
use crate::id::{MemberId, is_valid_name};
use crate::shared::Shared;
use crate::view::{MemberState, MemberStatus, MembershipView};
use crate::wire::{self, BODY_MOST, Body, DropReason};
use foca::{Foca, Notification, PeriodicParams, Runtime, State, Timer};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

mod datagrams;
mod detector;
mod look;
mod reach;
mod words;

use detector::{Wants, config};
pub use words::{Input, Output, Settings};

/// The view is looked through this often for those in doubt.
const LOOK: Seconds = 0.2;
/// A full exchange with a random member, drawn from half to the whole of this.
const EXCHANGE: Seconds = 1.5;
/// A member that has just met others asks for what it lacks after this.
const SOON: Seconds = 0.05;
/// Pause before seeds are asked again by one who is alone: at first, doubling, and at most.
const ASK: Seconds = 0.3;
const ASK_MOST: Seconds = 5.0;
/// One who is called later than it asked for by more than this has stood still: its own clock of the protocol did too,
/// and nobody is in doubt for it. Guards against a member that wakes and gives up all others before it has read what
/// they sent meanwhile. Harm: it is as much later in finding those that are really lost.
const STALL: Seconds = 0.25;
/// One that was given up comes back no more often than this. Guards against two that give each other up as fast as the
/// network carries it.
const BACK: Seconds = 0.3;
/// A member that has just started and meets a newer process of its name takes a higher incarnation: it is a restart
/// beside a clock that went back. Later it is the older of two that live, and ends.
const STARTING: Seconds = 3.0;
/// Facts sent in answer to one request.
const ANSWER_MOST: usize = 32;

/// One member of the fleet.
pub struct Membership {
    settings: Settings,
    own: MemberId,
    facts: MemberMetadata,
    version: MetadataVersion,
    sees: u64,
    foca: Foca<MemberId, Shared, Pcg32, Shared>,
    shared: Shared,
    rng: Pcg32,
    timers: BTreeMap<(u64, u64), Timer<MemberId>>,
    numbered: u64,
    members: BTreeMap<String, MemberState>,
    started: Seconds,
    /// How long it stood still in all: the protocol's time is behind by this.
    stood: Seconds,
    look_at: Seconds,
    exchange_at: Seconds,
    ask_at: Seconds,
    ask_pause: Seconds,
    /// Where in the order of names the last exchange ended.
    cursor: String,
    drops: BTreeMap<DropReason, u64>,
    rejoins: u64,
    stalls: u64,
    /// The others have given this one up; it comes back, but not before then.
    given_up: bool,
    back_at: Seconds,
    over: bool,
}

impl Membership {
    /// A member that knows nobody yet. `born` must be higher with each start of the same name, as microseconds of the
    /// wall clock are.
    ///
    /// # Errors
    /// A name or address that can't be a member's, or settings out of range.
    pub fn new(
        settings: Settings,
        own: MemberId,
        facts: MemberMetadata,
        seed: u64,
        now: Seconds,
    ) -> Result<Self, String> {
        if !own.is_valid() {
            return Err(format!(
                "{:?} at {} can't be a member",
                own.name, own.address
            ));
        }
        if !is_valid_name(&settings.cluster) {
            return Err(format!("{:?} can't be a cluster's name", settings.cluster));
        }
        let times = [
            settings.probe_timeout,
            settings.probe_interval,
            settings.suspicion_timeout,
            settings.forget_after,
        ];
        if !times
            .windows(2)
            .all(|pair| 0.0 < pair[0] && pair[0] < pair[1] && pair[1] < 1e6)
        {
            return Err(
                "the time for an answer, between probes, in doubt, until forgotten must rise"
                    .into(),
            );
        }
        let shared = Shared::default();
        {
            let mut state = shared.lock();
            (state.own, state.most) = (Some(own.clone()), settings.max_members);
            state.book.most = settings.max_members * 2 + 1;
        }
        let rng = Pcg32::seed_from_u64(seed);
        let detector = Pcg32::seed_from_u64(seed ^ 0x5eed);
        let foca = Foca::with_custom_broadcast(
            own.clone(),
            config(&settings),
            detector,
            shared.clone(),
            shared.clone(),
        );
        let mut fleet = Self {
            settings,
            version: MetadataVersion {
                born: own.incarnation,
                count: 0,
            },
            own,
            facts,
            sees: 0,
            foca,
            shared,
            rng,
            timers: BTreeMap::new(),
            numbered: 0,
            members: BTreeMap::new(),
            started: now,
            stood: 0.0,
            look_at: now,
            exchange_at: now + EXCHANGE,
            ask_at: now,
            ask_pause: ASK,
            cursor: String::new(),
            drops: BTreeMap::new(),
            rejoins: 0,
            stalls: 0,
            given_up: false,
            back_at: now,
            over: false,
        };
        fleet.sees = fleet.seen_now();
        if !fleet.told().is_sound() {
            return Err(format!(
                "what {} tells of itself takes more than {MAX_METADATA_BYTES} bytes",
                fleet.own.name
            ));
        }
        fleet.publish();
        Ok(fleet)
    }

    /// When [`Membership::step`] is due at the latest.
    pub fn next_wake(&self) -> Seconds {
        if self.over {
            return f64::INFINITY;
        }
        let timer = self
            .timers
            .first_key_value()
            .map_or(f64::INFINITY, |(at, _)| at.0 as f64 / 1e6);
        let back = if self.given_up {
            self.back_at
        } else {
            f64::INFINITY
        };
        timer
            .min(self.look_at)
            .min(self.exchange_at)
            .min(self.ask_at)
            .min(back)
            + self.stood
    }

    /// Takes in what came at `now`, and tells what is to be done.
    pub fn step(
        &mut self,
        now: Seconds,
        inputs: impl IntoIterator<Item = Input>,
        out: &mut Vec<Output>,
    ) {
        if self.over {
            return;
        }
        let late = now - self.next_wake();
        if late > STALL {
            self.stood += late;
            self.stalls += 1;
        }
        // What came is read before anything that is due: it may be the answer that was waited for.
        self.shared.lock().book.now = now;
        let mut changed = false;
        for input in inputs {
            match input {
                Input::DatagramReceived(bytes) => changed |= self.datagram(now, &bytes, out),
                Input::UpdateMetadata(facts) if facts != self.facts => {
                    self.facts = facts;
                    self.publish();
                }
                Input::UpdateMetadata(_) => {}
                Input::Leave => return self.leave(now, out),
            }
            if self.over {
                return;
            }
        }
        // A microsecond more, as times are sums: what is due must not be found a hair too early for ever.
        let here = now - self.stood + 1e-6;
        while let Some((&at, _)) = self
            .timers
            .first_key_value()
            .filter(|(at, _)| at.0 as f64 / 1e6 <= here)
        {
            let Some(timer) = self.timers.remove(&at) else {
                break;
            };
            changed |= self.detector(now, out, |foca, wants| foca.handle_timer(timer, wants));
        }
        if changed || here >= self.look_at {
            self.look(now, out);
        }
        if self.given_up && here >= self.back_at && !self.over {
            self.come_back(now, out);
        }
        if here >= self.exchange_at && !self.over {
            self.exchange(now, out);
        }
        if here >= self.ask_at && !self.over {
            self.ask(now, out);
        }
    }

    /// The fleet as this member sees it.
    pub fn view(&self) -> MembershipView {
        let state = self.shared.lock();
        let told = |name: &str| state.book.told.get(name);
        let mut members: Vec<MemberState> = self.members.values().cloned().collect();
        for seen in &mut members {
            if let Some((told, at)) = told(&seen.id.name) {
                (seen.metadata, seen.metadata_received_at) = (Some(told.facts.clone()), *at);
            }
        }
        let settled = self
            .members
            .values()
            .filter(|seen| seen.status.is_alive())
            .all(|seen| {
                told(&seen.id.name).is_some_and(|(told, _)| {
                    told.version.born == seen.id.incarnation && told.sees == self.sees
                })
            });
        let at = members.partition_point(|seen| seen.id.name < self.own.name);
        let own = MemberState {
            id: self.own.clone(),
            status: MemberStatus::Alive,
            since: self.started,
            metadata: Some(self.facts.clone()),
            metadata_received_at: state.book.now,
        };
        members.insert(at, own);
        MembershipView {
            own: self.own.clone(),
            members,
            settled,
            drops: self.drops.clone(),
            rejoins: self.rejoins,
            stalls: self.stalls,
        }
    }
}
