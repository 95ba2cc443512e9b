//! Implements the storage interface of the consensus library on the log.

use super::{FIELD_ACCEPTED, FIELD_DECIDED, FIELD_KIND, FIELD_PROMISE, Log};
use crate::Entry;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{NoSnapshot, StopSign, Storage, StorageOp, StorageResult};

/// Error of the library's operations for compaction, which are not supported.
const COMPACTION_UNSUPPORTED: &str =
    "compaction by the consensus library is not supported: each voter compacts its log in place";

impl Storage<Entry> for Log {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(index) => self.set_decided_idx(index)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
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
        let mut contents = self.lock();
        for entry in entries {
            contents.append(entry);
        }
        Ok(())
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Entry>) -> StorageResult<()> {
        let mut contents = self.lock();
        contents.truncate(from);
        for entry in entries {
            contents.append(entry);
        }
        Ok(())
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        let mut contents = self.lock();
        contents.promise = Some(ballot);
        contents.put(FIELD_KIND, FIELD_PROMISE, &ballot);
        Ok(())
    }

    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        let mut contents = self.lock();
        contents.decided = index;
        contents.put(FIELD_KIND, FIELD_DECIDED, &index);
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.lock().decided)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        let mut contents = self.lock();
        contents.accepted = Some(ballot);
        contents.put(FIELD_KIND, FIELD_ACCEPTED, &ballot);
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
        let contents = self.lock();
        Ok(contents.get(from, contents.len()))
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.lock().promise)
    }

    fn set_stopsign(&mut self, sign: Option<StopSign>) -> StorageResult<()> {
        // A stop sign ends a configuration, but the voters are fixed by the settings.
        match sign {
            None => Ok(()),
            Some(_) => Err("reconfiguration is not supported: the settings list the voters".into()),
        }
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }

    // Each voter compacts the decided part of its log in place, so the library never trims the log or sends snapshots.
    fn trim(&mut self, _: usize) -> StorageResult<()> {
        Err(COMPACTION_UNSUPPORTED.into())
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Err(COMPACTION_UNSUPPORTED.into())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, snapshot: Option<NoSnapshot>) -> StorageResult<()> {
        match snapshot {
            None => Ok(()),
            Some(_) => Err(COMPACTION_UNSUPPORTED.into()),
        }
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
