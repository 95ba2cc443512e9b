//! One member: datagrams and time in, datagrams and news out.

use crate::Seconds;
use crate::facts::{FACTS_MOST, Facts, Told, Version};
use crate::id::{Id, name_is_sound};
use crate::shared::Shared;
use crate::view::{Seen, Standing, View};
use crate::wire::{self, BODY_MOST, Body, Drop};
use foca::{Foca, Notification, PeriodicParams, Runtime, State, Timer};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

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

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Members of other clusters are not listened to.
    pub cluster: String,
    /// Where others may be found at first.
    pub join: Vec<SocketAddr>,
    /// Members at a time; as many that are lost are remembered.
    pub members_most: usize,
    /// Each member probes another this often.
    pub probe_every: Seconds,
    /// A probe without an answer goes by others after this.
    pub answer_within: Seconds,
    /// One in doubt has this long to say that it lives.
    pub doubt_for: Seconds,
    /// Members that are lost are forgotten, and asked for no more, after this.
    pub forget_after: Seconds,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cluster: "tidespur".into(),
            join: vec![],
            members_most: 1_024,
            probe_every: 0.3,
            answer_within: 0.12,
            doubt_for: 0.9,
            forget_after: 3_600.0,
        }
    }
}

/// What came.
#[derive(Clone, Debug)]
pub enum Input {
    /// A datagram.
    Datagram(Vec<u8>),
    /// What this member tells of itself from now on.
    Tell(Facts),
    /// It ends in order.
    Leave,
}

/// What is to be done, and what has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// A member is there, newly or again.
    Joined(String),
    /// A member did not answer somebody.
    Doubted(String),
    /// A member in doubt says that it lives.
    Cleared(String),
    /// A member was given up.
    Lost(String),
    /// A member ended in order.
    Left(String),
    /// A member tells something new.
    Told(String),
    /// The others had given this member up; it comes back.
    Rejoined,
    /// Another process of this name has taken its place: this one is to end what it does.
    Replaced(Id),
}

/// One member of the fleet.
pub struct Fleet {
    settings: Settings,
    own: Id,
    facts: Facts,
    version: Version,
    sees: u64,
    foca: Foca<Id, Shared, Pcg32, Shared>,
    shared: Shared,
    rng: Pcg32,
    timers: BTreeMap<(u64, u64), Timer<Id>>,
    numbered: u64,
    members: BTreeMap<String, Seen>,
    started: Seconds,
    /// How long it stood still in all: the protocol's time is behind by this.
    stood: Seconds,
    look_at: Seconds,
    exchange_at: Seconds,
    ask_at: Seconds,
    ask_pause: Seconds,
    /// Where in the order of names the last exchange ended.
    cursor: String,
    drops: BTreeMap<Drop, u64>,
    rejoins: u64,
    stalls: u64,
    /// The others have given this one up; it comes back, but not before then.
    given_up: bool,
    back_at: Seconds,
    over: bool,
}

/// What the failure detector wants.
#[derive(Default)]
struct Wants {
    sends: Vec<(Id, Vec<u8>)>,
    timers: Vec<(Timer<Id>, Duration)>,
    changed: bool,
    given_up: bool,
}

impl Runtime<Id> for Wants {
    fn notify(&mut self, notification: Notification<'_, Id>) {
        self.given_up |= matches!(notification, Notification::Defunct);
        self.changed = true;
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Id>, after: Duration) {
        self.timers.push((event, after));
    }
}

impl Fleet {
    /// A member that knows nobody yet. `born` must be higher with each start of the same name, as microseconds of the
    /// wall clock are.
    ///
    /// # Errors
    /// A name or address that can't be a member's, or settings out of range.
    pub fn new(settings: Settings, own: Id, facts: Facts, seed: u64, now: Seconds) -> Result<Self, String> {
        if !own.is_sound() {
            return Err(format!("{:?} at {} can't be a member", own.name, own.address));
        }
        if !name_is_sound(&settings.cluster) {
            return Err(format!("{:?} can't be a cluster's name", settings.cluster));
        }
        let times = [settings.answer_within, settings.probe_every, settings.doubt_for, settings.forget_after];
        if !times.windows(2).all(|pair| 0.0 < pair[0] && pair[0] < pair[1] && pair[1] < 1e6) {
            return Err("the time for an answer, between probes, in doubt, until forgotten must rise".into());
        }
        let shared = Shared::default();
        {
            let mut state = shared.lock();
            (state.own, state.most) = (Some(own.clone()), settings.members_most);
            state.book.most = settings.members_most * 2 + 1;
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
            version: Version { born: own.born, count: 0 },
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
                "what {} tells of itself takes more than {FACTS_MOST} bytes",
                fleet.own.name
            ));
        }
        fleet.publish();
        Ok(fleet)
    }

    /// When [`Fleet::step`] is due at the latest.
    pub fn next_wake(&self) -> Seconds {
        if self.over {
            return f64::INFINITY;
        }
        let timer = self.timers.first_key_value().map_or(f64::INFINITY, |(at, _)| at.0 as f64 / 1e6);
        let back = if self.given_up { self.back_at } else { f64::INFINITY };
        timer.min(self.look_at).min(self.exchange_at).min(self.ask_at).min(back) + self.stood
    }

    /// Takes in what came at `now`, and tells what is to be done.
    pub fn step(&mut self, now: Seconds, inputs: impl IntoIterator<Item = Input>, out: &mut Vec<Output>) {
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
                Input::Datagram(bytes) => changed |= self.datagram(now, &bytes, out),
                Input::Tell(facts) if facts != self.facts => {
                    self.facts = facts;
                    self.publish();
                }
                Input::Tell(_) => {}
                Input::Leave => return self.leave(now, out),
            }
            if self.over {
                return;
            }
        }
        // A microsecond more, as times are sums: what is due must not be found a hair too early for ever.
        let here = now - self.stood + 1e-6;
        while let Some((&at, _)) = self.timers.first_key_value().filter(|(at, _)| at.0 as f64 / 1e6 <= here) {
            let Some(timer) = self.timers.remove(&at) else { break };
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
    pub fn view(&self) -> View {
        let state = self.shared.lock();
        let told = |name: &str| state.book.told.get(name);
        let mut members: Vec<Seen> = self.members.values().cloned().collect();
        for seen in &mut members {
            if let Some((told, at)) = told(&seen.id.name) {
                (seen.facts, seen.told_at) = (Some(told.facts.clone()), *at);
            }
        }
        let settled = self.members.values().filter(|seen| seen.standing.is_live()).all(|seen| {
            told(&seen.id.name)
                .is_some_and(|(told, _)| told.version.born == seen.id.born && told.sees == self.sees)
        });
        let at = members.partition_point(|seen| seen.id.name < self.own.name);
        let own = Seen {
            id: self.own.clone(),
            standing: Standing::Live,
            since: self.started,
            facts: Some(self.facts.clone()),
            told_at: state.book.now,
        };
        members.insert(at, own);
        View {
            own: self.own.clone(),
            members,
            settled,
            drops: self.drops.clone(),
            rejoins: self.rejoins,
            stalls: self.stalls,
        }
    }

    /// Runs something of the failure detector; tells whether its view may have changed.
    fn detector(
        &mut self,
        now: Seconds,
        out: &mut Vec<Output>,
        run: impl FnOnce(&mut Foca<Id, Shared, Pcg32, Shared>, &mut Wants) -> Result<(), foca::Error>,
    ) -> bool {
        let mut wants = Wants::default();
        let ran = run(&mut self.foca, &mut wants);
        let full = std::mem::take(&mut self.shared.lock().full);
        match (full, ran) {
            (true, _) => self.drop(Drop::TooMany),
            (false, Err(_)) => self.drop(Drop::Unreadable),
            (false, Ok(())) => {}
        }
        let mut changed = wants.changed;
        if wants.given_up && !self.over {
            self.given_up = true;
            changed = true;
        }
        self.carry_out(now, wants, out);
        changed
    }

    fn carry_out(&mut self, now: Seconds, wants: Wants, out: &mut Vec<Output>) {
        let here = now - self.stood;
        for (timer, after) in wants.timers {
            self.numbered += 1;
            self.timers.insert((((here + after.as_secs_f64()) * 1e6) as u64, self.numbered), timer);
        }
        for (to, data) in wants.sends {
            self.send(to.address, &Body::Swim(data), out);
        }
    }

    /// Comes back as one that is newer than what the others gave up.
    fn come_back(&mut self, now: Seconds, out: &mut Vec<Output>) {
        self.given_up = false;
        self.back_at = now - self.stood + BACK;
        self.rejoins += 1;
        out.push(Output::Rejoined);
        let mut wants = Wants::default();
        self.renew(Id { turn: self.own.turn.saturating_add(1), ..self.own.clone() }, &mut wants);
        self.carry_out(now, wants, out);
    }

    /// Goes on as `new`, and says so to some of the others.
    fn renew(&mut self, new: Id, wants: &mut Wants) {
        self.own = new;
        self.shared.lock().own = Some(self.own.clone());
        // Fails only where the identity is the same.
        let _ = self.foca.change_identity(self.own.clone(), &mut *wants);
        let some: Vec<Id> = self.foca.iter_members().take(3).map(|member| member.id().clone()).collect();
        for id in some {
            let _ = self.foca.announce(id, &mut *wants);
        }
        if self.version.born != self.own.born {
            self.version = Version { born: self.own.born, count: 0 };
        }
        self.publish();
    }

    fn drop(&mut self, why: Drop) {
        *self.drops.entry(why).or_default() += 1;
    }

    fn datagram(&mut self, now: Seconds, bytes: &[u8], out: &mut Vec<Output>) -> bool {
        let body = match wire::read(&self.settings.cluster, bytes) {
            Ok(body) => body,
            Err(why) => {
                self.drop(why);
                return false;
            }
        };
        match body {
            Body::Swim(data) => {
                if let Ok((header, _)) = postcard::take_from_bytes::<foca::Header<Id>>(&data) {
                    self.tell_older(&header.src, out);
                }
                self.detector(now, out, |foca, wants| foca.handle_data(&data, wants))
            }
            Body::Hello(id)
            | Body::Welcome(id)
            | Body::Newer(id)
            | Body::Versions(id, _)
            | Body::Facts(id, _, _)
                if !id.is_sound() =>
            {
                self.drop(Drop::Unreadable);
                false
            }
            Body::Hello(id) if id != self.own => {
                self.tell_older(&id, out);
                self.send(id.address, &Body::Welcome(self.own.clone()), out);
                self.meet(now, id, out)
            }
            Body::Welcome(id) if id != self.own => self.meet(now, id, out),
            Body::Newer(id) if id.name == self.own.name => self.meet(now, id, out),
            Body::Newer(_) => false,
            // Ourselves, by a seed that is our own address.
            Body::Hello(_) | Body::Welcome(_) => false,
            Body::Versions(from, versions) => {
                self.compare(&from, versions, out);
                false
            }
            Body::Facts(from, told, want) => {
                for told in told {
                    self.take(told, out);
                }
                self.answer(&from, want, out);
                false
            }
        }
    }

    /// Another member, or another process of this one's name, is there.
    fn meet(&mut self, now: Seconds, id: Id, out: &mut Vec<Output>) -> bool {
        if id.name == self.own.name {
            self.shared.lock().meet_twin(&id);
            return true;
        }
        self.detector(now, out, |foca, wants| foca.announce(id, wants))
    }

    /// Whoever speaks under a name that a newer process has is told so: by the detector alone it would learn that it
    /// was given up, and come back for ever.
    fn tell_older(&self, who: &Id, out: &mut Vec<Output>) {
        let newer = self.members.get(&who.name).map(|seen| &seen.id);
        if let Some(newer) = newer.filter(|newer| newer.born > who.born && who.is_sound()) {
            self.send(who.address, &Body::Newer(newer.clone()), out);
        }
    }

    fn send(&self, to: SocketAddr, body: &Body, out: &mut Vec<Output>) {
        out.push(Output::Send(to, wire::datagram(&self.settings.cluster, body)));
    }

    /// Tells anew what this member tells of itself.
    fn publish(&mut self) {
        self.version.count = self.version.count.wrapping_add(1);
        let told = self.told();
        // Refused only where it is too long; the settings' checks bound all of its parts.
        let _ = self.foca.add_broadcast(&told.bytes());
    }

    fn told(&self) -> Told {
        let (name, version) = (self.own.name.clone(), self.version);
        Told { name, version, sees: self.sees, facts: self.facts.clone() }
    }

    fn take(&mut self, told: Told, out: &mut Vec<Output>) {
        let name = told.name.clone();
        // What is said of our own name by others is our own word, or a twin's.
        if told.is_sound() && name != self.own.name && self.shared.lock().book.take(told) {
            out.push(Output::Told(name));
        }
    }

    /// A word for the live members, the same for all who see the same.
    fn seen_now(&self) -> u64 {
        let own = (&self.own.name, self.own.born);
        let live = self.members.values().filter(|seen| seen.standing.is_live());
        let mut all: Vec<(&String, u64)> = live.map(|seen| (&seen.id.name, seen.id.born)).collect();
        all.push(own);
        all.sort_unstable();
        let bytes = all.iter().flat_map(|(name, born)| name.bytes().chain([0]).chain(born.to_le_bytes()));
        // FNV-1a: the same on all machines.
        bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
    }

    /// Compares the detector's view with what was known, and tells what has changed.
    fn look(&mut self, now: Seconds, out: &mut Vec<Output>) {
        self.look_at = now - self.stood + LOOK;
        if self.twin(now, out) {
            return;
        }
        self.make_room(now, out);
        let mut known = std::collections::BTreeSet::new();
        let mut met = false;
        for member in self.foca.iter_membership_state() {
            let id = member.id();
            if id.name == self.own.name {
                // What others gave up of this one, before it came back.
                continue;
            }
            known.insert(id.name.clone());
            let leaving = || {
                let state = self.shared.lock();
                let told = state.book.told.get(&id.name).map(|(told, _)| told);
                told.is_some_and(|told| told.version.born == id.born && told.facts.leaving)
            };
            let standing = match member.state() {
                State::Alive => Standing::Live,
                State::Suspect => Standing::Doubted,
                State::Down if leaving() => Standing::Left,
                State::Down => Standing::Lost,
            };
            let before = self.members.get(&id.name);
            let same = before.is_some_and(|seen| seen.id.age() == id.age());
            let was = before.map(|seen| seen.standing);
            if same && was == Some(standing) {
                continue;
            }
            let name = id.name.clone();
            match (was.filter(|_| same), standing) {
                (Some(Standing::Doubted), Standing::Live) => out.push(Output::Cleared(name)),
                (Some(Standing::Live), Standing::Doubted) => out.push(Output::Doubted(name)),
                (_, Standing::Live | Standing::Doubted) => {
                    met = true;
                    out.push(Output::Joined(name));
                }
                // One that was never seen live is no loss.
                (_, Standing::Lost) if was.is_some_and(Standing::is_live) => out.push(Output::Lost(name)),
                (_, Standing::Left) if was.is_some_and(Standing::is_live) => out.push(Output::Left(name)),
                _ => {}
            }
            let seen = Seen { id: id.clone(), standing, since: now, facts: None, told_at: 0.0 };
            self.members.insert(id.name.clone(), seen);
        }
        self.members.retain(|name, _| known.contains(name));
        {
            let mut state = self.shared.lock();
            state.book.told.retain(|name, _| known.contains(name) || *name == self.own.name);
            state.known = known;
            state.live = self.members.values().filter(|seen| seen.standing.is_live()).count();
        }
        if met {
            self.exchange_at = self.exchange_at.min(now - self.stood + SOON);
        }
        let sees = self.seen_now();
        if sees != self.sees {
            self.sees = sees;
            self.publish();
        }
    }

    /// Two processes of one name: the newer stays.
    fn twin(&mut self, now: Seconds, out: &mut Vec<Output>) -> bool {
        let twin = self.shared.lock().twin.take();
        let Some(twin) = twin.filter(|twin| twin.born != self.own.born && twin.age() > self.own.age()) else {
            return false;
        };
        if now - self.started > STARTING {
            self.over = true;
            out.push(Output::Replaced(twin));
            return true;
        }
        let new = Id { born: twin.born.saturating_add(1), turn: 0, ..self.own.clone() };
        (self.given_up, self.back_at) = (false, now - self.stood + BACK);
        let mut wants = Wants::default();
        self.renew(new, &mut wants);
        self.carry_out(now, wants, out);
        false
    }

    /// Forgets those that were lost first where more than as many as may be live are kept. Those that are lost take no
    /// room of the live: forgotten too soon, whoever still believes in them would bring them back.
    fn make_room(&mut self, now: Seconds, out: &mut Vec<Output>) {
        let gone = || self.foca.iter_membership_state().filter(|member| member.state() == State::Down);
        let over = gone().count().saturating_sub(self.settings.members_most);
        if over == 0 {
            return;
        }
        let mut gone: Vec<Id> = gone().map(|member| member.id().clone()).collect();
        let since = |id: &Id| self.members.get(&id.name).map_or(0.0, |seen| seen.since);
        gone.sort_by(|a, b| since(a).total_cmp(&since(b)));
        for id in gone.into_iter().take(over) {
            self.detector(now, out, |foca, wants| foca.handle_timer(Timer::RemoveDown(id), wants));
        }
    }

    /// Tells a random member which facts are known here, a part of the names at a time.
    fn exchange(&mut self, now: Seconds, out: &mut Vec<Output>) {
        self.exchange_at = now - self.stood + EXCHANGE * self.rng.random_range(0.5..1.0);
        let live = self.live_addresses();
        if live.is_empty() {
            return;
        }
        let to = live[self.rng.random_range(0..live.len())];
        let mut versions = Vec::new();
        {
            let state = self.shared.lock();
            let names: Vec<&String> = state.known.iter().chain([&self.own.name]).collect();
            let at = names.iter().position(|name| **name > self.cursor).unwrap_or(0);
            let mut bytes = 0;
            for name in names[at..].iter().chain(&names[..at]) {
                // A name, its length, and two numbers.
                bytes += name.len() + 16;
                if bytes > BODY_MOST - 128 {
                    break;
                }
                versions.push(((*name).clone(), state.book.version(name).unwrap_or_default()));
            }
        }
        self.cursor = versions.last().map_or(String::new(), |last| last.0.clone());
        self.send(to, &Body::Versions(self.own.clone(), versions), out);
    }

    /// Another's versions: sends what is newer here, asks for what is newer there.
    fn compare(&mut self, from: &Id, versions: Vec<(String, Version)>, out: &mut Vec<Output>) {
        let (mut newer, mut want) = (Vec::new(), Vec::new());
        {
            let state = self.shared.lock();
            for (name, version) in versions.into_iter().take(ANSWER_MOST * 2) {
                let here = state.book.version(&name).unwrap_or_default();
                if here > version {
                    newer.push(name);
                } else if here < version && name != self.own.name {
                    want.push(name);
                }
            }
        }
        if !want.is_empty() {
            want.truncate(ANSWER_MOST / 2);
            self.send(from.address, &Body::Facts(self.own.clone(), vec![], want), out);
        }
        self.answer(from, newer, out);
    }

    /// Sends facts by names, as many to a datagram as it holds.
    fn answer(&mut self, to: &Id, names: Vec<String>, out: &mut Vec<Output>) {
        let told: Vec<Told> = {
            let state = self.shared.lock();
            let told = |name: &String| state.book.told.get(name).map(|(told, _)| told.clone());
            names.iter().take(ANSWER_MOST).filter_map(told).collect()
        };
        let mut batch = Vec::new();
        let mut bytes = 0;
        for told in told {
            let size = told.bytes().len();
            if bytes + size > BODY_MOST - 128 && !batch.is_empty() {
                let full = std::mem::take(&mut batch);
                self.send(to.address, &Body::Facts(self.own.clone(), full, vec![]), out);
                bytes = 0;
            }
            bytes += size;
            batch.push(told);
        }
        if !batch.is_empty() {
            self.send(to.address, &Body::Facts(self.own.clone(), batch, vec![]), out);
        }
    }

    fn live_addresses(&self) -> Vec<SocketAddr> {
        self.foca.iter_members().map(|member| member.id().address).collect()
    }

    /// Asks at addresses from the settings who is there: at once and ever more rarely while alone, and now and then
    /// one that no live member has: two halves that forgot each other meet again there.
    fn ask(&mut self, now: Seconds, out: &mut Vec<Output>) {
        let live = self.live_addresses();
        let missing = |seed: &&SocketAddr| **seed != self.own.address && !live.contains(seed);
        let missing: Vec<SocketAddr> = self.settings.join.iter().filter(missing).copied().collect();
        let pause = if live.is_empty() {
            let pause = self.ask_pause;
            self.ask_pause = (self.ask_pause * 2.0).min(ASK_MOST);
            for &seed in &missing {
                self.send(seed, &Body::Hello(self.own.clone()), out);
            }
            pause
        } else {
            self.ask_pause = ASK;
            if !missing.is_empty() {
                let seed = missing[self.rng.random_range(0..missing.len())];
                self.send(seed, &Body::Hello(self.own.clone()), out);
            }
            ASK_MOST
        };
        self.ask_at = now - self.stood + pause * self.rng.random_range(0.5..1.0);
    }

    fn leave(&mut self, now: Seconds, out: &mut Vec<Output>) {
        self.facts.leaving = true;
        self.publish();
        // Word that it leaves goes ahead of the end, to some who tell the rest.
        self.detector(now, out, |foca, wants| foca.gossip(wants));
        self.over = true;
        self.detector(now, out, |foca, wants| foca.leave_cluster(wants));
    }
}

fn config(settings: &Settings) -> foca::Config {
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let often =
        |s: Seconds, n| Some(PeriodicParams { frequency: Duration::from_secs_f64(s), num_members: some(n) });
    foca::Config {
        probe_period: Duration::from_secs_f64(settings.probe_every),
        probe_rtt: Duration::from_secs_f64(settings.answer_within),
        num_indirect_probes: some(3),
        max_transmissions: NonZeroU8::new(12).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_secs_f64(settings.doubt_for),
        remove_down_after: Some(Duration::from_secs_f64(settings.forget_after)),
        max_packet_size: some(BODY_MOST),
        notify_down_members: true,
        periodic_announce: often(3.0, 1),
        periodic_announce_to_down_members: often(1.5, 2),
        periodic_gossip: often(0.2, 3),
    }
}
