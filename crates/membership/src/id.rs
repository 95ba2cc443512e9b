//! Who a member is.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest name of a member, in bytes.
pub const NAME_MOST: usize = 48;

/// A member: a name that outlives its processes, and which process it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Id {
    /// Its name, one member's at a time.
    pub name: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Its incarnation: higher with each start of a process of this name.
    pub born: u64,
    /// Higher each time the process had been given up and came back.
    pub turn: u32,
}

impl Id {
    /// Whether this can be a member at all; what comes from outside may be anything.
    pub fn is_sound(&self) -> bool {
        name_is_sound(&self.name) && self.address.port() != 0 && !self.address.ip().is_unspecified()
    }

    /// Which of two of one name is the newer one.
    pub(crate) fn age(&self) -> (u64, u32) {
        (self.born, self.turn)
    }
}

/// Names are words that can stand in a log, a table or an address: letters, digits, `-`, `_`, `.`.
pub fn name_is_sound(name: &str) -> bool {
    let sound = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    (1..=NAME_MOST).contains(&name.len()) && name.chars().all(sound)
}

impl foca::Identity for Id {
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
