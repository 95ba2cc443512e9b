//! Errors in a settings object that is well-formed JSON.

/// Why a settings object can't be used. Messages name the key as the operators write it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SiteSettingsError {
    /// A list by class or by machine type has the wrong length.
    #[error("settings: familyInfo.{key}: {found} values where {expected} are needed")]
    ListLength {
        /// Key of the list in the section `familyInfo`.
        key: &'static str,
        /// Number of values that it has.
        found: usize,
        /// Number of classes, or of machine types.
        expected: usize,
    },
    /// A failure domain has an unknown name.
    #[error("a place must be all, zone, cell, machine or none, not {0:?}")]
    UnknownFailureDomain(String),
    /// The retry safety of a class (`effect`) has an unknown name.
    #[error("settings: services[].effect: {0:?} is not known; use safe, keyed or unsafe")]
    UnknownRetrySafety(String),
}
