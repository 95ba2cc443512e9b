//! Many members of a fleet in simulated time, on a network with faults, all from one seed.
//!
//! What is played is a [`Script`]: who there is, and what goes wrong when. The same script and seed give the same run,
//! so that a failing one can be cut down to what it needs and kept.

use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tidespur_membership::{
    Input, MemberId, MemberMetadata, Membership, MembershipView, Output, Role, Settings,
};

/// One thing that goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fault {
    /// What these send to those doesn't arrive.
    Cut {
        /// Senders.
        from: Vec<usize>,
        /// Receivers.
        to: Vec<usize>,
        /// In seconds.
        lasts: f64,
    },
    /// This share of all datagrams is lost.
    Loss {
        /// From 0 to 1.
        share: f64,
        /// In seconds.
        lasts: f64,
    },
    /// All datagrams take up to so many seconds longer, each another time: they overtake each other.
    Delay {
        /// In seconds.
        most: f64,
        /// In seconds.
        lasts: f64,
    },
    /// This share of all datagrams arrives twice.
    Twice {
        /// From 0 to 1.
        share: f64,
        /// In seconds.
        lasts: f64,
    },
    /// A member stands still; what is sent to it waits in its socket.
    Stop {
        /// Whom.
        who: usize,
        /// In seconds.
        lasts: f64,
    },
    /// A member is killed, and started again under its name after that.
    Kill {
        /// Whom.
        who: usize,
        /// In seconds; never where it is infinite.
        lasts: f64,
    },
    /// A member that was not there joins.
    Join {
        /// Whom.
        who: usize,
    },
    /// A member ends in order.
    Leave {
        /// Whom.
        who: usize,
    },
}

/// A run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Script {
    /// What all chance is drawn from.
    pub seed: u64,
    /// Members that are there from the start; the first two are everybody's seeds.
    pub members: usize,
    /// When something goes wrong, in seconds, in order.
    pub faults: Vec<(f64, Fault)>,
}

/// What a socket holds for a member that reads nothing.
const SOCKET_MOST: usize = 512;
/// A datagram takes this long, and up to twice as long.
const ON_THE_WAY: f64 = 0.000_5;

/// What was seen of one run.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Datagrams and bytes that were sent.
    pub sent: (u64, u64),
    /// Members that were called lost while they ran and nothing was cut or stopped: when, by whom, whom.
    pub wrong: Vec<(f64, usize, String)>,
    /// The same, whatever went wrong.
    pub lost: Vec<(f64, usize, String)>,
}

struct Member {
    fleet: Option<Membership>,
    starts: u64,
    /// Until when it stands still.
    still: f64,
    socket: VecDeque<Vec<u8>>,
    /// It should be there: started, not killed for good, not left.
    wanted: bool,
}

/// A network with its members.
pub struct Net {
    script: Script,
    settings: Settings,
    rng: rand_pcg::Pcg32,
    /// The time, in seconds.
    pub now: f64,
    members: Vec<Member>,
    flying: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    numbered: u64,
    going_on: Vec<(f64, Fault)>,
    starts: Vec<(f64, usize)>,
    next: usize,
    /// What was seen.
    pub seen: Seen,
}

fn address(who: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + who as u16))
}

fn name(who: usize) -> String {
    format!("m{who:03}")
}

impl Net {
    /// A network at time 0; all members that are there from the start join at once.
    pub fn new(script: Script) -> Self {
        let settings = Settings {
            seed_addresses: vec![address(0), address(1)],
            ..Settings::default()
        };
        Self::with(script, settings)
    }

    /// The same with other settings of the members.
    pub fn with(script: Script, settings: Settings) -> Self {
        let joins = script
            .faults
            .iter()
            .filter(|(_, fault)| matches!(fault, Fault::Join { .. }))
            .count();
        let member = || Member {
            fleet: None,
            starts: 0,
            still: 0.0,
            socket: VecDeque::new(),
            wanted: false,
        };
        let mut net = Self {
            rng: rand_pcg::Pcg32::seed_from_u64(script.seed),
            settings,
            now: 0.0,
            members: (0..script.members + joins).map(|_| member()).collect(),
            flying: BTreeMap::new(),
            numbered: 0,
            going_on: Vec::new(),
            starts: Vec::new(),
            next: 0,
            seen: Seen::default(),
            script,
        };
        for who in 0..net.script.members {
            net.start(who);
        }
        net
    }

    fn start(&mut self, who: usize) {
        let member = &mut self.members[who];
        member.starts += 1;
        let own = MemberId {
            name: name(who),
            address: address(who),
            incarnation: member.starts,
            rejoin_count: 0,
        };
        let role = if who.is_multiple_of(3) {
            Role::Edge
        } else {
            Role::Planner
        };
        let facts = MemberMetadata {
            zone: format!("zone-{}", who % 3),
            ..MemberMetadata::for_role(role)
        };
        let seed = self.script.seed ^ ((who as u64) << 32) ^ member.starts;
        member.fleet = Membership::new(self.settings.clone(), own, facts, seed, self.now).ok();
        member.wanted = true;
        member.socket.clear();
    }

    fn begin(&mut self, fault: Fault) {
        match &fault {
            Fault::Cut { lasts, .. }
            | Fault::Loss { lasts, .. }
            | Fault::Delay { lasts, .. }
            | Fault::Twice { lasts, .. } => {
                let until = self.now + lasts;
                self.going_on.push((until, fault));
            }
            &Fault::Stop { who, lasts } => self.members[who].still = self.now + lasts,
            &Fault::Kill { who, lasts } => {
                let member = &mut self.members[who];
                (member.fleet, member.wanted) = (None, lasts.is_finite());
                member.socket.clear();
                if lasts.is_finite() {
                    self.starts.push((self.now + lasts, who));
                }
            }
            &Fault::Join { who } => self.start(who),
            &Fault::Leave { who } => {
                self.members[who].wanted = false;
                self.step(who, vec![Input::LeaveFleet]);
                self.members[who].fleet = None;
            }
        }
    }

    /// When the last fault is over.
    pub fn over_at(&self) -> f64 {
        let end = |(at, fault): &(f64, Fault)| match fault {
            Fault::Cut { lasts, .. }
            | Fault::Loss { lasts, .. }
            | Fault::Delay { lasts, .. }
            | Fault::Twice { lasts, .. }
            | Fault::Stop { lasts, .. }
            | Fault::Kill { lasts, .. }
                if lasts.is_finite() =>
            {
                at + lasts
            }
            _ => *at,
        };
        self.script.faults.iter().map(end).fold(0.0, f64::max)
    }

    /// Something that may make a live member look lost goes on, or was over just now.
    fn disturbed(&self) -> bool {
        let now = self.now;
        let cut =
            |(until, fault): &(f64, Fault)| matches!(fault, Fault::Cut { .. }) && now < until + 5.0;
        let still = |member: &Member| now < member.still + 5.0 && member.still > 0.0;
        self.going_on.iter().any(cut) || self.members.iter().any(still)
    }

    fn step(&mut self, who: usize, inputs: Vec<Input>) {
        let mut out = Vec::new();
        let Some(fleet) = self.members[who].fleet.as_mut() else {
            return;
        };
        fleet.step(self.now, inputs, &mut out);
        for output in out {
            match output {
                Output::SendDatagram(to, bytes) => self.send(who, to, bytes),
                Output::MemberFailed(lost) => {
                    let runs = |(who, member): (usize, &Member)| {
                        member.fleet.is_some() && name(who) == lost
                    };
                    if self.members.iter().enumerate().any(runs) {
                        self.seen.lost.push((self.now, who, lost.clone()));
                        if !self.disturbed() {
                            self.seen.wrong.push((self.now, who, lost));
                        }
                    }
                }
                Output::Replaced(_) => self.members[who].fleet = None,
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.seen.sent = (self.seen.sent.0 + 1, self.seen.sent.1 + bytes.len() as u64);
        let to = usize::from(to.port()).wrapping_sub(10_000);
        if to >= self.members.len() {
            return;
        }
        let (mut copies, mut slower) = (1, 0.0);
        for (_, fault) in &self.going_on {
            match fault {
                Fault::Cut {
                    from: senders,
                    to: receivers,
                    ..
                } if senders.contains(&from) && receivers.contains(&to) => {
                    return;
                }
                Fault::Loss { share, .. } if self.rng.random_bool(*share) => return,
                Fault::Twice { share, .. } if self.rng.random_bool(*share) => copies = 2,
                Fault::Delay { most, .. } => slower += self.rng.random_range(0.0..*most),
                _ => {}
            }
        }
        for _ in 0..copies {
            self.numbered += 1;
            let at = self.now + ON_THE_WAY * self.rng.random_range(1.0..2.0) + slower;
            self.flying
                .insert(((at * 1e6) as u64, self.numbered), (to, bytes.clone()));
        }
    }

    /// Plays until this time.
    pub fn play(&mut self, until: f64) {
        loop {
            let fault = self
                .script
                .faults
                .get(self.next)
                .map_or(f64::INFINITY, |fault| fault.0);
            let start = self
                .starts
                .iter()
                .map(|start| start.0)
                .fold(f64::INFINITY, f64::min);
            let lands = self
                .flying
                .first_key_value()
                .map_or(f64::INFINITY, |(at, _)| at.0 as f64 / 1e6);
            let wake = |member: &Member| {
                member
                    .fleet
                    .as_ref()
                    .map(|fleet| fleet.next_wake().max(member.still))
            };
            let wakes = self
                .members
                .iter()
                .enumerate()
                .filter_map(|(who, member)| Some((wake(member)?, who)));
            let (wake, who) = wakes
                .min_by(|a, b| a.0.total_cmp(&b.0))
                .unwrap_or((f64::INFINITY, usize::MAX));
            let at = fault.min(start).min(lands).min(wake);
            if at > until || !at.is_finite() {
                self.now = until;
                return;
            }
            self.now = self.now.max(at);
            let now = self.now;
            self.going_on.retain(|(end, _)| now < *end);
            if at == fault {
                let fault = self.script.faults[self.next].1.clone();
                self.next += 1;
                self.begin(fault);
            } else if at == start {
                if let Some(place) = self.starts.iter().position(|start| start.0 == at) {
                    let (_, who) = self.starts.swap_remove(place);
                    self.start(who);
                }
            } else if at == lands {
                if let Some((_, (to, bytes))) = self.flying.pop_first() {
                    let member = &mut self.members[to];
                    if member.fleet.is_some() && now >= member.still {
                        self.step(to, vec![Input::DatagramReceived(bytes)]);
                    } else if member.fleet.is_some() && member.socket.len() < SOCKET_MOST {
                        member.socket.push_back(bytes);
                    }
                }
            } else if who < self.members.len() {
                let waiting = std::mem::take(&mut self.members[who].socket);
                self.step(
                    who,
                    waiting.into_iter().map(Input::DatagramReceived).collect(),
                );
            }
        }
    }

    /// Views of all that run.
    pub fn views(&self) -> Vec<(usize, MembershipView)> {
        let view = |(who, member): (usize, &Member)| Some((who, member.fleet.as_ref()?.view()));
        self.members.iter().enumerate().filter_map(view).collect()
    }

    /// What is not as it should be: the views of all that run must be equal, true, and say that they are settled.
    pub fn unsettled(&self) -> Option<String> {
        let all = || self.members.iter().enumerate();
        if let Some((who, _)) = all().find(|(_, member)| member.wanted != member.fleet.is_some()) {
            return Some(format!("{} should run, or should not", name(who)));
        }
        let run: Vec<String> = all()
            .filter(|(_, member)| member.fleet.is_some())
            .map(|(who, _)| name(who))
            .collect();
        for (who, view) in self.views() {
            let live: Vec<&String> = view.live_members().map(|seen| &seen.id.name).collect();
            if !live.iter().copied().eq(run.iter()) {
                let missing: Vec<&String> =
                    run.iter().filter(|name| !live.contains(name)).collect();
                let more: Vec<&&String> = live.iter().filter(|name| !run.contains(name)).collect();
                return Some(format!(
                    "{} misses {missing:?}, has {more:?} too",
                    name(who)
                ));
            }
            if let Some(seen) = view.live_members().find(|seen| seen.metadata.is_none()) {
                return Some(format!("{} knows no facts of {}", name(who), seen.id.name));
            }
            if !view.has_converged {
                return Some(format!(
                    "{} does not know that the view is settled",
                    name(who)
                ));
            }
        }
        None
    }

    /// Plays until all is settled, in seconds from now; `None` where it takes longer than `most`.
    pub fn settles(&mut self, most: f64) -> Option<f64> {
        let from = self.now;
        while self.now < from + most {
            if self.unsettled().is_none() {
                return Some(self.now - from);
            }
            self.play(self.now + 0.05);
        }
        None
    }
}

impl Script {
    /// A script drawn from a seed: so many members, and several faults one after the other and at once.
    pub fn draw(seed: u64, members: usize) -> Self {
        let mut rng = rand_pcg::Pcg32::seed_from_u64(seed.wrapping_mul(0x9e37_79b9));
        let (mut faults, mut joined) = (Vec::new(), 0);
        let mut gone = std::collections::BTreeSet::new();
        let mut at = rng.random_range(2.0..4.0);
        for _ in 0..rng.random_range(2..6) {
            let who = rng.random_range(0..members);
            let some = |rng: &mut rand_pcg::Pcg32| -> Vec<usize> {
                let share = rng.random_range(0.1..0.6);
                (0..members).filter(|_| rng.random_bool(share)).collect()
            };
            let lasts = rng.random_range(1.0..12.0);
            match rng.random_range(0..9) {
                0 => {
                    let from = some(&mut rng);
                    let to: Vec<usize> = (0..members).filter(|who| !from.contains(who)).collect();
                    faults.push((
                        at,
                        Fault::Cut {
                            from: from.clone(),
                            to: to.clone(),
                            lasts,
                        },
                    ));
                    faults.push((
                        at,
                        Fault::Cut {
                            from: to,
                            to: from,
                            lasts,
                        },
                    ));
                }
                1 => faults.push((
                    at,
                    Fault::Cut {
                        from: some(&mut rng),
                        to: some(&mut rng),
                        lasts,
                    },
                )),
                2 => faults.push((
                    at,
                    Fault::Loss {
                        share: rng.random_range(0.02..0.3),
                        lasts,
                    },
                )),
                3 => faults.push((
                    at,
                    Fault::Delay {
                        most: rng.random_range(0.005..0.1),
                        lasts,
                    },
                )),
                4 => faults.push((at, Fault::Twice { share: 0.5, lasts })),
                5 if !gone.contains(&who) => faults.push((at, Fault::Stop { who, lasts })),
                6 => {
                    let share = rng.random_range(0.05..0.3);
                    for who in (0..members)
                        .filter(|who| !gone.contains(who))
                        .collect::<Vec<_>>()
                    {
                        if rng.random_bool(share) {
                            let lasts = rng.random_range(0.2..6.0);
                            faults.push((at, Fault::Kill { who, lasts }));
                        }
                    }
                }
                7 => {
                    faults.push((
                        at,
                        Fault::Join {
                            who: members + joined,
                        },
                    ));
                    joined += 1;
                }
                8 if who > 1 && !gone.contains(&who) => {
                    gone.insert(who);
                    faults.push((at, Fault::Leave { who }));
                }
                _ => {}
            }
            at += rng.random_range(0.5..14.0);
        }
        Self {
            seed,
            members,
            faults,
        }
    }

    /// Plays it, and says what is not settled `within` after the last fault.
    pub fn fails(&self, within: f64) -> Option<String> {
        let mut net = Net::new(self.clone());
        net.play(net.over_at() + 1e-3);
        if net.settles(within).is_some() {
            None
        } else {
            net.unsettled()
        }
    }

    /// The same with as few faults as still fail.
    pub fn shortest(&self, within: f64) -> Self {
        let mut script = self.clone();
        let mut at = 0;
        while at < script.faults.len() {
            let mut less = script.clone();
            less.faults.remove(at);
            if less.fails(within).is_some() {
                script = less;
            } else {
                at += 1;
            }
        }
        script
    }
}
