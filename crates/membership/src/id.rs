//! Identity of a member.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of the name of a member or a cluster, in bytes.
pub const MAX_NAME_BYTES: usize = 48;

/// Identity of a member: a name, which stays the same over restarts, and the process that currently uses it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberId {
    /// Name of the member, unique in the cluster.
    pub name: String,
    /// UDP address at which the member receives datagrams.
    pub address: SocketAddr,
    /// Incarnation of the process; higher for each later process of this name.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Number of times the process was declared failed and rejoined.
    #[serde(rename = "turn")]
    pub rejoin_count: u32,
}

impl MemberId {
    /// Whether the name is valid and the address can be sent to. Must be checked for received identities.
    pub fn is_valid(&self) -> bool {
        is_valid_name(&self.name) && self.address.port() != 0 && !self.address.ip().is_unspecified()
    }

    /// Orders the identities of one name: a newer process, or a later rejoin of it, is greater.
    pub(crate) fn precedence(&self) -> (u64, u32) {
        (self.incarnation, self.rejoin_count)
    }
}

/// Whether a name has 1 to [`MAX_NAME_BYTES`] ASCII letters, digits, `-`, `_` and `.`, so that it needs no escaping in
/// logs, tables and addresses.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(is_allowed)
}

impl foca::Identity for MemberId {
    type Addr = String;

    /// `None`, so that `foca` does not rejoin by itself: `Membership` decides when a member that was declared failed
    /// rejoins.
    fn renew(&self) -> Option<Self> {
        None
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.precedence(), self.address) > (other.precedence(), other.address)
    }
}
