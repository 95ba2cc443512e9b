//! What other voters, the loop and operators say.

use super::{AGAIN, LIFE, MARK, Voter};
use crate::words::Known;
use crate::{Entry, Input, LogPosition, Output, PeerMessage, Seconds, VoterStatus};

impl Voter {
    pub(super) fn take(
        &mut self,
        now: Seconds,
        input: Input,
        says: &mut Vec<(String, PeerMessage)>,
        out: &mut Vec<Output>,
    ) {
        match input {
            Input::MessageReceived(voter, word)
                if self.pid(&voter).is_some() && voter != self.settings.own =>
            {
                self.heard(voter, word, says, out);
            }
            // Nobody whom the settings name.
            Input::MessageReceived(..) => {}
            Input::PeerConnected(voter) => {
                self.here_at = now;
                let pid = self.pid(&voter);
                if let (Some(agreement), Some(pid)) = (&mut self.agreement, pid) {
                    agreement.reconnected(pid);
                }
            }
            Input::AcquireLease(lease) => self.leases.want(lease),
            Input::ReleaseLease(lease) => {
                if let Some(entry) = self.leases.give_back(&lease) {
                    out.push(Output::LeaseLost(lease));
                    self.propose(entry);
                }
            }
            Input::BatchSynced(batch) => self.safe = self.safe.max(batch),
            Input::Put { lease, key, value } => {
                if let Some(token) = self.leases.may_act(now, &lease) {
                    self.propose(Entry::Put {
                        lease,
                        token,
                        key,
                        value,
                    });
                }
            }
            // Said again until it is in the log: a word to a leader that is gone is lost.
            Input::ReadmitVoter(voter) => drop(self.readmits.insert(voter, f64::NEG_INFINITY)),
        }
    }

    pub(super) fn heard(
        &mut self,
        voter: String,
        word: PeerMessage,
        says: &mut Vec<(String, PeerMessage)>,
        out: &mut Vec<Output>,
    ) {
        match word {
            PeerMessage::Position(mark) => {
                let known = self.known.get(&voter).copied();
                // Taken in again by an operator's word, in this very memory: it is told so, and speaks of itself anew.
                let again = self.state.readmissions.get(&voter);
                let again =
                    again.filter(|again| again.begun == mark.begun && mark.turn >= again.turn);
                let life = again.map_or(0, |again| again.life);
                let follows = known.is_none_or(|known| mark.follows(&known))
                    && mark.life <= life.max(known_life(known));
                let fits = follows || life > mark.life;
                let floor = again.and_then(|again| again.floor).max(self.log.promise());
                if follows {
                    self.remember(&voter, mark);
                }
                match fits {
                    true => drop(self.asking.remove(&voter)),
                    false => drop(self.asking.insert(voter.clone(), mark)),
                }
                says.push((
                    voter,
                    PeerMessage::KnownPosition(Known {
                        mark: known,
                        fits,
                        floor,
                        life,
                    }),
                ));
            }
            PeerMessage::KnownPosition(known) => self.told(voter, known, out),
            PeerMessage::Consensus(message) => {
                // The agreement trusts whom it hears; a word under another's name, or to another, is none.
                let (from, to) = (message.get_sender(), message.get_receiver());
                let (peer, own) = (self.pid(&voter), self.pid(&self.settings.own));
                let welcome = !self.asking.contains_key(&voter);
                if let Some(agreement) = &mut self.agreement
                    && (Some(from), Some(to)) == (peer, own)
                    && welcome
                {
                    agreement.handle_incoming(*message);
                }
            }
            PeerMessage::Heartbeat => {}
        }
    }

    /// What another knows of this voter.
    pub(super) fn told(&mut self, voter: String, known: Known, out: &mut Vec<Output>) {
        match (&self.standing, known.fits, known.mark) {
            // Its disk can't become older while it runs: words crossed, or another process has its name.
            (VoterStatus::Voting, ..)
            | (VoterStatus::Quarantined { .. }, false, _)
            | (_, false, None) => {
                return;
            }
            (VoterStatus::Verifying(_), false, Some(known)) => {
                self.confirmed.clear();
                return self.stand(VoterStatus::Quarantined { by: voter, known }, out);
            }
            (_, true, _) => {}
        }
        if known.life > self.own.life {
            self.own.life = known.life;
            // A number, far below the bound of a record.
            drop(
                self.batch
                    .put(LIFE, "", known.life.to_string().into_bytes()),
            );
        }
        // What it may have promised, and can't know any more, it promises again. More than needed does no harm.
        self.log.promise_at_least(known.floor);
        self.confirmed.insert(voter);
        // With itself that is a majority.
        if self.confirmed.len() >= self.settings.voters.len() / 2 {
            self.begin();
            self.stand(VoterStatus::Voting, out);
        } else if matches!(self.standing, VoterStatus::Verifying(_)) {
            self.stand(VoterStatus::Verifying(self.confirmed.len()), out);
        }
    }

    /// Operators' words that are not in the log yet.
    pub(super) fn readmit(&mut self, now: Seconds) {
        self.readmits
            .retain(|voter, _| self.asking.contains_key(voter));
        let due = self
            .readmits
            .iter_mut()
            .filter(|(_, at)| now >= **at + AGAIN);
        let mut entries = Vec::new();
        for (voter, at) in due {
            *at = now;
            // What it says of itself now is what is taken in.
            let Some(LogPosition { begun, turn, .. }) = self.asking.get(voter).copied() else {
                continue;
            };
            let known = self.known.get(voter).and_then(|known| known.promise);
            let floor = known.max(self.log.promise());
            entries.push(Entry::Readmit {
                voter: voter.clone(),
                begun,
                turn,
                floor,
            });
        }
        entries.into_iter().for_each(|entry| self.propose(entry));
    }

    pub(super) fn stand(&mut self, standing: VoterStatus, out: &mut Vec<Output>) {
        if self.standing != standing {
            self.standing = standing.clone();
            out.push(Output::StatusChanged(standing));
        }
    }

    pub(super) fn remember(&mut self, voter: &str, mark: LogPosition) {
        if self.known.get(voter) == Some(&mark) {
            return;
        }
        self.known.insert(voter.to_owned(), mark);
        let bytes = serde_json::to_vec(&mark).unwrap_or_default();
        // A few numbers, far below the bound of a record.
        drop(self.batch.put(MARK, voter, bytes));
    }
}

fn known_life(known: Option<LogPosition>) -> u64 {
    known.map_or(0, |known| known.life)
}
