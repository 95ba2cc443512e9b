//! Loads and stores what a voter keeps on disk besides its log: the positions of the other voters and its incarnation.

use super::Voter;
use crate::log::decode;
use crate::{LoadError, LogPosition};
use std::collections::BTreeMap;
use tidespur_persistence::LoadedRecords;

/// Kind of the records that hold the positions of the other voters; their key is the name of the voter.
const POSITION_KIND: &str = "ledger.mark";
/// Kind of the record that holds the incarnation of this voter; its key is empty.
const INCARNATION_KIND: &str = "ledger.life";

/// Loads the positions of the other voters.
pub(super) fn load_positions(
    loaded: &LoadedRecords,
) -> Result<BTreeMap<String, LogPosition>, LoadError> {
    let mut positions = BTreeMap::new();
    for (voter, bytes) in loaded.records_of_kind(POSITION_KIND) {
        positions.insert(voter.to_owned(), decode(POSITION_KIND, voter, bytes)?);
    }
    Ok(positions)
}

/// Loads the incarnation of this voter; 0 if it was never readmitted.
pub(super) fn load_incarnation(loaded: &LoadedRecords) -> u64 {
    let mut records = loaded.records_of_kind(INCARNATION_KIND);
    records
        .next()
        .and_then(|(_, bytes)| std::str::from_utf8(bytes).ok()?.parse().ok())
        .unwrap_or(0)
}

impl Voter {
    pub(super) fn store_position(&mut self, voter: &str, position: LogPosition) {
        if self.known_positions.get(voter) == Some(&position) {
            return;
        }
        self.known_positions.insert(voter.to_owned(), position);
        // Neither can fail: a position consists of a few numbers, which always encode and are far below the size limit
        // of a record.
        let bytes = serde_json::to_vec(&position).unwrap_or_default();
        drop(self.batch.put(POSITION_KIND, voter, bytes));
    }

    pub(super) fn store_incarnation(&mut self) {
        let text = self.own_position.incarnation.to_string();
        // Can't fail: a number is far below the size limit of a record.
        drop(self.batch.put(INCARNATION_KIND, "", text.into_bytes()));
    }
}
