//! Errors of joining a fleet, and the error of a process that was replaced by a newer one.

use std::io;
use std::net::AddrParseError;
use tidespur_membership::MembershipError;

/// Why a process can't join its fleet.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum JoinError {
    /// An address in the settings can't be parsed.
    #[error("fleet.join: {address}: {reason}; an IP address and a port are needed")]
    SeedAddress {
        /// The address as it is in the settings.
        address: String,
        /// Why it can't be parsed.
        reason: AddrParseError,
    },
    /// The address for datagrams can't be resolved or bound.
    #[error("{address}: can't receive datagrams: {reason}; look at fleet.listen or --fleet-listen")]
    Listen {
        /// The address, from the settings or the option.
        address: String,
        /// The operating system's error.
        reason: io::Error,
    },
    /// The handler of SIGTERM can't be installed.
    #[error("can't wait for SIGTERM: {0}")]
    Signals(io::Error),
    /// The identity, the settings or the metadata of the member are not valid.
    #[error(transparent)]
    Member(#[from] MembershipError),
}

/// The process has shut down because a newer one uses its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a newer process has this one's name; give each process a --name of its own")]
pub struct ReplacedError;
