//! What a voter stores beside its log: the positions of the other voters, and its own incarnation.

use super::Voter;
use crate::log::decode;
use crate::{LoadError, LogPosition};
use std::collections::BTreeMap;
use tidespur_persistence::LoadedRecords;

/// Kind of the records of the other voters' positions; their key is the voter's name.
const POSITION_KIND: &str = "ledger.mark";
/// Kind of the record of this voter's incarnation.
const INCARNATION_KIND: &str = "ledger.life";

/// The stored positions of the other voters.
pub(super) fn load_positions(
    loaded: &LoadedRecords,
) -> Result<BTreeMap<String, LogPosition>, LoadError> {
    let mut positions = BTreeMap::new();
    for (voter, bytes) in loaded.records_of_kind(POSITION_KIND) {
        positions.insert(voter.to_owned(), decode(POSITION_KIND, voter, bytes)?);
    }
    Ok(positions)
}

/// The stored incarnation of this voter; 0 if it was never readmitted.
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
        // A few numbers always encode, and are far smaller than the limit of a record.
        let bytes = serde_json::to_vec(&position).unwrap_or_default();
        drop(self.batch.put(POSITION_KIND, voter, bytes));
    }

    pub(super) fn store_incarnation(&mut self) {
        let text = self.own.incarnation.to_string();
        // A number is far smaller than the limit of a record, so this can't fail.
        drop(self.batch.put(INCARNATION_KIND, "", text.into_bytes()));
    }
}
