//! What the pool knows of a machine and of a connection to it.

use crate::UpstreamId;
use crate::message::RequestId;
use std::collections::BTreeSet;
use tidespur_policy::interface::{MachineId, Seconds};

/// A connection to a machine that is open or being dialled.
#[derive(Debug)]
pub(super) struct Upstream {
    /// The machine at its address, by the endpoint list.
    pub(super) machine: MachineId,
    /// The address that it was dialled at, `HOST:PORT`.
    pub(super) address: String,
    pub(super) dialled_at: Seconds,
    /// When it was dialled; `None` once it is open.
    pub(super) dialling_since: Option<Seconds>,
    /// Offers without an answer: at most one, unless there was no capacity for another connection.
    pub(super) pending_offers: Vec<RequestId>,
    /// Offers that are not sent yet, as the connection is not open, is blocked, or their clients are being checked.
    /// Each is kept separately, so that a cancelled one is never sent.
    pub(super) unsent_offers: Vec<(RequestId, Vec<u8>)>,
    /// Whether the machine accepts no bytes at present.
    pub(super) blocked: bool,
    /// The offer of which only the first bytes were sent.
    pub(super) partially_written: Option<RequestId>,
    /// Time of the last received message, or of the opening if there was none.
    pub(super) last_received_at: Seconds,
    /// Time of the last offer or message about a task, or of the dial.
    pub(super) last_used_at: Seconds,
    pub(super) health_check_sent_at: Option<Seconds>,
    pub(super) health_checks_sent: u64,
    pub(super) health_checks_answered: u64,
    pub(super) opened_at: Seconds,
    /// Class and sort key in the pool's index of idle connections; `None` while it is in use.
    pub(super) idle_entry: Option<(IdleClass, u64)>,
}

/// Why an idle connection is kept, in the order of replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum IdleClass {
    /// For reuse; sorted by its last use.
    Spare,
    /// As the only healthy connection to a machine that holds a placed task; sorted by the time when it was opened.
    Required,
}

impl Upstream {
    pub(super) fn is_idle(&self) -> bool {
        self.dialling_since.is_none() && self.pending_offers.is_empty()
    }

    /// Whether it is open and no health check is unanswered.
    pub(super) fn is_healthy(&self) -> bool {
        self.dialling_since.is_none() && self.health_check_sent_at.is_none()
    }
}

/// A machine that is listed, holds a task of this scheduler, or has a connection.
#[derive(Debug, Default)]
pub(super) struct Peer {
    /// Empty while it is unknown, and once another machine has it.
    pub(super) address: String,
    /// Whether the machine has left the endpoint list.
    pub(super) is_gone: bool,
    /// Connections that are not half-closed.
    pub(super) upstreams: BTreeSet<UpstreamId>,
    /// Number of tasks placed on it.
    pub(super) placed_tasks: usize,
    /// Time of the last message or successful dial. Reset when the machine becomes known and when its first task is
    /// placed.
    pub(super) last_received_at: Seconds,
    /// Consecutive failed dials, refused ones included.
    pub(super) consecutive_failures: u32,
    pub(super) consecutive_refusals: u32,
    /// Earliest time of the next dial that maintenance starts.
    pub(super) next_dial_at: Seconds,
    /// When a message of the machine may have been lost last; `None` once a connection was opened that was dialled
    /// later. Until then another connection is dialled although there is an open one, as the machine sends the ends
    /// of its tasks again only on a new one.
    pub(super) message_lost_at: Option<Seconds>,
}

/// A connection that is closed for writing and still read.
#[derive(Debug)]
pub(super) struct HalfClosed {
    pub(super) machine: MachineId,
    pub(super) address: String,
    pub(super) since: Seconds,
    /// Closed if the machine has not closed it after this time.
    pub(super) timeout: Seconds,
}
