//! Metadata that each member publishes about itself, and its encoding on the wire.

use crate::id::is_valid_name;
use serde::{Deserialize, Serialize};

/// Maximum size of an encoded [`MetadataUpdate`], in bytes.
pub const MAX_METADATA_BYTES: usize = 400;

/// Role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Serves the API and assigns tasks to planners.
    Edge,
    /// Offers tasks to nodes.
    Planner,
}

impl Role {
    /// The role in tables, logs and JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Edge => "edge",
            Self::Planner => "planner",
        }
    }
}

/// Metadata that a member publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMetadata {
    /// What the process does.
    pub role: Role,
    /// Zone of the member; empty if it has none.
    pub zone: String,
    /// Address of the API of an edge; empty for a planner.
    #[serde(rename = "api")]
    pub api_address: String,
    /// Address at which an edge accepts planners; empty for a planner.
    #[serde(rename = "link")]
    pub link_address: String,
    /// Number of tasks without an outcome; `None` if the member does not publish it.
    #[serde(rename = "open")]
    pub open_tasks: Option<u32>,
    /// Whether the member is shutting down gracefully and accepts no more work.
    #[serde(rename = "leaving")]
    pub is_leaving: bool,
}

impl MemberMetadata {
    /// Metadata for a member of this role, with all other fields empty.
    pub fn for_role(role: Role) -> Self {
        Self {
            role,
            zone: String::new(),
            api_address: String::new(),
            link_address: String::new(),
            open_tasks: None,
            is_leaving: false,
        }
    }
}

/// Metadata of a member as it is gossiped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetadataUpdate {
    /// Name of the member.
    pub name: String,
    /// Version of the metadata; replaces all lower ones.
    pub version: MetadataVersion,
    /// Hash of the alive members in its view; equal views have equal hashes.
    #[serde(rename = "sees")]
    pub view_hash: u64,
    /// The metadata itself.
    #[serde(rename = "facts")]
    pub metadata: MemberMetadata,
}

/// Version of the metadata of a member; later ones are greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MetadataVersion {
    /// Incarnation of the member's process.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Number of updates within this incarnation.
    pub count: u32,
}

impl MetadataUpdate {
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes an update; `None` if it is malformed or too large.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let update: Self = postcard::from_bytes(bytes).ok()?;
        update.is_valid().then_some(update)
    }

    pub(crate) fn is_valid(&self) -> bool {
        is_valid_name(&self.name) && self.encode().len() <= MAX_METADATA_BYTES
    }
}
