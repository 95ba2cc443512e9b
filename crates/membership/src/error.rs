//! Errors of starting a member.

use crate::MAX_METADATA_BYTES;
use std::net::SocketAddr;

/// Why a member can't start.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum MembershipError {
    /// The name or the address of the member is not valid; see [`MemberId::is_valid`](crate::MemberId::is_valid).
    #[error(
        "{name:?} at {address} can't be a member: a name has letters, digits, '-', '_' and '.', and an address has a port"
    )]
    InvalidMember {
        /// The rejected name.
        name: String,
        /// The rejected address.
        address: SocketAddr,
    },
    /// The name of the cluster is not valid.
    #[error(
        "{name:?} can't be a cluster's name: it has letters, digits, '-', '_' and '.'; look at fleet.cluster"
    )]
    InvalidCluster {
        /// The rejected name of the cluster.
        name: String,
    },
    /// The time settings are not positive, not in ascending order, or too large.
    #[error(
        "the probe timeout, the probe interval, the suspicion timeout and the time until failed members are forgotten must rise in this order"
    )]
    TimesNotAscending,
    /// The encoded metadata is larger than [`MAX_METADATA_BYTES`].
    #[error(
        "the metadata of {name} takes more than {MAX_METADATA_BYTES} bytes; shorten its zone and addresses"
    )]
    MetadataTooLarge {
        /// Name of the member.
        name: String,
    },
}
