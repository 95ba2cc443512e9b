//! Streams between the voters. Messages arrive in order and with a random delay; a partition loses the whole stream.

use super::Simulation;
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};
use tidespur_coordination::{Input, Output, PeerMessage};

/// Indices of the sender and the receiver.
type Direction = (usize, usize);

struct InFlightMessage {
    arrives_at: f64,
    message: PeerMessage,
}

#[derive(Default)]
pub struct Network {
    /// Messages in transit, in the order in which they were sent.
    in_flight: BTreeMap<Direction, VecDeque<InFlightMessage>>,
    /// When each partition of a direction ends.
    partitions: BTreeMap<Direction, f64>,
    /// Number of delivered messages.
    pub messages: u64,
    /// Encoded size of the delivered messages.
    pub bytes: u64,
}

impl Network {
    pub fn partition(&mut self, direction: Direction, until: f64) {
        self.partitions.insert(direction, until);
        self.in_flight.remove(&direction);
    }

    /// Drops the messages in transit from and to this voter.
    pub fn disconnect(&mut self, index: usize) {
        self.in_flight
            .retain(|(from, to), _| *from != index && *to != index);
    }

    /// Ends all partitions at the next step.
    pub fn heal(&mut self) {
        for until in self.partitions.values_mut() {
            *until = 0.0;
        }
    }

    fn take_healed(&mut self, now: f64) -> Vec<Direction> {
        let healed: Vec<Direction> = self
            .partitions
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(direction, _)| *direction)
            .collect();
        for direction in &healed {
            self.partitions.remove(direction);
        }
        healed
    }
}

impl Simulation {
    pub fn deliver(&mut self) {
        for (from, to) in self.network.take_healed(self.now) {
            self.reconnect(from, to);
            self.reconnect(to, from);
        }
        let network = &mut self.network;
        for (&(from, to), queue) in &mut network.in_flight {
            let sender = self.voters[from].name.clone();
            while queue
                .front()
                .is_some_and(|message| message.arrives_at <= self.now)
            {
                let Some(InFlightMessage { message, .. }) = queue.pop_front() else {
                    break;
                };
                network.messages += 1;
                network.bytes +=
                    postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len() as u64);
                let receiver = &mut self.voters[to];
                if receiver.voter.is_some() {
                    receiver
                        .inputs
                        .push(Input::MessageReceived(sender.clone(), message));
                }
            }
        }
    }

    /// Re-establishes the stream to `peer` at this voter's end. Messages in transit or waiting to be sent are lost.
    fn reconnect(&mut self, index: usize, peer: usize) {
        self.network.in_flight.remove(&(index, peer));
        let peer_name = self.voters[peer].name.clone();
        let voter = &mut self.voters[index];
        voter.discard_stream(&peer_name);
        voter.inputs.push(Input::PeerConnected(peer_name));
    }

    pub fn send(&mut self, from: usize, output: Output) {
        let Output::Send(to, message) = output else {
            return;
        };
        let to: usize = to["edge-".len()..].parse().unwrap();
        if self.network.partitions.contains_key(&(from, to)) {
            return;
        }
        let queue = self.network.in_flight.entry((from, to)).or_default();
        let last_arrives_at = queue.back().map_or(0.0, |last| last.arrives_at);
        let arrives_at = self.now + self.rng.random_range(0.000_5..0.02);
        queue.push_back(InFlightMessage {
            arrives_at: f64::max(last_arrives_at, arrives_at),
            message,
        });
    }
}
