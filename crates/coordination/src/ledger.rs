//! One voter: words and time in, batches, words and news out.

use crate::leases::Leases;
use crate::{
    Entry, Input, Log, LogPosition, Output, PeerMessage, ReplicatedState, Seconds, Settings,
    SettingsError, VoterStatus,
};
use omnipaxos::OmniPaxos;
use omnipaxos::util::NodeId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tidespur_persistence::{Batch, LoadedRecords};

mod agree;
mod talk;

use agree::config;

/// The agreement's clock ticks this often;
const TICK: Seconds = 0.1;
/// it looks for a leader every so many ticks,
const ELECTION: u64 = 4;
/// and says again what was not answered every so many.
const RESEND: u64 = 10;
/// Voters are told how far this one is this often.
const HERE: Seconds = 0.5;
/// An operator's word that is not in the log yet is proposed again after this.
const AGAIN: Seconds = 1.0;
/// The log is folded beyond so many entries.
const FOLD: usize = 256;
/// Entries that wait for the disk of a voter that is alone; more are dropped, as leases ask again by themselves.
const WAITING_MOST: usize = 1_024;
const MARK: &str = "ledger.mark";
const LIFE: &str = "ledger.life";

/// A voter.
pub struct Voter {
    settings: Settings,
    own: LogPosition,
    log: Log,
    agreement: Option<OmniPaxos<Entry, Log>>,
    standing: VoterStatus,
    confirmed: BTreeSet<String>,
    /// How far the other voters are known to be.
    known: BTreeMap<String, LogPosition>,
    /// Voters that are not as far as they are known, and how far they say that they are.
    asking: BTreeMap<String, LogPosition>,
    /// Those that an operator wants taken in again, and when that was last proposed.
    readmits: BTreeMap<String, Seconds>,
    state: ReplicatedState,
    applied: usize,
    leases: Leases,
    /// With one voter: entries that wait for the disk, and the batch that they wait for.
    waiting: VecDeque<(u64, Entry)>,
    batches: u64,
    safe: u64,
    batch: Batch,
    tick_at: Seconds,
    here_at: Seconds,
    leader: Option<String>,
}

impl Voter {
    /// A voter as an earlier process left it. It does not vote before others have said that they know no more of it.
    ///
    /// # Errors
    /// [`SettingsError`], or a record that can't be read.
    pub fn new(settings: Settings, memory: &LoadedRecords, now: Seconds) -> Result<Self, String> {
        settings.check().map_err(|e| e.to_string())?;
        if settings.voters.len() > 1 {
            let refused = |e: omnipaxos::errors::ConfigError| {
                SettingsError::Consensus(e.to_string()).to_string()
            };
            config(&settings).validate().map_err(refused)?;
        }
        let log = Log::load(memory)?;
        let mut known = BTreeMap::new();
        for (voter, bytes) in memory.records_of_kind(MARK) {
            let mark = serde_json::from_slice(bytes);
            let mark = mark
                .map_err(|e| format!("the memory's record {MARK} {voter:?} can't be read: {e}"))?;
            known.insert(voter.to_owned(), mark);
        }
        let life = memory
            .records_of_kind(LIFE)
            .next()
            .and_then(|(_, bytes)| std::str::from_utf8(bytes).ok()?.parse().ok());
        let life = life.unwrap_or(0);
        let start = settings.start;
        let mut own = LogPosition {
            begun: memory.created_at,
            turn: memory.generation,
            start,
            life,
            ..LogPosition::default()
        };
        own.read(&log);
        let mut ledger = Self {
            settings,
            own,
            log,
            agreement: None,
            standing: VoterStatus::Verifying(0),
            confirmed: BTreeSet::new(),
            known,
            asking: BTreeMap::new(),
            readmits: BTreeMap::new(),
            state: ReplicatedState::default(),
            applied: 0,
            leases: Leases::default(),
            waiting: VecDeque::new(),
            batches: 0,
            safe: 0,
            batch: Batch::default(),
            tick_at: now,
            here_at: now,
            leader: None,
        };
        if ledger.settings.voters.len() == 1 {
            ledger.standing = VoterStatus::Voting;
            ledger.state = ledger.log.whole();
            ledger.leader = Some(ledger.settings.own.clone());
        }
        Ok(ledger)
    }

    /// Whether this process may act now under a lease, and with which token: to be asked at the moment of the act.
    pub fn valid_token(&self, now: Seconds, lease: &str) -> Option<u64> {
        self.leases.may_act(now, lease)
    }

    /// What the log says, as far as it was read here.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Whether this voter votes.
    pub fn status(&self) -> &VoterStatus {
        &self.standing
    }

    /// Who leads, as far as is known here.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Voters that are not as far as they are known to have been, and wait for an operator's word.
    pub fn voters_awaiting_readmission(&self) -> impl Iterator<Item = &str> {
        self.asking.keys().map(String::as_str)
    }

    /// When to step next though nothing happens.
    pub fn next_wake(&self) -> Seconds {
        self.tick_at
    }

    /// Takes in `inputs`, all of time `now`, and appends what is to be done, in the order in which it is to be done.
    pub fn step(
        &mut self,
        now: Seconds,
        inputs: impl IntoIterator<Item = Input>,
        out: &mut Vec<Output>,
    ) {
        let mut says = Vec::new();
        for input in inputs {
            self.take(now, input, &mut says, out);
        }
        if now >= self.tick_at {
            // One tick, however long it stood still: others' words are read before it gives anybody up.
            self.tick_at = now + TICK;
            if let Some(agreement) = &mut self.agreement {
                agreement.tick();
            }
            let (entries, ran_out) = self.leases.due(now, &self.state, &self.settings);
            out.extend(ran_out.into_iter().map(Output::LeaseLost));
            entries.into_iter().for_each(|entry| self.propose(entry));
            self.readmit(now);
        }
        self.go_on(now, out);
        if now >= self.here_at {
            self.here_at = now + HERE;
            let mark = self.mark();
            says.extend(
                self.others()
                    .map(|voter| (voter, PeerMessage::Position(mark))),
            );
        }
        self.agreed(&mut says);
        let mut batch = std::mem::take(&mut self.batch);
        batch.extend(self.log.take_batch());
        if !batch.is_empty() {
            self.batches += 1;
            out.push(Output::Persist(self.batches, batch));
        }
        out.extend(
            says.into_iter()
                .map(|(voter, word)| Output::Send(voter, word)),
        );
    }

    fn others(&self) -> impl Iterator<Item = String> {
        self.settings
            .voters
            .iter()
            .filter(|voter| **voter != self.settings.own)
            .cloned()
    }

    fn pid(&self, voter: &str) -> Option<NodeId> {
        self.settings
            .voters
            .iter()
            .position(|name| name == voter)
            .map(|at| at as NodeId + 1)
    }

    fn mark(&self) -> LogPosition {
        let mut mark = self.own;
        mark.read(&self.log);
        mark
    }
}
