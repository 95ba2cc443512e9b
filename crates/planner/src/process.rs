//! The state that the planner's event loop, connections and watches share.

use crate::core::Input;
use crate::options::Options;
use crate::task_table::EdgeId;
use async_channel::Sender;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use tidespur_config::Config;
use tidespur_net::{Client, Recorder};
use tidespur_planner_protocol::ToEdge;

/// A watch that has received nothing for this time has failed, in seconds. Nodes and the node registry send bookmarks
/// every 0.5 s.
pub(crate) const WATCH_TIMEOUT: f64 = 1.6;
/// Timeout for the response headers of a watch, in seconds.
pub(crate) const WATCH_HEADER_TIMEOUT: f64 = 2.0;
/// Delay before a lost connection is reopened, in seconds.
pub(crate) const RECONNECT_BACKOFF: f64 = 0.25;

/// State shared by all futures of a planner.
pub(crate) struct PlannerProcess {
    pub(crate) config: Config,
    pub(crate) options: Options,
    pub(crate) name: String,
    /// Input queue of the event loop.
    pub(crate) inputs: Sender<Input>,
    /// Outgoing message queues of the connected edges.
    pub(crate) edges: Mutex<BTreeMap<EdgeId, Sender<ToEdge>>>,
    /// HTTP clients by address.
    pub(crate) clients: Mutex<BTreeMap<String, Client>>,
    /// Watches on the Pods of nodes, by node name.
    pub(crate) node_watches: Mutex<BTreeMap<String, smol::Task<()>>>,
    pub(crate) recorder: Recorder,
}

impl PlannerProcess {
    /// Queues an input for the event loop; waits while the queue is full.
    pub(crate) async fn send_input(&self, input: Input) {
        // The queue is closed only after the event loop has ended. The input can be dropped then.
        drop(self.inputs.send(input).await);
    }
}
