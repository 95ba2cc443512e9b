//! Identity of a member.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest name of a member, in bytes.
pub const MAX_NAME_BYTES: usize = 48;

/// Identity of a member: a name that outlives its processes, and one of these processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberId {
    /// Its name, unique in the cluster.
    pub name: String,
    /// Address at which it receives datagrams.
    pub address: SocketAddr,
    /// Its incarnation: it rises with each start of a process of this name.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// How often the process was declared failed and rejoined.
    #[serde(rename = "turn")]
    pub rejoin_count: u32,
}

impl MemberId {
    /// Whether name and address are valid. To be checked for identities that are received.
    pub fn is_valid(&self) -> bool {
        is_valid_name(&self.name) && self.address.port() != 0 && !self.address.ip().is_unspecified()
    }

    /// Orders the processes of one name: the newer one is greater.
    pub(crate) fn age(&self) -> (u64, u32) {
        (self.incarnation, self.rejoin_count)
    }
}

/// Whether a name consists of letters, digits, `-`, `_` and `.`, so that it can be used in logs, tables and addresses, and
/// is not too long.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(is_allowed)
}

impl foca::Identity for MemberId {
    type Addr = String;

    /// The detector does not renew identities: `Membership` decides when a member that was declared failed rejoins.
    fn renew(&self) -> Option<Self> {
        None
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.age(), self.address) > (other.age(), other.address)
    }
}
