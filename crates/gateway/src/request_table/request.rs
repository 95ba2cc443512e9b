//! A request and its state.

use crate::{DownstreamId, UpstreamId};
use std::net::IpAddr;
use tidespur_policy::interface::{MachineId, Seconds, TaskId};

/// An attempt to place a task.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Number of the attempt of its request, from 0.
    pub number: u32,
    /// The connection that carries it.
    pub upstream: UpstreamId,
    /// When it times out.
    pub deadline: Seconds,
}

/// Whether a request is pending or placed.
#[derive(Clone, Copy, Debug)]
pub enum RequestState {
    /// The owner waits for an answer.
    Pending {
        /// The present attempt, if there is one.
        attempt: Option<Attempt>,
        /// An earlier attempt may have run.
        may_have_run: bool,
    },
    /// The task is placed.
    Placed {
        /// The machine that holds the task.
        machine: MachineId,
        /// Number of the attempt that placed it.
        attempt: u32,
        /// When it was placed, or adopted.
        since: Seconds,
    },
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The policy's id of the task.
    pub task: TaskId,
    /// The connection of the set-up, or on which its owner came back; it may have ended.
    pub client: DownstreamId,
    /// The address of that connection.
    pub client_address: Option<IpAddr>,
    /// Its present state.
    pub state: RequestState,
    /// The class's index in the settings.
    pub class_index: usize,
    /// The parameters that a machine is sent, except the wait: code and value, in the owner's order.
    pub forwarded: Vec<(u8, Vec<u8>)>,
    /// Number of attempts made.
    pub attempts: u32,
    /// When the first attempt that may have run began.
    pub first_attempt_at: Option<Seconds>,
}
