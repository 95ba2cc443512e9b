//! Fault injection: killed and suspended processes, partitions and slow disks.

use super::Simulation;
use super::simulated_voter::WRITE_LATENCY;
use rand::Rng;

impl Simulation {
    /// Kills the process of a voter, which loses its streams and all unsynced data.
    pub fn kill(&mut self, index: usize) {
        self.voters[index].kill();
        self.network.disconnect(index);
        self.log(&format!("{index} is killed"));
    }

    /// Blocks the messages from one voter to another, in this direction only.
    pub fn partition(&mut self, from: usize, to: usize, seconds: f64) {
        self.network.partition((from, to), self.now + seconds);
        self.log(&format!("{from} to {to} is partitioned for {seconds:.1} s"));
    }

    pub fn suspend(&mut self, index: usize, seconds: f64) {
        self.voters[index].suspended_until = self.now + seconds;
        self.log(&format!("{index} is suspended for {seconds:.1} s"));
    }

    /// Injects random faults for this time, then ends all of them.
    pub fn inject_faults(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            let pause = self.rng.random_range(0.2..3.0);
            self.run(pause);
            self.inject_fault();
            if self.rng.random_bool(0.6) {
                self.start_killed();
            }
        }
        self.start_killed();
        for voter in &mut self.voters {
            voter.suspended_until = 0.0;
            voter.write_latency = WRITE_LATENCY;
        }
        self.network.heal();
    }

    fn inject_fault(&mut self) {
        let index = self.rng.random_range(0..self.voters.len());
        let peer = self.rng.random_range(0..self.voters.len());
        let seconds = self.rng.random_range(0.1..8.0);
        match self.rng.random_range(0..7) {
            0 if self.voters[index].voter.is_some() => self.kill(index),
            1 | 2 if index != peer => {
                self.partition(index, peer, seconds);
                if self.rng.random_bool(0.6) {
                    self.partition(peer, index, seconds);
                }
            }
            3 => self.suspend(index, seconds),
            4 => self.voters[index].write_latency = self.rng.random_range(0.001..0.3),
            5 if self.rng.random_bool(0.3) => {
                for index in 0..self.voters.len() {
                    self.kill(index);
                }
            }
            _ => {}
        }
    }

    fn start_killed(&mut self) {
        for index in 0..self.voters.len() {
            if self.voters[index].voter.is_none() {
                self.start(index);
            }
        }
    }
}
