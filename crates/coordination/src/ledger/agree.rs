//! The agreement: entries go in, and what was decided comes out.

use super::{ELECTION, FOLD, RESEND, Voter, WAITING_MOST};
use crate::{Entry, Output, PeerMessage, Seconds, Settings};
use omnipaxos::storage::Storage;
use omnipaxos::util::{LogEntry, NodeId};
use omnipaxos::{ClusterConfig, OmniPaxosConfig, ServerConfig};

impl Voter {
    /// Takes part in the agreement from now on.
    pub(super) fn begin(&mut self) {
        // The settings were checked when it was made, so this is refused for nothing.
        if let Ok(agreement) = config(&self.settings).build(self.log.clone()) {
            self.agreement = Some(agreement);
        }
    }

    /// Puts an entry into the log, where that is possible now. Leases ask again by themselves.
    pub(super) fn propose(&mut self, entry: Entry) {
        if self.settings.voters.len() == 1 {
            if self.waiting.len() < WAITING_MOST && self.log.append_entry(entry.clone()).is_ok() {
                self.waiting.push_back((self.batches + 1, entry));
            }
            return;
        }
        if let Some(agreement) = &mut self.agreement {
            // Refused only while the voters change, which they never do.
            drop(agreement.append(entry));
        }
    }

    /// Reads on in the log.
    pub(super) fn go_on(&mut self, now: Seconds, out: &mut Vec<Output>) {
        let mut changed = false;
        while self
            .waiting
            .front()
            .is_some_and(|(batch, _)| *batch <= self.safe)
        {
            let Some((_, entry)) = self.waiting.pop_front() else {
                break;
            };
            changed |= self.state.apply(&entry);
        }
        let decided = self
            .agreement
            .as_ref()
            .and_then(|agreement| agreement.read_decided_suffix(self.applied));
        for entry in decided.into_iter().flatten() {
            match entry {
                LogEntry::Decided(entry) => {
                    self.state.apply(&entry);
                    self.applied += 1;
                }
                _ => break,
            }
            changed = true;
        }
        if changed {
            let (held, lost) = self.leases.read(now, &self.state, &self.settings);
            out.extend(lost.into_iter().map(Output::LeaseLost));
            out.extend(
                held.into_iter()
                    .map(|(lease, token)| Output::LeaseAcquired(lease, token)),
            );
            self.fold();
        }
        let leads = match &self.agreement {
            Some(agreement) => agreement.get_current_leader().map(|(pid, _)| pid),
            None => return,
        };
        let leads = leads
            .and_then(|pid| self.settings.voters.get((pid as usize).checked_sub(1)?))
            .cloned();
        if leads != self.leader {
            self.leader = leads.clone();
            out.push(Output::LeaderChanged(leads));
        }
    }

    /// Keeps the log short.
    pub(super) fn fold(&mut self) {
        let upto = if self.agreement.is_some() {
            self.applied
        } else {
            self.log.len()
        };
        if self.waiting.is_empty() && self.log.held() >= FOLD {
            self.log.fold(upto, &self.state);
        }
    }

    /// Hands over what the agreement has to say.
    pub(super) fn agreed(&mut self, says: &mut Vec<(String, PeerMessage)>) {
        let Some(agreement) = &mut self.agreement else {
            return;
        };
        let mut messages = Vec::new();
        agreement.take_outgoing_messages(&mut messages);
        for message in messages {
            let to = (message.get_receiver() as usize).checked_sub(1);
            if let Some(voter) = to.and_then(|to| self.settings.voters.get(to)) {
                says.push((voter.clone(), PeerMessage::Consensus(Box::new(message))));
            }
        }
    }
}

pub(super) fn config(settings: &Settings) -> OmniPaxosConfig {
    let at = settings
        .voters
        .iter()
        .position(|name| *name == settings.own)
        .unwrap_or(0);
    OmniPaxosConfig {
        cluster_config: ClusterConfig {
            configuration_id: 1,
            nodes: (1..=settings.voters.len() as NodeId).collect(),
            flexible_quorum: None,
        },
        server_config: ServerConfig {
            pid: at as NodeId + 1,
            election_tick_timeout: ELECTION,
            resend_message_tick_timeout: RESEND,
            ..ServerConfig::default()
        },
    }
}
