//! Simulates a fleet of voters, deterministically from a seed. Each voter has a disk that loses unsynced writes, a
//! clock with its own rate, and streams that can be slow or partitioned in one or both directions.
#![allow(dead_code, reason = "each test file uses a part")]

mod faults;
mod network;
mod safety;
mod simulated_voter;

use network::Network;
use rand::{Rng, SeedableRng};
use safety::SafetyChecker;
pub use simulated_voter::SimulatedVoter;
use tidespur_coordination::{Input, Settings, Voter, VoterStatus};

/// Length of a step of the simulation, in seconds.
pub const STEP: f64 = 0.01;
/// Term of a lease, in seconds.
pub const TERM: f64 = 3.0;
/// Name of the lease that all voters request.
pub const LEASE: &str = "l";

pub struct Simulation {
    pub now: f64,
    pub rng: rand_pcg::Pcg32,
    pub voters: Vec<SimulatedVoter>,
    pub network: Network,
    pub safety: SafetyChecker,
    /// Events of the run, reported when an assertion fails.
    pub trace: Vec<String>,
    pub syncs: u64,
}

impl Simulation {
    /// Starts `voters` voters whose clock rates differ from 1 by up to `drift`.
    pub fn new(seed: u64, voters: usize, drift: f64) -> Self {
        let mut rng = rand_pcg::Pcg32::seed_from_u64(seed);
        let voters: Vec<SimulatedVoter> = (0..voters)
            .map(|index| SimulatedVoter::new(index, drift, &mut rng))
            .collect();
        let mut simulation = Self {
            now: 0.0,
            rng,
            voters,
            network: Network::default(),
            safety: SafetyChecker::default(),
            trace: vec![],
            syncs: 0,
        };
        for index in 0..simulation.voters.len() {
            simulation.start(index);
        }
        simulation
    }

    pub fn log(&mut self, event: &str) {
        self.trace.push(format!("{:.2} {event}", self.now));
    }

    /// Starts the process of this voter from the data on its disk.
    pub fn start(&mut self, index: usize) {
        let voters = self.voters.iter().map(|voter| voter.name.clone()).collect();
        let now = self.voters[index].local_time(self.now);
        let simulated = &mut self.voters[index];
        simulated.disk.generation += 1;
        let settings = Settings {
            voters,
            name: simulated.name.clone(),
            incarnation: simulated.disk.incarnation(),
            start_nonce: self.rng.random(),
            lease_term: TERM,
            max_clock_drift: 0.01,
        };
        simulated.voter = Some(Voter::new(settings, &simulated.disk, now).unwrap());
        simulated.inputs.push(Input::AcquireLease(LEASE.into()));
        self.log(&format!("{index} starts"));
        self.connect(index);
    }

    /// Establishes the streams between this voter and all running voters.
    fn connect(&mut self, index: usize) {
        let name = self.voters[index].name.clone();
        for peer in 0..self.voters.len() {
            if peer == index || self.voters[peer].voter.is_none() {
                continue;
            }
            let peer_name = self.voters[peer].name.clone();
            self.voters[peer].discard_stream(&name);
            self.voters[peer]
                .inputs
                .push(Input::PeerConnected(name.clone()));
            self.voters[index]
                .inputs
                .push(Input::PeerConnected(peer_name));
        }
    }

    pub fn send_input(&mut self, index: usize, input: Input) {
        self.voters[index].inputs.push(input);
    }

    /// The fencing token, if this voter holds the lease now.
    pub fn valid_token(&self, index: usize) -> Option<u64> {
        self.voters[index].valid_token(self.now)
    }

    pub fn is_lease_held(&self) -> bool {
        (0..self.voters.len()).any(|index| self.valid_token(index).is_some())
    }

    pub fn status(&self, index: usize) -> VoterStatus {
        let voter = self.voters[index].voter.as_ref();
        voter.expect("the voter is running").status().clone()
    }

    /// Number of voters with the status `Voting`.
    pub fn voting_count(&self) -> usize {
        let statuses = self.voters.iter().filter_map(|simulated| {
            let voter = simulated.voter.as_ref()?;
            Some(voter.status())
        });
        statuses
            .filter(|status| **status == VoterStatus::Voting)
            .count()
    }

    pub fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for index in 0..self.voters.len() {
                self.step_voter(index);
            }
            self.check_safety();
        }
    }

    /// The longest time without an executed command, from `start` on.
    pub fn longest_gap(&self, start: f64) -> f64 {
        let mut longest: f64 = 0.0;
        let mut last = start;
        for command in &self.safety.executed {
            if command.at >= start {
                longest = longest.max(command.at - last);
                last = command.at;
            }
        }
        longest.max(self.now - last)
    }

    /// When the last command was executed.
    pub fn last_execution_at(&self) -> f64 {
        let last = self.safety.executed.last();
        last.map_or(f64::NEG_INFINITY, |command| command.at)
    }

    /// The first violations and the trace of the run, reported when an assertion fails.
    pub fn describe(&self) -> String {
        let violations: Vec<String> = self.safety.violations.iter().take(3).cloned().collect();
        format!("{violations:?}\n{}", self.trace.join("\n"))
    }
}
