//! Errors of starting a member.

use crate::MAX_METADATA_BYTES;
use std::net::SocketAddr;

/// Why a member can't start.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum MembershipError {
    /// The name or the address of the member is not valid.
    #[error(
        "{name:?} at {address} can't be a member: a name has letters, digits, '-', '_' and '.', and an address has a port"
    )]
    InvalidMember {
        /// Its name.
        name: String,
        /// Its address.
        address: SocketAddr,
    },
    /// The name of the cluster is not valid.
    #[error(
        "{name:?} can't be a cluster's name: it has letters, digits, '-', '_' and '.'; look at fleet.cluster"
    )]
    InvalidCluster {
        /// The name.
        name: String,
    },
    /// The time settings contradict each other.
    #[error(
        "the probe timeout, the probe interval, the suspicion timeout and the time until failed members are forgotten must rise in this order"
    )]
    TimesNotAscending,
    /// The metadata does not fit into a datagram.
    #[error(
        "the metadata of {name} takes more than {MAX_METADATA_BYTES} bytes; shorten its zone and addresses"
    )]
    MetadataTooLarge {
        /// Name of the member.
        name: String,
    },
}
