//! The log as the agreement asks for it.

use super::{FACT, FOLDED, Log};
use crate::Entry;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult};

impl Storage<Entry> for Log {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(round) => self.set_promise(round)?,
                StorageOp::SetDecidedIndex(index) => self.set_decided_idx(index)?,
                StorageOp::SetAcceptedRound(round) => self.set_accepted_round(round)?,
                StorageOp::SetCompactedIdx(index) => self.set_compacted_idx(index)?,
                StorageOp::Trim(index) => self.trim(index)?,
                StorageOp::SetStopsign(sign) => self.set_stopsign(sign)?,
                StorageOp::SetSnapshot(snapshot) => self.set_snapshot(snapshot)?,
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.lock().append(entry);
        Ok(())
    }

    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        let mut kept = self.lock();
        entries.into_iter().for_each(|entry| kept.append(entry));
        Ok(())
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Entry>) -> StorageResult<()> {
        let mut kept = self.lock();
        kept.cut(from);
        entries.into_iter().for_each(|entry| kept.append(entry));
        Ok(())
    }

    fn set_promise(&mut self, round: Ballot) -> StorageResult<()> {
        let mut kept = self.lock();
        kept.promise = Some(round);
        kept.put(FACT, "promise", &round);
        Ok(())
    }

    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        let mut kept = self.lock();
        kept.decided = index;
        kept.put(FACT, "decided", &index);
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.lock().decided)
    }

    fn set_accepted_round(&mut self, round: Ballot) -> StorageResult<()> {
        let mut kept = self.lock();
        kept.accepted = Some(round);
        kept.put(FACT, "accepted", &round);
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.lock().accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        Ok(self.lock().get(from, to))
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.lock().len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        let kept = self.lock();
        Ok(kept.get(from, kept.len()))
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.lock().promise)
    }

    fn set_stopsign(&mut self, sign: Option<StopSign>) -> StorageResult<()> {
        // The voters are the settings'; the log never changes them.
        match sign {
            None => Ok(()),
            Some(_) => Err("the voters are named in the settings".into()),
        }
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }

    // The log is folded in place, by what is decided: nothing is trimmed, and no snapshot is sent.
    fn trim(&mut self, _: usize) -> StorageResult<()> {
        Err(FOLDED.into())
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Err(FOLDED.into())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, snapshot: Option<NoSnapshot>) -> StorageResult<()> {
        snapshot.map_or(Ok(()), |_| Err(FOLDED.into()))
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
