//! Handles inputs: messages from other voters, and commands from the process and from operators. Decides which voters
//! may vote.

use super::{OutgoingMessage, READMISSION_RETRY_INTERVAL, Voter};
use crate::{Entry, Input, KnownPosition, LogPosition, Output, PeerMessage, Seconds, VoterStatus};
use omnipaxos::messages::Message;

impl Voter {
    pub(super) fn handle_input(
        &mut self,
        now: Seconds,
        input: Input,
        messages: &mut Vec<OutgoingMessage>,
        outputs: &mut Vec<Output>,
    ) {
        match input {
            Input::MessageReceived(from, message) => {
                self.handle_message(from, message, messages, outputs);
            }
            Input::PeerConnected(voter) => self.handle_peer_connected(now, &voter),
            Input::AcquireLease(lease) => self.leases.acquire(lease),
            Input::ReleaseLease(lease) => {
                if let Some(entry) = self.leases.release(&lease) {
                    outputs.push(Output::LeaseLost(lease));
                    self.propose(entry);
                }
            }
            Input::BatchSynced(batch) => self.synced_batch = self.synced_batch.max(batch),
            Input::Put { lease, key, value } => {
                if let Some(token) = self.leases.valid_token(now, &lease) {
                    self.propose(Entry::Put {
                        lease,
                        token,
                        key,
                        value,
                    });
                }
            }
            Input::ReadmitVoter(voter) => {
                // Proposed at the next tick, and repeated until it is in the log.
                self.pending_readmissions.insert(voter, f64::NEG_INFINITY);
            }
        }
    }

    fn handle_peer_connected(&mut self, now: Seconds, voter: &str) {
        self.next_announcement_at = now;
        let node_id = self.node_id(voter);
        if let (Some(consensus), Some(node_id)) = (&mut self.consensus, node_id) {
            consensus.reconnected(node_id);
        }
    }

    fn handle_message(
        &mut self,
        from: String,
        message: PeerMessage,
        messages: &mut Vec<OutgoingMessage>,
        outputs: &mut Vec<Output>,
    ) {
        if self.node_id(&from).is_none() || from == self.settings.name {
            return;
        }
        match message {
            PeerMessage::Position(position) => {
                let reply = self.handle_position(&from, position);
                messages.push(OutgoingMessage {
                    to: from,
                    message: PeerMessage::KnownPosition(reply),
                });
            }
            PeerMessage::KnownPosition(known) => self.handle_known_position(from, known, outputs),
            PeerMessage::Consensus(message) => self.handle_consensus_message(&from, *message),
            PeerMessage::Heartbeat => {}
        }
    }

    /// Compares the announced position of another voter with its known position; returns the reply.
    fn handle_position(&mut self, voter: &str, position: LogPosition) -> KnownPosition {
        let known = self.known_positions.get(voter).copied();
        // A readmission holds for the store that the operator readmitted, from that generation on. The reply contains
        // the new incarnation, which the voter announces from then on.
        let readmission = self.state.readmissions.get(voter).filter(|readmission| {
            readmission.store_created_at == position.store_created_at
                && position.generation >= readmission.generation
        });
        let incarnation = readmission.map_or(0, |readmission| readmission.incarnation);
        let known_incarnation = known.map_or(0, |known| known.incarnation);
        let follows = known.is_none_or(|known| position.follows(&known))
            && position.incarnation <= incarnation.max(known_incarnation);
        let may_vote = follows || incarnation > position.incarnation;
        let min_promise = readmission
            .and_then(|readmission| readmission.min_promise)
            .max(self.log.promise());
        if follows {
            self.store_position(voter, position);
        }
        if may_vote {
            self.awaiting_readmission.remove(voter);
        } else {
            self.awaiting_readmission.insert(voter.to_owned(), position);
        }
        KnownPosition {
            position: known,
            may_vote,
            min_promise,
            incarnation,
        }
    }

    /// Handles the reply of another voter to the position of this one.
    fn handle_known_position(
        &mut self,
        from: String,
        known: KnownPosition,
        outputs: &mut Vec<Output>,
    ) {
        if self.status == VoterStatus::Voting {
            // The disk can't have been restored to an older state while the process runs: either the reply refers to an
            // outdated position, or another process uses this name.
            return;
        }
        if !known.may_vote {
            if let (VoterStatus::Verifying(_), Some(position)) = (&self.status, known.position) {
                self.confirmed_by.clear();
                let status = VoterStatus::Quarantined {
                    by: from,
                    known: position,
                };
                self.set_status(status, outputs);
            }
            return;
        }
        if known.incarnation > self.own_position.incarnation {
            self.own_position.incarnation = known.incarnation;
            self.store_incarnation();
        }
        // Renews a promise that this voter may have made and lost. A promise that is too high does no harm.
        self.log.raise_promise(known.min_promise);
        self.confirmed_by.insert(from);
        // This voter and half of the voters (rounded down) are a majority.
        if self.confirmed_by.len() >= self.settings.voters.len() / 2 {
            self.start_consensus();
            self.set_status(VoterStatus::Voting, outputs);
        } else if matches!(self.status, VoterStatus::Verifying(_)) {
            self.set_status(VoterStatus::Verifying(self.confirmed_by.len()), outputs);
        }
    }

    fn handle_consensus_message(&mut self, from: &str, message: Message<Entry>) {
        // The library trusts the sender and receiver in a message, so they are checked against the stream's peer and
        // this voter.
        let is_from_peer = Some(message.get_sender()) == self.node_id(from);
        let is_to_this_voter = Some(message.get_receiver()) == self.node_id(&self.settings.name);
        if !is_from_peer || !is_to_this_voter || self.awaiting_readmission.contains_key(from) {
            return;
        }
        if let Some(consensus) = &mut self.consensus {
            consensus.handle_incoming(message);
        }
    }

    /// Proposes the readmissions that operators have requested and that are not in the log yet.
    pub(super) fn propose_readmissions(&mut self, now: Seconds) {
        self.pending_readmissions
            .retain(|voter, _| self.awaiting_readmission.contains_key(voter));
        let mut entries = Vec::new();
        for (voter, proposed_at) in &mut self.pending_readmissions {
            if now < *proposed_at + READMISSION_RETRY_INTERVAL {
                continue;
            }
            *proposed_at = now;
            // The voter is readmitted at the position that it announced last.
            let Some(position) = self.awaiting_readmission.get(voter) else {
                continue;
            };
            let known_promise = self
                .known_positions
                .get(voter)
                .and_then(|known| known.promise);
            entries.push(Entry::Readmit {
                voter: voter.clone(),
                store_created_at: position.store_created_at,
                generation: position.generation,
                min_promise: known_promise.max(self.log.promise()),
            });
        }
        for entry in entries {
            self.propose(entry);
        }
    }

    fn set_status(&mut self, status: VoterStatus, outputs: &mut Vec<Output>) {
        if self.status != status {
            self.status = status.clone();
            outputs.push(Output::StatusChanged(status));
        }
    }
}
