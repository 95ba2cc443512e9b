//! Format of datagrams.
//!
//! Datagrams of other clusters or format versions, and truncated or malformed ones, are dropped and counted by reason.
//! Senders are not authenticated and false statements are not detected: the network between schedulers is trusted.

use crate::id::MemberId;
use crate::metadata::{MetadataUpdate, MetadataVersion};
use serde::{Deserialize, Serialize};

/// Maximum size of a datagram, in bytes; small enough to avoid IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Upper bound of the size of the envelope, in bytes: the name of the cluster, and the other fields.
const MAX_ENVELOPE_BYTES: usize = 64 + 8;
/// Maximum size of the body of a datagram, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - MAX_ENVELOPE_BYTES;
/// First bytes of each datagram, by which other traffic is rejected.
const MAGIC: &[u8; 3] = b"tsf";
/// Version of the format; datagrams of another version are dropped.
const VERSION: u8 = 1;

/// Body of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A message of the failure detector, in the format of the crate `foca`.
    Swim(Vec<u8>),
    /// Requests the identity of the receiver; carries that of the sender.
    Hello(MemberId),
    /// The reply to `Hello`; carries the identity of its sender.
    Welcome(MemberId),
    /// Notifies the receiver that this newer process has replaced it under its name.
    #[serde(rename = "Newer")]
    ReplacedBy(MemberId),
    /// The sender, and the versions of the metadata that it has. The receiver replies with metadata that is newer, and
    /// with the names whose metadata is newer at the sender.
    Versions(MemberId, Vec<(String, MetadataVersion)>),
    /// The sender, metadata that it has, and names of members whose metadata it requests.
    #[serde(rename = "Facts")]
    Metadata(MemberId, Vec<MetadataUpdate>, Vec<String>),
}

impl Body {
    /// The identity of the sender; `None` for a message of the failure detector, whose header has it.
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
    /// It is not a datagram of this protocol, or is truncated or malformed.
    Malformed,
    /// Its format version is not supported.
    ProtocolVersion,
    /// It belongs to another cluster.
    OtherCluster,
    /// It names a new member while the maximum number of members is alive.
    TooManyMembers,
}

impl DropReason {
    /// Name of the reason's counter in JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "unreadable",
            Self::ProtocolVersion => "version",
            Self::OtherCluster => "cluster",
            Self::TooManyMembers => "toomany",
        }
    }
}

/// Encodes a datagram of the cluster, envelope included.
pub fn encode(cluster: &str, body: &Body) -> Vec<u8> {
    let encoded = postcard::to_stdvec(body).unwrap_or_default();
    let mut bytes = Vec::with_capacity(encoded.len() + cluster.len() + 7);
    bytes.extend(MAGIC);
    bytes.push(VERSION);
    bytes.push(cluster.len() as u8);
    bytes.extend(cluster.as_bytes());
    // The length distinguishes a complete datagram from a truncated one, which may still be decodable.
    bytes.extend((encoded.len() as u16).to_be_bytes());
    bytes.extend(encoded);
    bytes
}

/// Decodes a datagram, and checks that it belongs to the cluster.
///
/// # Errors
/// The reason for which the datagram has to be dropped.
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
