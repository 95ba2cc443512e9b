//! A simulated voter with its disk and clock.

use super::{LEASE, Simulation};
use rand::Rng;
use std::collections::VecDeque;
use tidespur_coordination::{Input, Output, Voter};
use tidespur_persistence::{Batch, LoadedRecords};

/// Duration of a disk write without faults, in seconds.
pub const WRITE_LATENCY: f64 = 0.004;

/// A batch that is being written.
struct PendingWrite {
    /// When it is synced to disk.
    done_at: f64,
    number: u64,
    batch: Batch,
}

pub struct SimulatedVoter {
    pub name: String,
    /// The running process; `None` after it was killed.
    pub voter: Option<Voter>,
    /// The synced records.
    pub disk: LoadedRecords,
    pending_writes: VecDeque<PendingWrite>,
    /// Outputs that wait until the batch of this number is synced.
    outbox: VecDeque<(u64, Output)>,
    pub inputs: Vec<Input>,
    clock_rate: f64,
    clock_offset: f64,
    /// The process is suspended until then.
    pub suspended_until: f64,
    pub write_latency: f64,
}

impl SimulatedVoter {
    pub fn new(index: usize, drift: f64, rng: &mut impl Rng) -> Self {
        Self {
            name: format!("edge-{index}"),
            voter: None,
            disk: LoadedRecords {
                created_at: 1_000 + index as u64,
                ..LoadedRecords::default()
            },
            pending_writes: VecDeque::new(),
            outbox: VecDeque::new(),
            inputs: vec![],
            clock_rate: 1.0 + rng.random_range(-drift..=drift),
            clock_offset: rng.random_range(0.0..1e6),
            suspended_until: 0.0,
            write_latency: WRITE_LATENCY,
        }
    }

    /// The time of this voter's clock at the simulated time `now`.
    pub fn local_time(&self, now: f64) -> f64 {
        now * self.clock_rate + self.clock_offset
    }

    pub fn valid_token(&self, now: f64) -> Option<u64> {
        if now < self.suspended_until {
            return None;
        }
        let voter = self.voter.as_ref()?;
        voter.valid_token(self.local_time(now), LEASE)
    }

    /// Ends the process, which loses all unsynced data.
    pub fn kill(&mut self) {
        self.voter = None;
        self.pending_writes.clear();
        self.outbox.clear();
        self.inputs.clear();
    }

    /// Discards the messages that wait to be sent to this peer, and those received from it but not yet handled.
    pub fn discard_stream(&mut self, peer: &str) {
        self.outbox
            .retain(|(_, output)| !matches!(output, Output::Send(to, _) if to == peer));
        self.inputs
            .retain(|input| !matches!(input, Input::MessageReceived(from, _) if from == peer));
    }

    /// Applies the completed writes to the disk; returns their number and the messages that may be sent now.
    fn complete_writes(&mut self, now: f64) -> (u64, Vec<Output>) {
        let mut syncs = 0;
        let mut released = Vec::new();
        while self
            .pending_writes
            .front()
            .is_some_and(|write| write.done_at <= now)
        {
            let Some(write) = self.pending_writes.pop_front() else {
                break;
            };
            syncs += 1;
            for (record, value) in write.batch.changes() {
                match value {
                    Some(value) => drop(self.disk.records.insert(record.clone(), value.to_vec())),
                    None => drop(self.disk.records.remove(record)),
                }
            }
            self.inputs.push(Input::BatchSynced(write.number));
            while self
                .outbox
                .front()
                .is_some_and(|(batch, _)| *batch <= write.number)
            {
                released.extend(self.outbox.pop_front().map(|(_, output)| output));
            }
        }
        (syncs, released)
    }

    fn start_write(&mut self, now: f64, number: u64, batch: Batch) {
        let last_done_at = self.pending_writes.back().map_or(now, |last| last.done_at);
        self.pending_writes.push_back(PendingWrite {
            done_at: last_done_at + self.write_latency,
            number,
            batch,
        });
    }
}

impl Simulation {
    /// Runs one iteration of the event loop of a voter.
    pub fn step_voter(&mut self, index: usize) {
        if self.now < self.voters[index].suspended_until || self.voters[index].voter.is_none() {
            return;
        }
        let (syncs, released) = self.voters[index].complete_writes(self.now);
        self.syncs += syncs;
        for output in released {
            self.send(index, output);
        }
        let now = self.voters[index].local_time(self.now);
        let inputs = std::mem::take(&mut self.voters[index].inputs);
        let mut outputs = Vec::new();
        if let Some(voter) = &mut self.voters[index].voter {
            voter.step(now, inputs, &mut outputs);
        }
        for output in outputs {
            self.handle_output(index, output);
        }
    }

    fn handle_output(&mut self, index: usize, output: Output) {
        match output {
            Output::Persist(number, batch) => {
                let now = self.now;
                self.voters[index].start_write(now, number, batch);
            }
            Output::Send(..) => {
                let last_write = self.voters[index].pending_writes.back();
                match last_write.map(|write| write.number) {
                    Some(number) => self.voters[index].outbox.push_back((number, output)),
                    None => self.send(index, output),
                }
            }
            Output::LeaseAcquired(_, token) => {
                self.log(&format!("{index} acquired token {token}"));
                let voter = &self.voters[index];
                let process = format!("{} {}", voter.name, voter.disk.generation);
                self.safety.record_holder(token, &process);
            }
            Output::LeaseLost(_) | Output::LeaderChanged(_) => {}
            Output::StatusChanged(status) => self.log(&format!("{index} changed to {status:?}")),
        }
    }
}
