//! Errors of joining a fleet, and of a process that was replaced.

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
        /// The address.
        address: String,
        /// The parser's error.
        reason: AddrParseError,
    },
    /// The address for datagrams can't be used.
    #[error("{address}: can't receive datagrams: {reason}; look at fleet.listen or --fleet-listen")]
    Listen {
        /// The address.
        address: String,
        /// The operating system's error.
        reason: io::Error,
    },
    /// The handler of SIGTERM can't be installed.
    #[error("can't wait for SIGTERM: {0}")]
    Signals(io::Error),
    /// The member can't start.
    #[error(transparent)]
    Member(#[from] MembershipError),
}

/// The process has shut down because a newer one has its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a newer process has this one's name; give each process a --name of its own")]
pub struct ReplacedError;
