//! Settings of a voter, and their validation.

use crate::Seconds;
use std::ops::RangeInclusive;

/// Accepted numbers of voters. An even number tolerates no more failures than the odd number below it.
const VOTER_COUNTS: [usize; 3] = [1, 3, 5];
/// Accepted lease terms: long enough for a renewal, short enough for a failover.
const LEASE_TERMS: RangeInclusive<Seconds> = 1.0..=600.0;

/// Settings of a voter, validated by [`Settings::check`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Names of all voters, including this one, in the order of the settings file. All voters must use the same order.
    pub voters: Vec<String>,
    /// Name of this voter, one of `voters`.
    pub name: String,
    /// Incarnation of this process, which distinguishes it from earlier processes of the same name.
    pub incarnation: u64,
    /// A random number that is drawn at each start of the process.
    pub start_nonce: u64,
    /// How long a lease is valid without a renewal, from 1 to 600 s.
    pub lease_term: Seconds,
    /// The largest difference between the rates of two voters' clocks, as a fraction.
    pub max_clock_drift: f64,
}

/// Why the settings of a voter are invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The number of voters is not 1, 3 or 5.
    #[error(
        "ledger.voters: {0} voters are listed, but 1, 3 or 5 are required; an even number tolerates no more failures"
    )]
    VoterCount(usize),
    /// Two voters have this name.
    #[error("ledger.voters: {0:?} is listed twice; give each voter a unique name")]
    DuplicateVoter(String),
    /// This process, of this name, is not listed as a voter.
    #[error("ledger.voters: {0:?} is not listed; only voters store the coordination log")]
    NotAVoter(String),
    /// The lease term, in seconds, is out of range.
    #[error(
        "ledger.term: {0} s is out of range: allowed is 1 to 600 s, so that a renewal fits into the term"
    )]
    LeaseTerm(String),
    /// The consensus library rejects them, with this error.
    #[error("ledger: the consensus library rejects the settings: {0}; check ledger.voters")]
    Consensus(String),
}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// The first rule that the settings violate.
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
