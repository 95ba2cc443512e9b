//! A zone's loss at full size, with the time that the scheduler's own work takes: 400 machines, 140 of them lost at
//! once with all that stood there, owners that come again, a seventh of a core. No sockets, no clock: what a step
//! costs is counted in machines and connections looked at, messages read and written.

mod hears;

use super::common::*;
use std::collections::{BTreeMap, BTreeSet};
use tidespur_gateway::input_queue::InputQueue;
use tidespur_gateway::message::{Message, MessageKind, RequestId, cause, code};
use tidespur_gateway::pool::PoolAction;
use tidespur_gateway::{
    DownstreamId, Gateway, Input, Limits, Output, PeerCheck, UpstreamId, discovery,
};
use tidespur_site_settings::SettingsObject;

pub const MACHINES: usize = 400;
pub const LOST: usize = 140;
/// Seconds that one piece of work takes on a seventh of a core: a message in or out with its system call, a machine
/// looked at, a connection looked at. That of a machine is what was measured at full size: 500 tasks that waited, each
/// looked at with 400 machines 5.7 times a second, took a seventh of a core.
pub const MESSAGE: f64 = 7.0 * 15e-6;
pub const LOOK: [f64; 2] = [7.0 * 120e-9, 7.0 * 10e-9];
/// Connections of owners; one bears 256 set-ups that wait.
pub const OWNERS: u64 = 4;
/// When the zone is lost, and when the others have room again.
pub const LOSS: f64 = 1005.0;
pub const ROOM: f64 = 1011.0;
pub const RTT: f64 = 0.002;
/// An owner's first pause before it asks again.
pub const AGAIN: f64 = 0.5;

#[derive(Clone, Debug)]
pub enum What {
    /// An owner asks; the number counts how often it has.
    Ask(u32),
    Input(Input),
    Loss,
    Room,
}

pub struct World {
    pub gateway: Gateway,
    pub now: f64,
    pub events: BTreeMap<(u64, u64), What>,
    pub next: u64,
    pub turn: InputQueue,
    pub came: BTreeMap<u64, f64>,
    pub lines: BTreeMap<UpstreamId, usize>,
    pub dead: BTreeSet<usize>,
    pub full: bool,
    /// Where each task stands, and since when it is over.
    pub standing: BTreeMap<RequestId, usize>,
    pub over: BTreeMap<RequestId, f64>,
    pub asked: BTreeMap<RequestId, (f64, u32)>,
    pub answered: usize,
    /// Set-ups that the loop turned away as it was behind: of the class worth less, and of the one worth more.
    pub turned_away: [usize; 2],
    pub told_late: f64,
    pub behind: Vec<(f64, f64)>,
}

pub fn whole(number: u64, free: impl Fn(usize) -> f64) -> Input {
    let entry = |m: usize| {
        format!(
            r#"{{"instanceId":"s-{m}","hostPort":"127.0.0.1:{}","zone":"east","machineType":"std","cell":{},
            "lifecycle":"Ready","weight":1,"startedAtMs":0,"left_over":[{},60]}}"#,
            m + 1,
            m / 8,
            free(m)
        )
    };
    let entries: Vec<String> = (0..MACHINES).map(entry).collect();
    let text = format!(
        r#"{{"rev":{number},"pool":{{"reset":true,"instances":[{}]}}}}"#,
        entries.join(",")
    );
    Input::EndpointsDelivered(discovery::parse_event(&site(), &text).unwrap())
}

/// Before the loss there is room in the zone that is lost and none elsewhere.
pub fn room_in_the_zone(m: usize) -> f64 {
    if m < LOST { 20.0 } else { -46.0 }
}

impl World {
    pub fn new() -> Self {
        let info = INFO.replace(r#""balancers":1"#, r#""balancers":16"#);
        let site = serde_json::from_str::<SettingsObject>(&info)
            .unwrap()
            .into_site()
            .unwrap();
        let gateway = Gateway::new(site, Limits::for_descriptors(784), 7).unwrap();
        let mut world = Self {
            gateway,
            now: 1000.0,
            events: BTreeMap::new(),
            next: 0,
            turn: InputQueue::default(),
            came: BTreeMap::new(),
            lines: BTreeMap::new(),
            dead: BTreeSet::new(),
            full: false,
            standing: BTreeMap::new(),
            over: BTreeMap::new(),
            asked: BTreeMap::new(),
            answered: 0,
            turned_away: [0; 2],
            told_late: 0.0,
            behind: Vec::new(),
        };
        world.after(0.0, What::Input(whole(1, room_in_the_zone)));
        for n in 1..=OWNERS {
            world.after(
                0.0,
                What::Input(Input::DownstreamOpened(DownstreamId(n), address(1))),
            );
        }
        world.asks(0.01, 300, 1.0);
        world.after(LOSS - 1000.0, What::Loss);
        world.after(ROOM - 1000.0, What::Room);
        world
    }

    fn after(&mut self, seconds: f64, what: What) {
        self.next += 1;
        self.events
            .insert((((self.now + seconds) * 1e6) as u64, self.next), what);
    }

    /// So many owners ask, evenly over so many seconds.
    pub fn asks(&mut self, from: f64, many: u32, over: f64) {
        for n in 0..many {
            self.after(from + over * f64::from(n) / f64::from(many), What::Ask(0));
        }
    }

    fn ask(&mut self, often: u32) {
        let id = RequestId(self.next + 1_000);
        self.next += 1;
        self.asked.insert(id, (self.now, often));
        let class = if id.0.is_multiple_of(3) {
            "slot"
        } else {
            "web"
        };
        let mut message = set_up(id.0, class);
        message
            .parameters
            .retain(|(c, _)| *c != code::EXPECTED_DURATION);
        let owner = DownstreamId(1 + id.0 % OWNERS);
        self.put(Input::DownstreamMessage(
            owner,
            message.with(code::EXPECTED_DURATION, b"60000"),
        ));
    }

    fn put(&mut self, input: Input) {
        self.came.insert(
            self.came.last_key_value().map_or(0, |(n, _)| n + 1),
            self.now,
        );
        self.turn.push(input);
    }

    pub fn happens(&mut self, what: What) {
        match what {
            What::Ask(often) => self.ask(often),
            What::Input(input) => self.put(input),
            What::Loss => {
                self.dead = (0..LOST).collect();
                let lost: Vec<UpstreamId> = self
                    .lines
                    .iter()
                    .filter(|(_, m)| self.dead.contains(m))
                    .map(|(&line, _)| line)
                    .collect();
                for line in lost {
                    self.lines.remove(&line);
                    self.put(Input::UpstreamEnded(line));
                }
                let now = self.now;
                let over = self.standing.iter().filter(|(_, m)| self.dead.contains(m));
                self.over = over.map(|(&id, _)| (id, now)).collect();
                self.standing.retain(|_, m| !self.dead.contains(m));
                self.full = true;
            }
            What::Room => {
                self.full = false;
                self.put(whole(2, |_| 20.0));
            }
        }
    }

    /// What is due happens.
    fn come(&mut self) {
        while self
            .events
            .first_key_value()
            .is_some_and(|((at, _), _)| *at as f64 / 1e6 <= self.now)
        {
            let (_, what) = self.events.pop_first().unwrap();
            self.happens(what);
        }
    }

    pub fn play(&mut self, until: f64) {
        while self.now < until {
            self.come();
            let due = self.gateway.next_wake();
            let mut inputs = Vec::new();
            if let Some((_, came)) = self.came.first_key_value() {
                // As the loop's own timer would tell: what came first is taken in only now.
                let late = self.now - came;
                self.behind.push((self.now, late));
                inputs.push(Input::LagMeasured(late));
                let taken = self.turn.take_batch();
                for _ in 0..taken.len() {
                    self.came.pop_first();
                }
                inputs.extend(taken);
            } else if due <= self.now {
                self.behind.push((self.now, 0.0));
                inputs.extend([Input::LagMeasured(0.0), Input::Tick]);
            } else {
                let next = self
                    .events
                    .first_key_value()
                    .map_or(f64::INFINITY, |((at, _), _)| *at as f64 / 1e6);
                self.now = next.min(due).max(self.now + 1e-6).min(until);
                continue;
            }
            while !inputs.is_empty() {
                let (before, read) = (self.gateway.examined(), inputs.len());
                let mut out = Vec::new();
                self.gateway
                    .step(self.now, std::mem::take(&mut inputs), &mut out);
                let after = self.gateway.examined();
                let looks = LOOK[0] * (after.machines - before.machines) as f64
                    + LOOK[1] * (after.connections - before.connections) as f64;
                self.now += MESSAGE * read as f64 + looks;
                for output in out {
                    self.now += MESSAGE;
                    if let Output::Upstream(PoolAction::CheckPeer(line)) = output {
                        // What has come by now is read.
                        self.come();
                        let first = self.turn.take_completions();
                        for _ in &first {
                            self.came.pop_first();
                        }
                        inputs.extend(first);
                        inputs.push(Input::UpstreamChecked(line));
                    } else if let Output::CheckDownstream(client) = output {
                        // What owners said is in the queue at once here: nothing is unread.
                        inputs.push(Input::DownstreamChecked(client, PeerCheck::Queued));
                    } else {
                        self.carry_out(output);
                    }
                }
            }
        }
    }

    pub fn behind_since(&self, at: f64) -> f64 {
        self.behind
            .iter()
            .filter(|(when, _)| *when >= at)
            .map(|(_, late)| *late)
            .fold(0.0, f64::max)
    }
}
