//! Runs the consensus protocol of a voter: proposes entries, applies decided ones and compacts the log.

use super::{OutgoingMessage, UnsyncedEntry, Voter};
use crate::{Entry, Output, PeerMessage, Seconds, Settings};
use omnipaxos::storage::Storage;
use omnipaxos::util::{LogEntry, NodeId};
use omnipaxos::{ClusterConfig, OmniPaxosConfig, ServerConfig};

/// Ticks between two rounds of the leader election.
const ELECTION_TICKS: u64 = 4;
/// Ticks after which an unanswered message is sent again.
const RESEND_TICKS: u64 = 10;
/// Number of stored entries at which the log is compacted.
const MIN_COMPACTION_ENTRIES: usize = 256;
/// Entries of a single voter that may wait for the disk. Further ones are dropped; requests for leases are repeated.
const MAX_UNSYNCED_ENTRIES: usize = 1_024;

impl Voter {
    /// Starts participating in the consensus protocol.
    pub(super) fn start_consensus(&mut self) {
        // Can't fail: the configuration was validated when the voter was created.
        if let Ok(consensus) = consensus_config(&self.settings).build(self.log.clone()) {
            self.consensus = Some(consensus);
        }
    }

    /// Proposes an entry. It is lost if there is no leader; callers must repeat it until it is applied.
    pub(super) fn propose(&mut self, entry: Entry) {
        if self.settings.voters.len() == 1 {
            if self.unsynced.len() < MAX_UNSYNCED_ENTRIES
                && self.log.append_entry(entry.clone()).is_ok()
            {
                self.unsynced.push_back(UnsyncedEntry {
                    batch: self.last_batch + 1,
                    entry,
                });
            }
            return;
        }
        if let Some(consensus) = &mut self.consensus {
            // The library rejects entries only during a reconfiguration, and the log never reconfigures the voters.
            drop(consensus.append(entry));
        }
    }

    /// Applies the entries decided since the last call, and appends the resulting changes of leases and of the leader.
    pub(super) fn apply_decided(&mut self, now: Seconds, outputs: &mut Vec<Output>) {
        let has_synced = self.apply_synced_entries();
        let has_decided = self.apply_decided_entries();
        if has_synced || has_decided {
            let changes = self.leases.update(now, &self.state, &self.settings);
            outputs.extend(changes.lost.into_iter().map(Output::LeaseLost));
            for acquired in changes.acquired {
                outputs.push(Output::LeaseAcquired(acquired.name, acquired.token));
            }
            self.compact_log();
        }
        self.report_leader(outputs);
    }

    /// Applies the entries of a single voter that are synced to disk; returns whether any changed the state.
    fn apply_synced_entries(&mut self) -> bool {
        let mut is_changed = false;
        while let Some(unsynced) = self.unsynced.front() {
            if unsynced.batch > self.synced_batch {
                break;
            }
            is_changed |= self.state.apply(&unsynced.entry);
            self.unsynced.pop_front();
        }
        is_changed
    }

    /// Applies the entries that the consensus protocol has decided; returns whether there were any.
    fn apply_decided_entries(&mut self) -> bool {
        let Some(consensus) = &self.consensus else {
            return false;
        };
        let Some(decided) = consensus.read_decided_suffix(self.applied) else {
            return false;
        };
        let mut is_changed = false;
        for entry in decided {
            let LogEntry::Decided(entry) = entry else {
                break;
            };
            self.state.apply(&entry);
            self.applied += 1;
            is_changed = true;
        }
        is_changed
    }

    fn report_leader(&mut self, outputs: &mut Vec<Output>) {
        let Some(consensus) = &self.consensus else {
            return;
        };
        let leader = consensus
            .get_current_leader()
            .and_then(|(node_id, _)| self.voter_name(node_id))
            .cloned();
        if leader != self.leader {
            self.leader.clone_from(&leader);
            outputs.push(Output::LeaderChanged(leader));
        }
    }

    fn compact_log(&mut self) {
        if !self.unsynced.is_empty() || self.log.stored_len() < MIN_COMPACTION_ENTRIES {
            return;
        }
        let end = if self.consensus.is_some() {
            self.applied
        } else {
            self.log.len()
        };
        self.log.compact(end, &self.state);
    }

    /// Moves the outgoing messages of the consensus protocol to `messages`.
    pub(super) fn take_consensus_messages(&mut self, messages: &mut Vec<OutgoingMessage>) {
        let Some(consensus) = &mut self.consensus else {
            return;
        };
        let mut outgoing = Vec::new();
        consensus.take_outgoing_messages(&mut outgoing);
        for message in outgoing {
            if let Some(voter) = self.voter_name(message.get_receiver()) {
                messages.push(OutgoingMessage {
                    to: voter.clone(),
                    message: PeerMessage::Consensus(Box::new(message)),
                });
            }
        }
    }
}

/// Configuration of the consensus library, in which the voters have the ids 1, 2, ... in the order of the settings.
pub(super) fn consensus_config(settings: &Settings) -> OmniPaxosConfig {
    let index = settings
        .voters
        .iter()
        .position(|name| *name == settings.name)
        .unwrap_or(0);
    OmniPaxosConfig {
        cluster_config: ClusterConfig {
            configuration_id: 1,
            nodes: (1..=settings.voters.len() as NodeId).collect(),
            flexible_quorum: None,
        },
        server_config: ServerConfig {
            pid: index as NodeId + 1,
            election_tick_timeout: ELECTION_TICKS,
            resend_message_tick_timeout: RESEND_TICKS,
            ..ServerConfig::default()
        },
    }
}
