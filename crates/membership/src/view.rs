//! The fleet as one member sees it, for the process that runs the member and for operators.

use crate::{DropReason, MemberId, MemberMetadata, Seconds};
use std::collections::BTreeMap;

/// Status of a member, as the failure detector of another member sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// It replies to probes.
    Alive,
    /// It did not reply to a probe, and may refute the suspicion until the suspicion timeout.
    Suspect,
    /// It was declared failed: the suspicion was not refuted in time.
    Failed,
    /// It has left the fleet gracefully.
    Left,
}

impl MemberStatus {
    /// Whether it counts as a member: alive or suspected.
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

/// The state of a member as the member that has the view sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberState {
    /// The newest known identity of the member.
    pub id: MemberId,
    /// The status of that identity.
    pub status: MemberStatus,
    /// When the status last changed, by the clock of the member that has the view.
    pub since: Seconds,
    /// The newest received metadata; `None` until some is received.
    pub metadata: Option<MemberMetadata>,
    /// When the metadata was received, by the same clock; 0 without metadata.
    pub metadata_received_at: Seconds,
}

/// The fleet as one member sees it, itself included.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// The member that has this view.
    pub own: MemberId,
    /// All known members, itself included, in order of their names.
    pub members: Vec<MemberState>,
    /// Whether the metadata of every alive member carries the same view hash as this member's own view.
    pub has_converged: bool,
    /// Number of dropped datagrams by reason, since the start.
    pub drops: BTreeMap<DropReason, u64>,
    /// Number of times this member was declared failed and rejoined.
    pub rejoins: u64,
    /// Number of times this process was suspended long enough that the failure detector's clock was stopped meanwhile.
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
