//! What can be wrong with a settings object that is well-formed JSON.

/// A settings object that can't be used. Each message names the key as the operators write it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SiteSettingsError {
    /// A list has another length than the list that it belongs to.
    #[error("settings: familyInfo.{key}: {found} values where {expected} are needed")]
    ListLength {
        /// Key of the list in `familyInfo`.
        key: &'static str,
        /// How many values it has.
        found: usize,
        /// How many are needed.
        expected: usize,
    },
    /// The name of a failure domain is not known.
    #[error("a place must be all, zone, cell, machine or none, not {0:?}")]
    UnknownFailureDomain(String),
    /// The name of what a second run of a task would do is not known.
    #[error("settings: services[].effect: {0:?} is not known; use safe, keyed or unsafe")]
    UnknownRetrySafety(String),
}
