//! What each member tells of itself, the newest by version.

use crate::id::is_valid_name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most bytes that the facts of one member take on the wire.
pub const MAX_METADATA_BYTES: usize = 400;

/// What a member does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Role {
    /// Serves the API and hands tasks to planners.
    Edge,
    /// Offers tasks to nodes.
    Planner,
}

impl Role {
    /// Its word in tables and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Edge => "edge",
            Self::Planner => "planner",
        }
    }
}

/// What a member tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberMetadata {
    /// What it does.
    pub role: Role,
    /// Where it stands.
    pub zone: String,
    /// An edge: the address of its API.
    pub api: String,
    /// An edge: the address that planners link to.
    pub link: String,
    /// Tasks without an answer, where it tells them.
    #[serde(rename = "open")]
    pub open_tasks: Option<u32>,
    /// It ends in order and wants no more work.
    pub leaving: bool,
}

impl MemberMetadata {
    /// Facts of a member that does this, and nothing else yet.
    pub fn for_role(role: Role) -> Self {
        let none = String::new;
        Self {
            role,
            zone: none(),
            api: none(),
            link: none(),
            open_tasks: None,
            leaving: false,
        }
    }
}

/// Facts as they travel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetadataUpdate {
    /// Whose.
    pub name: String,
    /// Their version: the member's incarnation and how often it told something new.
    pub version: MetadataVersion,
    /// A word for the members that it sees live, see `View::settled`.
    pub sees: u64,
    /// What it tells.
    pub facts: MemberMetadata,
}

/// A version of facts; later ones are greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MetadataVersion {
    /// Incarnation of the member's process.
    pub born: u64,
    /// Counts what it told.
    pub count: u32,
}

impl MetadataUpdate {
    /// The facts as they travel.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads facts; `None` for what can't be any.
    pub(crate) fn read(bytes: &[u8]) -> Option<Self> {
        let told: Self = postcard::from_bytes(bytes).ok()?;
        told.is_sound().then_some(told)
    }

    pub(crate) fn is_sound(&self) -> bool {
        is_valid_name(&self.name) && self.bytes().len() <= MAX_METADATA_BYTES
    }
}

/// The newest facts of all members, and when they came.
#[derive(Debug, Default)]
pub(crate) struct Book {
    pub(crate) told: BTreeMap<String, (MetadataUpdate, f64)>,
    /// Members whose facts are kept.
    pub(crate) most: usize,
    /// The time, for when facts came.
    pub(crate) now: f64,
}

impl Book {
    /// Takes facts in; `false` where they are not new, or where there is no room.
    pub(crate) fn take(&mut self, told: MetadataUpdate) -> bool {
        let known = self.told.get(&told.name);
        let new = known.is_none_or(|(known, _)| told.version > known.version);
        if !new || known.is_none() && self.told.len() >= self.most {
            return false;
        }
        self.told.insert(told.name.clone(), (told, self.now));
        true
    }

    pub(crate) fn version(&self, name: &str) -> Option<MetadataVersion> {
        self.told.get(name).map(|(told, _)| told.version)
    }
}
