//! Requests, their states and attempts.

use crate::message::Parameters;
use crate::{DownstreamId, UpstreamId};
use std::net::IpAddr;
use tidespur_policy::interface::{MachineId, Seconds, TaskId};

/// Memory of a pending request without its parameters, here, in the indexes and in the policy, in bytes.
const PENDING_REQUEST_BYTES: usize = 1024;

/// An attempt to place a task.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Number of the attempt within its request, from 0.
    pub number: u32,
    /// The connection that carries the offer.
    pub upstream: UpstreamId,
    /// When the attempt times out.
    pub deadline: Seconds,
}

/// Whether a request is pending or placed.
#[derive(Clone, Copy, Debug)]
pub enum RequestState {
    /// The owner waits for an answer.
    Pending {
        /// The current attempt; `None` between two attempts.
        attempt: Option<Attempt>,
        /// Whether the task may have run in an earlier attempt.
        may_have_run: bool,
    },
    /// A machine holds the task.
    Placed {
        /// The machine that the task is placed on.
        machine: MachineId,
        /// Number of the attempt that placed it; 0 for an adopted task.
        attempt: u32,
        /// When it was placed, or adopted.
        since: Seconds,
        /// When the connection was dialled on which the machine accepted it; `None` for an adopted task, whose owner
        /// named the machine.
        dialled_at: Option<Seconds>,
    },
}

/// A task that an owner submitted or handed over.
#[derive(Clone, Debug)]
pub struct Request {
    /// The policy's id of the task, assigned by the table.
    pub task: TaskId,
    /// The connection on which the set-up arrived or the owner reconnected; it may have ended.
    pub client: DownstreamId,
    /// IP address of that client; `None` if it was unknown.
    pub client_address: Option<IpAddr>,
    /// Changed through the table only, as the indexes depend on it.
    pub state: RequestState,
    /// Index of the task's class in the settings.
    pub class_index: usize,
    /// The parameters that are forwarded to a machine, in the owner's order. The timeout is replaced in each offer. Empty
    /// once the task is placed, as it is not offered again.
    pub forwarded: Parameters,
    /// Number of attempts made.
    pub attempts: u32,
    /// When the first attempt that may have run was sent; `None` if no attempt can have run.
    pub first_attempt_at: Option<Seconds>,
}

impl Request {
    /// Whether its owner waits for an answer.
    pub const fn is_pending(&self) -> bool {
        matches!(self.state, RequestState::Pending { .. })
    }

    /// Memory that it may need while it is pending, in bytes: its parameters, and their copy in an offer.
    pub fn pending_bytes(&self) -> usize {
        PENDING_REQUEST_BYTES + 2 * self.forwarded.encoded().len()
    }
}
