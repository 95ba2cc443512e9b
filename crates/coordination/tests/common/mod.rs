//! Voters in simulated time: each with a disk that loses what was not synced, a clock that runs its own way, and streams
//! that are cut, slow or one-way. All from a seed.
#![allow(dead_code, reason = "each test file uses a part")]

use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tidespur_coordination::{Fence, Input, Output, PeerMessage, Settings, Voter, VoterStatus};
use tidespur_persistence::{Batch, LoadedRecords};

pub const STEP: f64 = 0.01;
pub const TERM: f64 = 3.0;

pub struct SimulatedVoter {
    pub name: String,
    pub ledger: Option<Voter>,
    /// What its disk holds for sure.
    pub disk: LoadedRecords,
    /// Batches on their way to the disk, and when they are there.
    writing: VecDeque<(f64, u64, Batch)>,
    /// What follows a batch that is not safe yet.
    held: VecDeque<(u64, Output)>,
    inputs: Vec<Input>,
    rate: f64,
    offset: f64,
    /// Stands still until then.
    pub still: f64,
    pub disk_takes: f64,
}

pub struct World {
    pub now: f64,
    pub rng: rand_pcg::Pcg32,
    pub voters: Vec<SimulatedVoter>,
    pub drift: f64,
    /// Words on their way, by directed pair, in order.
    wire: BTreeMap<(usize, usize), VecDeque<(f64, PeerMessage)>>,
    /// Directed pairs that are cut, and until when.
    pub cuts: BTreeMap<(usize, usize), f64>,
    pub wants: bool,
    /// Who held which token.
    pub holders: BTreeMap<u64, String>,
    fence: Fence,
    /// Acts on their way to whoever carries them out: when they arrive, with which token, whose.
    acts: Vec<(f64, u64, usize)>,
    pub carried: Vec<(f64, u64)>,
    pub wrong: Vec<String>,
    pub trace: Vec<String>,
    /// Words that arrived, their size as they are written on a stream, and syncs.
    pub words: u64,
    pub bytes: u64,
    pub syncs: u64,
}

impl World {
    pub fn new(seed: u64, voters: usize, drift: f64) -> Self {
        let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
        let voters = (0..voters).map(|i| SimulatedVoter {
            name: format!("edge-{i}"),
            ledger: None,
            disk: LoadedRecords {
                created_at: 1_000 + i as u64,
                ..LoadedRecords::default()
            },
            writing: VecDeque::new(),
            held: VecDeque::new(),
            inputs: vec![],
            rate: 1.0 + rng.random_range(-drift..=drift),
            offset: rng.random_range(0.0..1e6),
            still: 0.0,
            disk_takes: 0.004,
        });
        let voters: Vec<SimulatedVoter> = voters.collect();
        let mut world = Self {
            now: 0.0,
            rng,
            voters,
            drift,
            wire: BTreeMap::new(),
            cuts: BTreeMap::new(),
            wants: true,
            holders: BTreeMap::new(),
            fence: Fence::default(),
            acts: vec![],
            carried: vec![],
            wrong: vec![],
            trace: vec![],
            words: 0,
            bytes: 0,
            syncs: 0,
        };
        (0..world.voters.len()).for_each(|i| world.start(i));
        world
    }

    fn local(&self, i: usize) -> f64 {
        self.now * self.voters[i].rate + self.voters[i].offset
    }

    pub fn start(&mut self, i: usize) {
        let names = self.voters.iter().map(|voter| voter.name.clone()).collect();
        let now = self.local(i);
        let voter = &mut self.voters[i];
        voter.disk.generation += 1;
        let settings = Settings {
            voters: names,
            own: voter.name.clone(),
            incarnation: voter.disk.incarnation(),
            start: self.rng.random(),
            lease_term: TERM,
            max_clock_drift: 0.01,
        };
        voter.ledger = Some(Voter::new(settings, &voter.disk, now).unwrap());
        if self.wants {
            voter.inputs.push(Input::AcquireLease("l".into()));
        }
        self.trace.push(format!("{:.2} {i} starts", self.now));
        self.up(i);
    }

    /// Its streams stand again, to all that run.
    fn up(&mut self, i: usize) {
        for j in 0..self.voters.len() {
            if i != j && self.voters[j].ledger.is_some() {
                let own = self.voters[i].name.clone();
                self.voters[j]
                    .held
                    .retain(|(_, o)| !matches!(o, Output::Send(to, _) if *to == own));
                self.voters[j]
                    .inputs
                    .retain(|i| !matches!(i, Input::MessageReceived(from, _) if *from == own));
                let names = [self.voters[i].name.clone(), self.voters[j].name.clone()];
                self.voters[j]
                    .inputs
                    .push(Input::PeerConnected(names[0].clone()));
                self.voters[i]
                    .inputs
                    .push(Input::PeerConnected(names[1].clone()));
            }
        }
    }

    /// Its process ends without a word; with it what was not yet on the disk, and its streams.
    pub fn kill(&mut self, i: usize) {
        let voter = &mut self.voters[i];
        voter.ledger = None;
        (voter.writing, voter.held, voter.inputs) = Default::default();
        self.wire.retain(|(from, to), _| *from != i && *to != i);
        self.trace.push(format!("{:.2} {i} is killed", self.now));
    }

    pub fn cut(&mut self, from: usize, to: usize, seconds: f64) {
        self.cuts.insert((from, to), self.now + seconds);
        self.wire.remove(&(from, to));
        self.trace.push(format!(
            "{:.2} {from} to {to} is cut for {seconds:.1}",
            self.now
        ));
    }

    pub fn may_act(&self, i: usize) -> Option<u64> {
        let still = self.now < self.voters[i].still;
        self.voters[i]
            .ledger
            .as_ref()
            .filter(|_| !still)?
            .valid_token(self.local(i), "l")
    }

    pub fn voting(&self) -> usize {
        let votes = |voter: &&SimulatedVoter| {
            voter
                .ledger
                .as_ref()
                .is_some_and(|l| *l.status() == VoterStatus::Voting)
        };
        self.voters.iter().filter(votes).count()
    }

    pub fn tell(&mut self, i: usize, input: Input) {
        self.voters[i].inputs.push(input);
    }

    pub fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += STEP;
            self.deliver();
            for i in 0..self.voters.len() {
                self.turn(i);
            }
            self.check();
        }
    }

    fn deliver(&mut self) {
        let healed: Vec<(usize, usize)> = self
            .cuts
            .iter()
            .filter(|(_, until)| self.now >= **until)
            .map(|(pair, _)| *pair)
            .collect();
        for (from, to) in healed {
            self.cuts.remove(&(from, to));
            // A stream that was lost is dialled anew: both ends know, and what was on its way or held for it is gone.
            for (a, b) in [(from, to), (to, from)] {
                self.wire.remove(&(a, b));
                let name = self.voters[b].name.clone();
                let old = |output: &Output| matches!(output, Output::Send(to, _) if *to == name);
                self.voters[a].held.retain(|(_, output)| !old(output));
                let from_it = |input: &Input| matches!(input, Input::MessageReceived(from, _) if *from == name);
                self.voters[a].inputs.retain(|input| !from_it(input));
                self.voters[a].inputs.push(Input::PeerConnected(name));
            }
        }
        for ((from, to), words) in &mut self.wire {
            while words.front().is_some_and(|(at, _)| *at <= self.now) {
                let Some((_, word)) = words.pop_front() else {
                    break;
                };
                self.words += 1;
                self.bytes += postcard::to_stdvec(&word).map_or(0, |bytes| bytes.len() as u64);
                let name = self.voters[*from].name.clone();
                if self.voters[*to].ledger.is_some() {
                    self.voters[*to]
                        .inputs
                        .push(Input::MessageReceived(name, word));
                }
            }
        }
    }

    fn turn(&mut self, i: usize) {
        if self.now < self.voters[i].still || self.voters[i].ledger.is_none() {
            return;
        }
        let local = self.local(i);
        let voter = &mut self.voters[i];
        while voter
            .writing
            .front()
            .is_some_and(|(at, ..)| *at <= self.now)
        {
            let Some((_, number, batch)) = voter.writing.pop_front() else {
                break;
            };
            self.syncs += 1;
            for (record, value) in batch.changes() {
                match value {
                    Some(value) => drop(voter.disk.records.insert(record.clone(), value.to_vec())),
                    None => drop(voter.disk.records.remove(record)),
                }
            }
            voter.inputs.push(Input::BatchSynced(number));
            while voter
                .held
                .front()
                .is_some_and(|(after, _)| *after <= number)
            {
                let Some((_, output)) = voter.held.pop_front() else {
                    break;
                };
                send(
                    &mut self.wire,
                    &self.cuts,
                    &mut self.rng,
                    self.now,
                    i,
                    output,
                );
            }
        }
        let mut out = Vec::new();
        let inputs = std::mem::take(&mut voter.inputs);
        if let Some(ledger) = &mut voter.ledger {
            ledger.step(local, inputs, &mut out);
        }
        for output in out {
            match output {
                Output::Persist(number, batch) => {
                    let after = voter.writing.back().map_or(self.now, |(at, ..)| *at);
                    voter
                        .writing
                        .push_back((after + voter.disk_takes, number, batch));
                }
                Output::Send(..) => match voter.writing.back() {
                    Some((_, number, _)) => voter.held.push_back((*number, output)),
                    None => send(
                        &mut self.wire,
                        &self.cuts,
                        &mut self.rng,
                        self.now,
                        i,
                        output,
                    ),
                },
                Output::LeaseAcquired(_, token) => {
                    self.trace
                        .push(format!("{:.2} {i} holds {token}", self.now));
                    let whose = format!("{} {}", voter.name, voter.disk.generation);
                    if let Some(other) = self.holders.insert(token, whose.clone())
                        && other != whose
                    {
                        self.wrong
                            .push(format!("token {token} is {other}'s and {whose}'s"));
                    }
                }
                Output::LeaseLost(_) | Output::LeaderChanged(_) => {}
                Output::StatusChanged(standing) => {
                    self.trace.push(format!("{:.2} {i} {standing:?}", self.now))
                }
            }
        }
    }

    fn check(&mut self) {
        let acting: Vec<(usize, u64)> = (0..self.voters.len())
            .filter_map(|i| Some((i, self.may_act(i)?)))
            .collect();
        if acting.len() > 1 {
            self.wrong
                .push(format!("{:.2}: {acting:?} may act at once", self.now));
        }
        for (i, token) in acting {
            // Some acts are on their way for long: the process stood still behind its question.
            let way = if self.rng.random_bool(0.02) {
                8.0
            } else {
                0.005
            };
            self.acts.push((self.now + way, token, i));
        }
        let (now, mut rest) = (self.now, Vec::new());
        for (at, token, i) in std::mem::take(&mut self.acts) {
            if at > now {
                rest.push((at, token, i));
            } else if self.fence.admit("l", token).is_ok() {
                if self.carried.last().is_some_and(|(_, last)| *last > token) {
                    self.wrong.push(format!(
                        "{now:.2}: {token} was carried out after a later one"
                    ));
                }
                self.carried.push((now, token));
            }
        }
        self.acts = rest;
    }

    /// The longest time in which nothing was carried out, from `from` on.
    pub fn longest_gap(&self, from: f64) -> f64 {
        let times: Vec<f64> = self
            .carried
            .iter()
            .map(|(at, _)| *at)
            .filter(|at| *at >= from)
            .collect();
        let ends = [from]
            .into_iter()
            .chain(times.iter().copied())
            .zip(times.iter().copied().chain([self.now]));
        ends.map(|(a, b)| b - a).fold(0.0, f64::max)
    }

    /// Faults as the seed has them, for so long.
    pub fn trouble(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            let pause = self.rng.random_range(0.2..3.0);
            self.run(pause);
            let (i, j) = (
                self.rng.random_range(0..self.voters.len()),
                self.rng.random_range(0..self.voters.len()),
            );
            let long = self.rng.random_range(0.1..8.0);
            match self.rng.random_range(0..7) {
                0 if self.voters[i].ledger.is_some() => self.kill(i),
                1 | 2 if i != j => {
                    self.cut(i, j, long);
                    if self.rng.random_bool(0.6) {
                        self.cut(j, i, long);
                    }
                }
                3 => {
                    self.voters[i].still = self.now + long;
                    self.trace
                        .push(format!("{:.2} {i} stands still for {long:.1}", self.now));
                }
                4 => self.voters[i].disk_takes = self.rng.random_range(0.001..0.3),
                5 if self.rng.random_bool(0.3) => (0..self.voters.len()).for_each(|i| self.kill(i)),
                _ => {}
            }
            if self.rng.random_bool(0.6) {
                let dead: Vec<usize> = (0..self.voters.len())
                    .filter(|i| self.voters[*i].ledger.is_none())
                    .collect();
                dead.into_iter().for_each(|i| self.start(i));
            }
        }
        for i in 0..self.voters.len() {
            if self.voters[i].ledger.is_none() {
                self.start(i);
            }
            (self.voters[i].still, self.voters[i].disk_takes) = (0.0, 0.004);
        }
        self.cuts.values_mut().for_each(|until| *until = 0.0);
    }
}

fn send(
    wire: &mut BTreeMap<(usize, usize), VecDeque<(f64, PeerMessage)>>,
    cuts: &BTreeMap<(usize, usize), f64>,
    rng: &mut impl Rng,
    now: f64,
    from: usize,
    output: Output,
) {
    let Output::Send(to, word) = output else {
        return;
    };
    let to: usize = to["edge-".len()..].parse().unwrap();
    if cuts.contains_key(&(from, to)) {
        return;
    }
    let words = wire.entry((from, to)).or_default();
    let after = words.back().map_or(0.0, |(at, _)| *at);
    words.push_back((f64::max(after, now + rng.random_range(0.000_5..0.02)), word));
}

/// The trace of a run, for a message.
pub fn told(world: &World) -> String {
    let wrong: BTreeSet<&String> = world.wrong.iter().take(3).collect();
    format!("{wrong:?}\n{}", world.trace.join("\n"))
}
