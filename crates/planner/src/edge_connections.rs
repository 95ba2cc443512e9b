//! Connects to edges, and reopens lost connections.

use crate::core::Input;
use crate::process::{PlannerProcess, RECONNECT_BACKOFF};
use crate::task_table::EdgeId;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;
use tidespur_net::{clock, frames, routes::Routes};
use tidespur_planner_protocol::{ToEdge, ToPlanner};

/// Maximum number of edges to which connections are kept.
const MAX_EDGE_CONNECTIONS: usize = 256;
/// Timeout for connecting to an edge, in seconds.
const CONNECT_TIMEOUT: f64 = 1.0;

/// Why a connection to an edge failed.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    #[error("connection attempt timed out after {CONNECT_TIMEOUT} s")]
    ConnectTimeout,
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    #[error("{0}")]
    Session(Box<dyn std::error::Error + Send + Sync>),
}

impl PlannerProcess {
    /// Keeps a connection to an edge, and reopens it whenever it ends.
    async fn maintain_connection(&self, id: EdgeId, address: &str) {
        loop {
            match self.run_connection(id, address).await {
                Ok(()) => {
                    tracing::info!(
                        planner = self.name,
                        edge = address,
                        "connection to edge closed"
                    );
                }
                Err(error) => {
                    tracing::debug!(planner = self.name, edge = address, %error, "connection to edge failed");
                }
            }
            self.edges.lock().remove(&id);
            self.send_input(Input::EdgeDisconnected(id)).await;
            clock::sleep(RECONNECT_BACKOFF).await;
        }
    }

    /// Connects to an edge and exchanges messages until the connection ends.
    async fn run_connection(&self, id: EdgeId, address: &str) -> Result<(), ConnectionError> {
        let routes = Routes::from_file(self.options.shared.routes.clone());
        let connect = smol::net::TcpStream::connect(routes.resolve(address));
        let socket = clock::timeout(CONNECT_TIMEOUT, connect)
            .await
            .ok_or(ConnectionError::ConnectTimeout)??;
        socket.set_nodelay(true)?;
        let (sender, queue) = async_channel::bounded(frames::MAX_QUEUED_MESSAGES);
        let hello = ToEdge::Hello {
            planner: self.name.clone(),
            ordinal: self.options.ordinal,
        };
        sender
            .try_send(hello)
            .map_err(|error| ConnectionError::Session(error.into()))?;
        self.edges.lock().insert(id, sender.clone());
        let read = |message| {
            if message == ToPlanner::Heartbeat {
                return None;
            }
            self.recorder
                .record("heard", || json!({"message": message}));
            Some(Input::EdgeMessage(id, message))
        };
        let reader = frames::FrameReader::new(socket.clone());
        let session = frames::Session {
            queue,
            send: sender,
            heartbeat: ToEdge::Heartbeat,
        };
        let timeout = self.config.planner.edge_timeout;
        frames::run_session(socket, reader, session, timeout, read, &self.inputs)
            .await
            .map_err(|error| ConnectionError::Session(error.into()))
    }
}

/// Where an edge's address comes from.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Source {
    /// The command line. The connection is kept until the process exits.
    Static,
    /// The membership view of the fleet.
    Discovered,
}

/// The future that keeps a connection to an edge. Dropping it closes the connection.
struct EdgeConnection {
    id: EdgeId,
    source: Source,
    _task: smol::Task<()>,
}

/// The connections to edges, by address.
#[derive(Default)]
pub(crate) struct EdgeConnections {
    by_address: BTreeMap<String, EdgeConnection>,
    next_id: u64,
}

impl EdgeConnections {
    /// Connects to an edge given on the command line.
    pub(crate) fn open_static(&mut self, process: &Arc<PlannerProcess>, address: &str) {
        self.open(process, address, Source::Static);
    }

    /// Connects to an edge found in the fleet.
    pub(crate) fn open_discovered(&mut self, process: &Arc<PlannerProcess>, address: &str) {
        self.open(process, address, Source::Discovered);
    }

    fn open(&mut self, process: &Arc<PlannerProcess>, address: &str, source: Source) {
        let is_full = self.by_address.len() >= MAX_EDGE_CONNECTIONS;
        if self.by_address.contains_key(address) || is_full {
            return;
        }
        let id = EdgeId(self.next_id);
        self.next_id += 1;
        let process = process.clone();
        let edge_address = address.to_owned();
        let task = smol::spawn(async move { process.maintain_connection(id, &edge_address).await });
        let connection = EdgeConnection {
            id,
            source,
            _task: task,
        };
        self.by_address.insert(address.to_owned(), connection);
    }

    /// Stops connecting to discovered edges whose address is not in `known`. An open connection is kept until it ends:
    /// it is better evidence than the membership view.
    pub(crate) fn close_unknown(&mut self, process: &Arc<PlannerProcess>, known: &[&str]) {
        let is_gone = |address: &str, connection: &EdgeConnection| {
            connection.source == Source::Discovered
                && !known.contains(&address)
                && !process.edges.lock().contains_key(&connection.id)
        };
        let gone: Vec<String> = self
            .by_address
            .iter()
            .filter(|(address, connection)| is_gone(address, connection))
            .map(|(address, _)| address.clone())
            .collect();
        for address in gone {
            let Some(connection) = self.by_address.remove(&address) else {
                continue;
            };
            let id = connection.id;
            let process = process.clone();
            // Detached because it only waits for space in the input queue.
            smol::spawn(async move { process.send_input(Input::EdgeDisconnected(id)).await })
                .detach();
        }
    }
}
