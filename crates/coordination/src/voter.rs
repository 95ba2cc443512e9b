//! The state machine of one voter. Its inputs are messages, commands and the time; its outputs are batches to write,
//! messages to send and events. Owns the log, the consensus protocol and the leases. Driven by the event loop of
//! `tidespur-coordination-net`.

use crate::leases::Leases;
use crate::{
    Entry, Input, Log, LogPosition, Output, PeerMessage, ReplicatedState, Seconds, Settings,
    SettingsError, VoterError, VoterStatus,
};
use omnipaxos::OmniPaxos;
use omnipaxos::util::NodeId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tidespur_persistence::{Batch, LoadedRecords};

mod consensus;
mod peer_messages;
mod stored_fields;

use consensus::consensus_config;
use stored_fields::{load_incarnation, load_positions};

/// Length of a tick of the consensus protocol.
const TICK_INTERVAL: Seconds = 0.1;
/// Interval at which the position is announced to the other voters.
const ANNOUNCEMENT_INTERVAL: Seconds = 0.5;
/// Time after which a readmission that is not in the log yet is proposed again.
const READMISSION_RETRY_INTERVAL: Seconds = 1.0;

/// A message to another voter.
struct OutgoingMessage {
    to: String,
    message: PeerMessage,
}

/// An entry of a single voter, which is decided once its batch is synced to disk.
struct UnsyncedEntry {
    batch: u64,
    entry: Entry,
}

/// The state machine of a voter.
pub struct Voter {
    settings: Settings,
    /// This voter's store and incarnation. The fields that derive from the log are current only in the announced
    /// copies.
    own_position: LogPosition,
    log: Log,
    /// `None` until this voter may vote, and always for a single voter, which needs no consensus.
    consensus: Option<OmniPaxos<Entry, Log>>,
    status: VoterStatus,
    /// Names of the voters that have confirmed that they know no later position of this one.
    confirmed_by: BTreeSet<String>,
    /// The latest known position of each other voter.
    known_positions: BTreeMap<String, LogPosition>,
    /// Voters that fell behind their known position and wait for an operator, with the position that they announced
    /// last.
    awaiting_readmission: BTreeMap<String, LogPosition>,
    /// Readmissions that operators requested and that are not in the log yet: when each was last proposed, by voter.
    pending_readmissions: BTreeMap<String, Seconds>,
    state: ReplicatedState,
    /// Number of entries that were applied to `state`; not used by a single voter.
    applied: usize,
    leases: Leases,
    /// Entries of a single voter that are not synced to disk yet.
    unsynced: VecDeque<UnsyncedEntry>,
    last_batch: u64,
    synced_batch: u64,
    batch: Batch,
    next_tick_at: Seconds,
    next_announcement_at: Seconds,
    leader: Option<String>,
}

impl Voter {
    /// Creates a voter from what an earlier process stored. It does not vote before it and the voters that confirm its
    /// position are a majority.
    ///
    /// # Errors
    /// If the settings are invalid, or the stored state can't be loaded.
    pub fn new(
        settings: Settings,
        loaded: &LoadedRecords,
        now: Seconds,
    ) -> Result<Self, VoterError> {
        settings.check()?;
        let is_single = settings.voters.len() == 1;
        if !is_single {
            consensus_config(&settings)
                .validate()
                .map_err(|error| SettingsError::Consensus(error.to_string()))?;
        }
        let log = Log::load(loaded)?;
        let mut own_position = LogPosition {
            store_created_at: loaded.created_at,
            generation: loaded.generation,
            start_nonce: settings.start_nonce,
            incarnation: load_incarnation(loaded),
            ..LogPosition::default()
        };
        own_position.update(&log);
        let mut voter = Self {
            settings,
            own_position,
            log,
            consensus: None,
            status: VoterStatus::Verifying(0),
            confirmed_by: BTreeSet::new(),
            known_positions: load_positions(loaded)?,
            awaiting_readmission: BTreeMap::new(),
            pending_readmissions: BTreeMap::new(),
            state: ReplicatedState::default(),
            applied: 0,
            leases: Leases::default(),
            unsynced: VecDeque::new(),
            last_batch: 0,
            synced_batch: 0,
            batch: Batch::default(),
            next_tick_at: now,
            next_announcement_at: now,
            leader: None,
        };
        if is_single {
            voter.status = VoterStatus::Voting;
            voter.state = voter.log.replay();
            voter.leader = Some(voter.settings.name.clone());
        }
        Ok(voter)
    }

    /// The fencing token, if this process holds the lease at `now`. Callers must check it immediately before they act
    /// as the holder.
    pub fn valid_token(&self, now: Seconds, lease: &str) -> Option<u64> {
        self.leases.valid_token(now, lease)
    }

    /// The state after all entries that this voter has applied. It may lag behind other voters.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Whether this voter votes, and why if it does not.
    pub fn status(&self) -> &VoterStatus {
        &self.status
    }

    /// Name of the leader that this voter knows; `None` if it knows none.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Names of the voters that fell behind their known position and wait for an operator to readmit them.
    pub fn voters_awaiting_readmission(&self) -> impl Iterator<Item = &str> {
        self.awaiting_readmission.keys().map(String::as_str)
    }

    /// Time at which [`Voter::step`] is due even without an input.
    pub fn next_wake(&self) -> Seconds {
        self.next_tick_at
    }

    /// Handles `inputs` at the time `now`, and appends the outputs in the order in which they must be executed.
    pub fn step(
        &mut self,
        now: Seconds,
        inputs: impl IntoIterator<Item = Input>,
        outputs: &mut Vec<Output>,
    ) {
        let mut messages = Vec::new();
        for input in inputs {
            self.handle_input(now, input, &mut messages, outputs);
        }
        if now >= self.next_tick_at {
            self.tick(now, outputs);
        }
        self.apply_decided(now, outputs);
        if now >= self.next_announcement_at {
            self.next_announcement_at = now + ANNOUNCEMENT_INTERVAL;
            self.announce_position(&mut messages);
        }
        self.take_consensus_messages(&mut messages);
        self.take_batch(outputs);
        for outgoing in messages {
            outputs.push(Output::Send(outgoing.to, outgoing.message));
        }
    }

    fn tick(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        // Missed ticks are skipped: after a suspension, the process first handles the messages that the other voters
        // have sent before it suspects one of them.
        self.next_tick_at = now + TICK_INTERVAL;
        if let Some(consensus) = &mut self.consensus {
            consensus.tick();
        }
        let expired = self.leases.expire(now);
        let requests = self.leases.due_requests(now, &self.state, &self.settings);
        outputs.extend(expired.into_iter().map(Output::LeaseLost));
        for request in requests {
            self.propose(request);
        }
        self.propose_readmissions(now);
    }

    fn announce_position(&self, messages: &mut Vec<OutgoingMessage>) {
        let mut position = self.own_position;
        position.update(&self.log);
        for voter in &self.settings.voters {
            if *voter != self.settings.name {
                messages.push(OutgoingMessage {
                    to: voter.clone(),
                    message: PeerMessage::Position(position),
                });
            }
        }
    }

    fn take_batch(&mut self, outputs: &mut Vec<Output>) {
        let mut batch = std::mem::take(&mut self.batch);
        batch.extend(self.log.take_batch());
        if !batch.is_empty() {
            self.last_batch += 1;
            outputs.push(Output::Persist(self.last_batch, batch));
        }
    }

    /// Id of a voter in the consensus library; `None` if the settings do not list it.
    fn node_id(&self, voter: &str) -> Option<NodeId> {
        let index = self.settings.voters.iter().position(|name| name == voter)?;
        Some(index as NodeId + 1)
    }

    /// Name of the voter with this id in the consensus library.
    fn voter_name(&self, node_id: NodeId) -> Option<&String> {
        self.settings.voters.get((node_id as usize).checked_sub(1)?)
    }
}
