//! Settings of a voter, and their check.

use crate::Seconds;
use std::ops::RangeInclusive;

/// Numbers of voters that are accepted. An even number tolerates no more failures than the odd one below it.
const VOTER_COUNTS: [usize; 3] = [1, 3, 5];
/// Terms that are accepted: long enough for a renewal, short enough for a failover.
const LEASE_TERMS: RangeInclusive<Seconds> = 1.0..=600.0;

/// Settings of a voter.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Names of all voters, this one included, in the order of the settings file. The order must be the same at all.
    pub voters: Vec<String>,
    /// Name of this voter.
    pub name: String,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// A random number that is drawn at each start of the process.
    pub start_nonce: u64,
    /// How long a lease is valid without a renewal.
    pub lease_term: Seconds,
    /// The largest difference between the rates of two clocks, as a fraction.
    pub max_clock_drift: f64,
}

/// Why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The number of voters is not 1, 3 or 5.
    #[error(
        "ledger.voters: {0} voters are named; name 1, 3 or 5, an even number bears no more failures"
    )]
    VoterCount(usize),
    /// Two voters have the same name.
    #[error("ledger.voters: {0:?} stands twice; give each voter its own name")]
    DuplicateVoter(String),
    /// This process is not among the voters.
    #[error("ledger.voters: {0:?} is none of them; only voters keep the ledger")]
    NotAVoter(String),
    /// The lease term is out of range.
    #[error("ledger.term: {0} s; from 1 to 600 are needed, so that a renewal fits in it")]
    LeaseTerm(String),
    /// The consensus library rejects them.
    #[error("ledger: {0}; look at ledger.voters")]
    Consensus(String),
}

impl Settings {
    /// Checks the settings.
    ///
    /// # Errors
    /// The first rule that they break.
    pub fn check(&self) -> Result<(), SettingsError> {
        if !VOTER_COUNTS.contains(&self.voters.len()) {
            return Err(SettingsError::VoterCount(self.voters.len()));
        }
        for (index, name) in self.voters.iter().enumerate() {
            if self.voters[index + 1..].contains(name) {
                return Err(SettingsError::DuplicateVoter(name.clone()));
            }
        }
        if !self.voters.contains(&self.name) {
            return Err(SettingsError::NotAVoter(self.name.clone()));
        }
        if !LEASE_TERMS.contains(&self.lease_term) {
            return Err(SettingsError::LeaseTerm(self.lease_term.to_string()));
        }
        Ok(())
    }
}
