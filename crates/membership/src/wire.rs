//! Datagrams: who may have sent one, and what it is.
//!
//! Guards against other clusters, other versions, cut and senseless bytes: each is counted by its cause and dropped. It
//! does not guard against members that lie on purpose: the network between schedulers is trusted.

use crate::facts::{MetadataUpdate, MetadataVersion};
use crate::id::MemberId;
use serde::{Deserialize, Serialize};

/// The most bytes of one datagram, so that none is cut in two on the way.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// What a datagram may carry beside its envelope.
pub(crate) const BODY_MOST: usize = MAX_DATAGRAM_BYTES - 64 - 8;
const MAGIC: &[u8; 3] = b"tsf";
/// Both sides must speak the same one.
const VERSION: u8 = 1;

/// What a datagram is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// For the failure detector.
    Swim(Vec<u8>),
    /// Asks whoever takes datagrams there who it is.
    Hello(MemberId),
    /// The answer.
    Welcome(MemberId),
    /// To an older process of a name: this one has taken its place.
    Newer(MemberId),
    /// Versions of facts that the sender has; the answer is what is newer, and what is asked for.
    Versions(MemberId, Vec<(String, MetadataVersion)>),
    /// Facts; ones named in the second list are asked for.
    Facts(MemberId, Vec<MetadataUpdate>, Vec<String>),
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// Not ours at all, cut, or senseless.
    Malformed,
    /// Of another version of the program.
    ProtocolVersion,
    /// Of another cluster.
    OtherCluster,
    /// It claims more members than there may be.
    TooManyMembers,
}

impl DropReason {
    /// The name of its counter in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "unreadable",
            Self::ProtocolVersion => "version",
            Self::OtherCluster => "cluster",
            Self::TooManyMembers => "toomany",
        }
    }
}

/// Puts a body into a datagram.
pub fn datagram(cluster: &str, body: &Body) -> Vec<u8> {
    let inner = postcard::to_stdvec(body).unwrap_or_default();
    let mut bytes = Vec::with_capacity(inner.len() + cluster.len() + 7);
    bytes.extend(MAGIC);
    bytes.push(VERSION);
    bytes.push(cluster.len() as u8);
    bytes.extend(cluster.as_bytes());
    // The length tells a cut datagram from a whole one that happens to be readable.
    bytes.extend((inner.len() as u16).to_be_bytes());
    bytes.extend(inner);
    bytes
}

/// Reads a datagram.
///
/// # Errors
/// Why it has to be dropped.
pub fn read(cluster: &str, bytes: &[u8]) -> Result<Body, DropReason> {
    let rest = bytes.strip_prefix(MAGIC).ok_or(DropReason::Malformed)?;
    let (&version, rest) = rest.split_first().ok_or(DropReason::Malformed)?;
    if version != VERSION {
        return Err(DropReason::ProtocolVersion);
    }
    let (&length, rest) = rest.split_first().ok_or(DropReason::Malformed)?;
    let (name, rest) = rest
        .split_at_checked(length.into())
        .ok_or(DropReason::Malformed)?;
    if name != cluster.as_bytes() {
        return Err(DropReason::OtherCluster);
    }
    let (length, rest) = rest.split_at_checked(2).ok_or(DropReason::Malformed)?;
    if bytes.len() > MAX_DATAGRAM_BYTES
        || usize::from(u16::from_be_bytes([length[0], length[1]])) != rest.len()
    {
        return Err(DropReason::Malformed);
    }
    postcard::from_bytes(rest).map_err(|_| DropReason::Malformed)
}
