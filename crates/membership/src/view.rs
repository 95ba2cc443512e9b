//! What a member knows of the fleet, for those who ask.

use crate::facts::MemberMetadata;
use crate::id::MemberId;
use crate::wire::DropReason;
use std::collections::BTreeMap;

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// It answers.
    Alive,
    /// It did not answer somebody; it has a while to say that it lives.
    Suspect,
    /// It was given up.
    Failed,
    /// It ended in order.
    Left,
}

impl MemberStatus {
    /// Whether it counts as a member: one in doubt does.
    pub fn is_alive(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Its word in tables and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "live",
            Self::Suspect => "doubted",
            Self::Failed => "lost",
            Self::Left => "left",
        }
    }
}

/// One member as another sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberState {
    /// Who.
    pub id: MemberId,
    /// How it stands.
    pub status: MemberStatus,
    /// Since when, in seconds of the asked member's clock.
    pub since: f64,
    /// What it tells of itself, once that has come.
    pub metadata: Option<MemberMetadata>,
    /// When these came.
    pub metadata_received_at: f64,
}

/// The fleet as one member sees it, itself included.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// Whose view it is.
    pub own: MemberId,
    /// All that are known, by name.
    pub members: Vec<MemberState>,
    /// Every live member was heard to see the same live members as this one.
    pub settled: bool,
    /// Datagrams dropped, by cause.
    pub drops: BTreeMap<DropReason, u64>,
    /// How often this member was given up by others and came back.
    pub rejoins: u64,
    /// How often it stood still for longer than a member may.
    pub stalls: u64,
}

impl MembershipView {
    /// Those that count as members.
    pub fn live_members(&self) -> impl Iterator<Item = &MemberState> {
        self.members.iter().filter(|seen| seen.status.is_alive())
    }
}
