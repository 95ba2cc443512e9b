//! Format of datagrams.
//!
//! Datagrams of other clusters and other versions, truncated and malformed ones are dropped, and counted by the reason.
//! There is no protection against members that lie on purpose: the network between schedulers is trusted.

use crate::id::MemberId;
use crate::metadata::{MetadataUpdate, MetadataVersion};
use serde::{Deserialize, Serialize};

/// Largest size of a datagram, in bytes, so that none is fragmented on the way.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Largest size of the envelope: a name of a cluster, and the other fields.
const MAX_ENVELOPE_BYTES: usize = 64 + 8;
/// Largest size of the body of a datagram, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - MAX_ENVELOPE_BYTES;
/// First bytes of each datagram.
const MAGIC: &[u8; 3] = b"tsf";
/// Version of the format; datagrams of another version are dropped.
const VERSION: u8 = 1;

/// Body of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A message of the failure detector, in the format of the crate `foca`.
    Swim(Vec<u8>),
    /// Asks the receiver for its identity; the sender is this member.
    Hello(MemberId),
    /// The reply to `Hello`, with the identity of its sender.
    Welcome(MemberId),
    /// Notifies an older process of a name that this one has replaced it.
    #[serde(rename = "Newer")]
    ReplacedBy(MemberId),
    /// Versions of the metadata that the sender, this member, has. The reply consists of newer metadata, and of the names
    /// whose metadata the replier lacks.
    Versions(MemberId, Vec<(String, MetadataVersion)>),
    /// Metadata that the sender has, and names of members whose metadata it requests.
    #[serde(rename = "Facts")]
    Metadata(MemberId, Vec<MetadataUpdate>, Vec<String>),
}

impl Body {
    /// The identity of the sender; a message of the failure detector has its own.
    pub(crate) fn sender(&self) -> Option<&MemberId> {
        match self {
            Self::Swim(_) => None,
            Self::Hello(sender)
            | Self::Welcome(sender)
            | Self::ReplacedBy(sender)
            | Self::Versions(sender, _)
            | Self::Metadata(sender, ..) => Some(sender),
        }
    }
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// It is no datagram of this protocol, truncated, or malformed.
    Malformed,
    /// It has another version of the format.
    ProtocolVersion,
    /// It is of another cluster.
    OtherCluster,
    /// It names more members than are allowed.
    TooManyMembers,
}

impl DropReason {
    /// Name of its counter in JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "unreadable",
            Self::ProtocolVersion => "version",
            Self::OtherCluster => "cluster",
            Self::TooManyMembers => "toomany",
        }
    }
}

/// Encodes a datagram.
pub fn encode(cluster: &str, body: &Body) -> Vec<u8> {
    let encoded = postcard::to_stdvec(body).unwrap_or_default();
    let mut bytes = Vec::with_capacity(encoded.len() + cluster.len() + 7);
    bytes.extend(MAGIC);
    bytes.push(VERSION);
    bytes.push(cluster.len() as u8);
    bytes.extend(cluster.as_bytes());
    // By the length a truncated datagram is told from a complete one that happens to be decodable.
    bytes.extend((encoded.len() as u16).to_be_bytes());
    bytes.extend(encoded);
    bytes
}

/// Decodes a datagram.
///
/// # Errors
/// Why it has to be dropped.
pub fn decode(cluster: &str, bytes: &[u8]) -> Result<Body, DropReason> {
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
    let length = usize::from(u16::from_be_bytes([length[0], length[1]]));
    if bytes.len() > MAX_DATAGRAM_BYTES || length != rest.len() {
        return Err(DropReason::Malformed);
    }
    postcard::from_bytes(rest).map_err(|_| DropReason::Malformed)
}
