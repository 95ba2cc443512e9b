//! The running planner: what its event loop, connections and watches share.

use crate::core::Input;
use crate::options::Options;
use crate::task_table::EdgeId;
use async_channel::Sender;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use tidespur_config::Config;
use tidespur_net::{Client, Recorder};
use tidespur_planner_protocol::ToEdge;

/// A watch silent for this long is lost, in seconds. Nodes and the registry send bookmarks every half second.
pub(crate) const WATCH_TIMEOUT: f64 = 1.6;
/// The headers of a watch's response must arrive within this, in seconds.
pub(crate) const WATCH_HEADER_TIMEOUT: f64 = 2.0;
/// Pause before a lost connection is opened again, in seconds.
pub(crate) const RECONNECT_BACKOFF: f64 = 0.25;

/// The running planner.
pub(crate) struct PlannerProcess {
    pub(crate) config: Config,
    pub(crate) options: Options,
    pub(crate) name: String,
    /// The event loop's inputs.
    pub(crate) inputs: Sender<Input>,
    /// The message queues of connected edges.
    pub(crate) edges: Mutex<BTreeMap<EdgeId, Sender<ToEdge>>>,
    /// HTTP clients by address.
    pub(crate) clients: Mutex<BTreeMap<String, Client>>,
    /// The watches on nodes, by node.
    pub(crate) node_watches: Mutex<BTreeMap<String, smol::Task<()>>>,
    pub(crate) recorder: Recorder,
}

impl PlannerProcess {
    /// Queues an input for the event loop; waits while the queue is full.
    pub(crate) async fn send_input(&self, input: Input) {
        // The queue is closed once the event loop has ended: then nobody needs the input.
        drop(self.inputs.send(input).await);
    }
}
