//! Simulation of the membership protocol: many members in simulated time on a network with faults.
//!
//! A [`Script`] lists the members and the faults of a run. The same script and seed give the same run, so that a
//! failing script can be reduced to the faults that it needs and kept as a test.

use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tidespur_membership::{
    Input, MemberId, MemberMetadata, Membership, MembershipView, Output, Role, Settings,
};

/// A fault, or a change of the members. The variant and field names are part of printed scripts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fault {
    /// Datagrams from these members to those are lost.
    Cut {
        /// Numbers of the senders.
        from: Vec<usize>,
        /// Numbers of the receivers.
        to: Vec<usize>,
        /// Duration in seconds.
        lasts: f64,
    },
    /// A share of all datagrams is lost.
    Loss {
        /// Share of the datagrams, from 0 to 1.
        share: f64,
        /// Duration in seconds.
        lasts: f64,
    },
    /// Each datagram is delayed by a random time, so that datagrams can arrive out of order.
    Delay {
        /// Upper limit of the extra delay, in seconds.
        most: f64,
        /// Duration in seconds.
        lasts: f64,
    },
    /// A share of all datagrams is duplicated.
    Twice {
        /// Share of the datagrams, from 0 to 1.
        share: f64,
        /// Duration in seconds.
        lasts: f64,
    },
    /// A member is suspended; datagrams to it wait in its socket buffer.
    Stop {
        /// Number of the member.
        who: usize,
        /// Duration in seconds.
        lasts: f64,
    },
    /// A member is killed, and restarted under the same name afterwards.
    Kill {
        /// Number of the member.
        who: usize,
        /// Seconds until the restart; infinite for none.
        lasts: f64,
    },
    /// A new member joins.
    Join {
        /// Number of the member.
        who: usize,
    },
    /// A member leaves the fleet in an orderly way.
    Leave {
        /// Number of the member.
        who: usize,
    },
}

/// Members and faults of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Script {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of members at the start; the first two are the seeds of all members.
    pub members: usize,
    /// Faults with their start in seconds, in order of time.
    pub faults: Vec<(f64, Fault)>,
}

/// Datagrams that the socket buffer of a suspended member holds; further ones are lost.
const SOCKET_BUFFER_DATAGRAMS: usize = 512;
/// Minimum transit time of a datagram in seconds; the maximum is twice that.
const MIN_TRANSIT: f64 = 0.000_5;

/// Statistics of one run.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Number of datagrams and bytes that were sent.
    pub sent: (u64, u64),
    /// Members that were declared failed although they ran, with no cut or suspension in effect or recently over: time,
    /// observer, and name of the member.
    pub false_failures: Vec<(f64, usize, String)>,
    /// Members that were declared failed although they ran, under any fault.
    pub failures: Vec<(f64, usize, String)>,
}

struct Member {
    fleet: Option<Membership>,
    starts: u64,
    /// End of its suspension; 0 if it never was suspended.
    suspended_until: f64,
    socket: VecDeque<Vec<u8>>,
    /// Whether it should run: it was started, has not left, and was not killed for good.
    should_run: bool,
}

/// The simulated network and its members.
pub struct SimulatedNetwork {
    script: Script,
    settings: Settings,
    rng: rand_pcg::Pcg32,
    /// Simulated time in seconds.
    pub now: f64,
    members: Vec<Member>,
    in_flight: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    datagram_count: u64,
    active_faults: Vec<(f64, Fault)>,
    /// Time and member of each pending restart.
    restarts: Vec<(f64, usize)>,
    next_fault: usize,
    /// Statistics so far.
    pub observations: Observations,
}

fn address(who: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + who as u16))
}

fn name(who: usize) -> String {
    format!("m{who:03}")
}

impl SimulatedNetwork {
    /// A network at time 0, where all initial members join at once.
    pub fn new(script: Script) -> Self {
        let settings = Settings {
            seed_addresses: vec![address(0), address(1)],
            ..Settings::default()
        };
        Self::with_settings(script, settings)
    }

    /// Like [`Self::new`], with other settings of the members.
    pub fn with_settings(script: Script, settings: Settings) -> Self {
        let joins = script
            .faults
            .iter()
            .filter(|(_, fault)| matches!(fault, Fault::Join { .. }))
            .count();
        let member = || Member {
            fleet: None,
            starts: 0,
            suspended_until: 0.0,
            socket: VecDeque::new(),
            should_run: false,
        };
        let mut net = Self {
            rng: rand_pcg::Pcg32::seed_from_u64(script.seed),
            settings,
            now: 0.0,
            members: (0..script.members + joins).map(|_| member()).collect(),
            in_flight: BTreeMap::new(),
            datagram_count: 0,
            active_faults: Vec::new(),
            restarts: Vec::new(),
            next_fault: 0,
            observations: Observations::default(),
            script,
        };
        for index in 0..net.script.members {
            net.start(index);
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
        let metadata = MemberMetadata {
            zone: format!("zone-{}", who % 3),
            ..MemberMetadata::for_role(role)
        };
        let seed = self.script.seed ^ ((who as u64) << 32) ^ member.starts;
        member.fleet = Membership::new(self.settings.clone(), own, metadata, seed, self.now).ok();
        member.should_run = true;
        member.socket.clear();
    }

    fn begin(&mut self, fault: Fault) {
        match &fault {
            Fault::Cut { lasts, .. }
            | Fault::Loss { lasts, .. }
            | Fault::Delay { lasts, .. }
            | Fault::Twice { lasts, .. } => {
                let until = self.now + lasts;
                self.active_faults.push((until, fault));
            }
            &Fault::Stop { who, lasts } => self.members[who].suspended_until = self.now + lasts,
            &Fault::Kill { who, lasts } => {
                let member = &mut self.members[who];
                (member.fleet, member.should_run) = (None, lasts.is_finite());
                member.socket.clear();
                if lasts.is_finite() {
                    self.restarts.push((self.now + lasts, who));
                }
            }
            &Fault::Join { who } => self.start(who),
            &Fault::Leave { who } => {
                self.members[who].should_run = false;
                self.step(who, vec![Input::LeaveFleet]);
                self.members[who].fleet = None;
            }
        }
    }

    /// Time at which the last fault ends.
    pub fn faults_end(&self) -> f64 {
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

    /// Whether a cut or a suspension is in effect or was until 5 s ago: live members may then be declared failed.
    fn disturbed(&self) -> bool {
        let now = self.now;
        let cut =
            |(until, fault): &(f64, Fault)| matches!(fault, Fault::Cut { .. }) && now < until + 5.0;
        let suspended =
            |member: &Member| now < member.suspended_until + 5.0 && member.suspended_until > 0.0;
        self.active_faults.iter().any(cut) || self.members.iter().any(suspended)
    }

    fn step(&mut self, who: usize, inputs: Vec<Input>) {
        let mut outputs = Vec::new();
        let Some(fleet) = self.members[who].fleet.as_mut() else {
            return;
        };
        fleet.step(self.now, inputs, &mut outputs);
        for output in outputs {
            match output {
                Output::SendDatagram(to, bytes) => self.send(who, to, bytes),
                Output::MemberFailed(lost) => {
                    let runs = |(who, member): (usize, &Member)| {
                        member.fleet.is_some() && name(who) == lost
                    };
                    if self.members.iter().enumerate().any(runs) {
                        self.observations
                            .failures
                            .push((self.now, who, lost.clone()));
                        if !self.disturbed() {
                            self.observations.false_failures.push((self.now, who, lost));
                        }
                    }
                }
                Output::Replaced(_) => self.members[who].fleet = None,
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.observations.sent = (
            self.observations.sent.0 + 1,
            self.observations.sent.1 + bytes.len() as u64,
        );
        let to = usize::from(to.port()).wrapping_sub(10_000);
        if to >= self.members.len() {
            return;
        }
        let (mut copies, mut slower) = (1, 0.0);
        for (_, fault) in &self.active_faults {
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
            self.datagram_count += 1;
            let at = self.now + MIN_TRANSIT * self.rng.random_range(1.0..2.0) + slower;
            self.in_flight.insert(
                ((at * 1e6) as u64, self.datagram_count),
                (to, bytes.clone()),
            );
        }
    }

    /// Runs the simulation until this time.
    pub fn run_until(&mut self, until: f64) {
        loop {
            let fault = self
                .script
                .faults
                .get(self.next_fault)
                .map_or(f64::INFINITY, |fault| fault.0);
            let start = self
                .restarts
                .iter()
                .map(|start| start.0)
                .fold(f64::INFINITY, f64::min);
            let lands = self
                .in_flight
                .first_key_value()
                .map_or(f64::INFINITY, |(at, _)| at.0 as f64 / 1e6);
            let wake = |member: &Member| {
                member
                    .fleet
                    .as_ref()
                    .map(|fleet| fleet.next_wake().max(member.suspended_until))
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
            self.active_faults.retain(|(end, _)| now < *end);
            if at == fault {
                let fault = self.script.faults[self.next_fault].1.clone();
                self.next_fault += 1;
                self.begin(fault);
            } else if at == start {
                if let Some(place) = self.restarts.iter().position(|start| start.0 == at) {
                    let (_, who) = self.restarts.swap_remove(place);
                    self.start(who);
                }
            } else if at == lands {
                if let Some((_, (to, bytes))) = self.in_flight.pop_first() {
                    let member = &mut self.members[to];
                    if member.fleet.is_some() && now >= member.suspended_until {
                        self.step(to, vec![Input::DatagramReceived(bytes)]);
                    } else if member.fleet.is_some()
                        && member.socket.len() < SOCKET_BUFFER_DATAGRAMS
                    {
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

    /// Numbers and views of all members that run.
    pub fn views(&self) -> Vec<(usize, MembershipView)> {
        let view = |(who, member): (usize, &Member)| Some((who, member.fleet.as_ref()?.view()));
        self.members.iter().enumerate().filter_map(view).collect()
    }

    /// Describes the first member whose view has not converged; `None` if the view of each running member lists exactly
    /// the running members, has their metadata, and is marked as settled.
    pub fn describe_unconverged(&self) -> Option<String> {
        let members = || self.members.iter().enumerate();
        if let Some((who, _)) =
            members().find(|(_, member)| member.should_run != member.fleet.is_some())
        {
            return Some(format!(
                "{}: running state differs from the script",
                name(who)
            ));
        }
        let run: Vec<String> = members()
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
                    "{}: view lacks {missing:?} and has extra {more:?}",
                    name(who)
                ));
            }
            if let Some(seen) = view.live_members().find(|seen| seen.metadata.is_none()) {
                return Some(format!(
                    "{}: view has no metadata of {}",
                    name(who),
                    seen.id.name
                ));
            }
            if !view.has_converged {
                return Some(format!("{}: view is not marked as settled", name(who)));
            }
        }
        None
    }

    /// Runs until all views have converged and returns the seconds that took; `None` if it takes longer than `timeout`.
    pub fn run_until_converged(&mut self, timeout: f64) -> Option<f64> {
        let from = self.now;
        while self.now < from + timeout {
            if self.describe_unconverged().is_none() {
                return Some(self.now - from);
            }
            self.run_until(self.now + 0.05);
        }
        None
    }
}

impl Script {
    /// A random script with this number of members and several faults, some of them at the same time.
    pub fn random(seed: u64, members: usize) -> Self {
        let mut rng = rand_pcg::Pcg32::seed_from_u64(seed.wrapping_mul(0x9e37_79b9));
        let (mut faults, mut joined) = (Vec::new(), 0);
        let mut departed = std::collections::BTreeSet::new();
        let mut at = rng.random_range(2.0..4.0);
        for _ in 0..rng.random_range(2..6) {
            let target = rng.random_range(0..members);
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
                5 if !departed.contains(&target) => {
                    faults.push((at, Fault::Stop { who: target, lasts }))
                }
                6 => {
                    let share = rng.random_range(0.05..0.3);
                    for member in (0..members)
                        .filter(|member| !departed.contains(member))
                        .collect::<Vec<_>>()
                    {
                        if rng.random_bool(share) {
                            let lasts = rng.random_range(0.2..6.0);
                            faults.push((at, Fault::Kill { who: member, lasts }));
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
                8 if target > 1 && !departed.contains(&target) => {
                    departed.insert(target);
                    faults.push((at, Fault::Leave { who: target }));
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

    /// Runs the script and describes what has not converged `within` seconds after the last fault; `None` on success.
    pub fn failure(&self, within: f64) -> Option<String> {
        let mut net = SimulatedNetwork::new(self.clone());
        net.run_until(net.faults_end() + 1e-3);
        if net.run_until_converged(within).is_some() {
            None
        } else {
            net.describe_unconverged()
        }
    }

    /// Reduces a failing script to as few faults as still fail.
    pub fn reduced(&self, within: f64) -> Self {
        let mut script = self.clone();
        let mut at = 0;
        while at < script.faults.len() {
            let mut less = script.clone();
            less.faults.remove(at);
            if less.failure(within).is_some() {
                script = less;
            } else {
                at += 1;
            }
        }
        script
    }
}
