//! A request and its state.

use crate::{DownstreamId, UpstreamId};
use std::net::IpAddr;
use tidespur_policy::interface::{MachineId, Seconds, TaskId};

/// The attempt that is out.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Its number.
    pub number: u32,
    /// The connection that carries it.
    pub upstream: UpstreamId,
    /// When it times out.
    pub deadline: Seconds,
}

/// Where a request is.
#[derive(Clone, Copy, Debug)]
pub enum RequestState {
    /// Its owner waits.
    Pending {
        /// The attempt that is out.
        attempt: Option<Attempt>,
        /// An earlier attempt may have run.
        may_have_run: bool,
    },
    /// The task stands.
    Placed {
        /// At this machine,
        machine: MachineId,
        /// by this attempt,
        attempt: u32,
        /// since it was offered, or handed over.
        since: Seconds,
    },
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The policy's name for it.
    pub task: TaskId,
    /// The connection of its set-up, or by which its owner came back; it may have gone.
    pub client: DownstreamId,
    /// The address it came from.
    pub from: Option<IpAddr>,
    /// Where it is.
    pub state: RequestState,
    /// The class's index in the settings.
    pub class_index: usize,
    /// What a machine is sent, but for the wait: code and value, in the owner's order.
    pub forwarded: Vec<(u8, Vec<u8>)>,
    /// Attempts made.
    pub attempts: u32,
    /// When the first attempt that may have run began.
    pub first_attempt_at: Option<Seconds>,
}
