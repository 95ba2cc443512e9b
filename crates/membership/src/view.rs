//! The view that a member has of the fleet, for its program and for operators.

use crate::{DropReason, MemberId, MemberMetadata, Seconds};
use std::collections::BTreeMap;

/// Status of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// It replies to probes.
    Alive,
    /// It did not reply to a probe, and has some time to refute the suspicion.
    Suspect,
    /// It was declared failed.
    Failed,
    /// It has left in order.
    Left,
}

impl MemberStatus {
    /// Whether it counts as a member; a suspected one does.
    pub fn is_alive(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// The status in tables, logs and JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "live",
            Self::Suspect => "doubted",
            Self::Failed => "lost",
            Self::Left => "left",
        }
    }
}

/// The state of a member as another one sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberState {
    /// Its identity.
    pub id: MemberId,
    /// Its status.
    pub status: MemberStatus,
    /// When the status last changed, by the clock of the member that sees it.
    pub since: Seconds,
    /// Its metadata, once it was received.
    pub metadata: Option<MemberMetadata>,
    /// When the metadata was received.
    pub metadata_received_at: Seconds,
}

/// The fleet as one member sees it, itself included.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// The member that has this view.
    pub own: MemberId,
    /// All known members, itself included, in order of their names.
    pub members: Vec<MemberState>,
    /// Whether the view has converged: all alive members have published the same view as this one.
    pub has_converged: bool,
    /// Number of dropped datagrams by reason.
    pub drops: BTreeMap<DropReason, u64>,
    /// How often this member was declared failed and rejoined.
    pub rejoins: u64,
    /// How often this member was suspended for longer than a member may be.
    pub stalls: u64,
}

impl MembershipView {
    /// The members that are alive or suspected.
    pub fn live_members(&self) -> impl Iterator<Item = &MemberState> {
        self.members
            .iter()
            .filter(|member| member.status.is_alive())
    }
}
