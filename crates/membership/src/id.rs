//! Who a member is.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest name of a member, in bytes.
pub const MAX_NAME_BYTES: usize = 48;

/// A member: a name that outlives its processes, and which process it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberId {
    /// Its name, one member's at a time.
    pub name: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Its incarnation: higher with each start of a process of this name.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Higher each time the process had been given up and came back.
    #[serde(rename = "turn")]
    pub rejoin_count: u32,
}

impl MemberId {
    /// Whether this can be a member at all; what comes from outside may be anything.
    pub fn is_valid(&self) -> bool {
        is_valid_name(&self.name) && self.address.port() != 0 && !self.address.ip().is_unspecified()
    }

    /// Which of two of one name is the newer one.
    pub(crate) fn age(&self) -> (u64, u32) {
        (self.incarnation, self.rejoin_count)
    }
}

/// Names are words that can stand in a log, a table or an address: letters, digits, `-`, `_`, `.`.
pub fn is_valid_name(name: &str) -> bool {
    let sound = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(sound)
}

impl foca::Identity for MemberId {
    type Addr = String;

    /// A member that was given up decides itself how it comes back, see `Fleet`.
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
