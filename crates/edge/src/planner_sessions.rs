//! Sessions of planners: accepts connections, and passes messages on to the event loop.

use crate::core::Input;
use crate::dispatcher::PlannerId;
use crate::server::{ConnectedPlanner, EdgeServer};
use serde_json::json;
use smol::Task;
use smol::net::{TcpListener, TcpStream};
use std::error::Error;
use std::sync::Arc;
use tidespur_net::frames::{self, FrameReader};
use tidespur_net::{Recorder, clock};
use tidespur_planner_protocol::{ToEdge, ToPlanner};

/// Delay after a connection could not be accepted, in seconds.
const ACCEPT_RETRY_INTERVAL: f64 = 0.05;

/// Why the session of a planner ended.
#[derive(Debug, thiserror::Error)]
enum SessionError {
    #[error("cannot set up the socket: {0}")]
    Socket(#[from] std::io::Error),
    #[error("no Hello message within {timeout} s")]
    HelloTimeout { timeout: f64 },
    #[error("the first message is not Hello: {received:?}")]
    NotHello { received: Option<ToEdge> },
    #[error("the edge is shutting down")]
    ShuttingDown,
    #[error("the connection failed: {0}")]
    Connection(Box<dyn Error + Send + Sync>),
}

impl EdgeServer {
    /// Accepts planners until the future is dropped, which ends their sessions.
    pub(crate) async fn accept_planners(self: Arc<Self>, listener: TcpListener) {
        let mut sessions: Vec<Task<()>> = Vec::new();
        let mut last_id: PlannerId = 0;
        loop {
            match listener.accept().await {
                Ok((socket, peer)) => {
                    last_id += 1;
                    let session = self.clone().run_session(last_id, socket, peer.to_string());
                    sessions.retain(|session| !session.is_finished());
                    sessions.push(smol::spawn(session));
                }
                Err(error) => {
                    tracing::warn!(%error, "cannot accept a planner connection");
                    clock::sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }

    async fn run_session(self: Arc<Self>, planner: PlannerId, socket: TcpStream, peer: String) {
        let edge = &self.options.name;
        match self.serve_planner(planner, socket).await {
            Ok(()) => tracing::info!(edge, planner, peer, "the planner session ended"),
            Err(error) => {
                tracing::info!(edge, planner, peer, %error, "the planner session failed");
            }
        }
        self.planners.lock().remove(&planner);
        if self.inputs.send(Input::PlannerLost(planner)).await.is_err() {
            tracing::debug!(edge, planner, "the event loop has already ended");
        }
    }

    async fn serve_planner(
        &self,
        planner: PlannerId,
        socket: TcpStream,
    ) -> Result<(), SessionError> {
        socket.set_nodelay(true)?;
        let timeout = self.config.edge.planner_timeout;
        let mut reader = FrameReader::new(socket.clone());
        let name = self.receive_hello(&mut reader, timeout).await?;
        let (messages, queue) = async_channel::bounded(frames::MAX_QUEUED_MESSAGES);
        let welcome = ToPlanner::Welcome {
            edge: self.options.name.clone(),
        };
        let connected = ConnectedPlanner {
            name: name.clone(),
            messages: messages.clone(),
        };
        if messages.try_send(welcome).is_err() {
            return Err(SessionError::ShuttingDown);
        }
        self.planners.lock().insert(planner, connected);
        let input = Input::PlannerConnected(planner);
        if self.inputs.send(input).await.is_err() {
            return Err(SessionError::ShuttingDown);
        }
        let to_input = |message| message_to_input(planner, &name, message, &self.recorder);
        let session = frames::Session {
            queue,
            send: messages,
            heartbeat: ToPlanner::Heartbeat,
        };
        frames::run_session(socket, reader, session, timeout, to_input, &self.inputs)
            .await
            .map_err(|error| SessionError::Connection(error.into()))
    }

    /// Waits for the planner's Hello; returns the planner's name.
    async fn receive_hello(
        &self,
        reader: &mut FrameReader,
        timeout: f64,
    ) -> Result<String, SessionError> {
        let received = clock::timeout(timeout, reader.next::<ToEdge>())
            .await
            .ok_or(SessionError::HelloTimeout { timeout })?
            .map_err(|error| SessionError::Connection(error.into()))?;
        let Some(ToEdge::Hello { planner, ordinal }) = received else {
            return Err(SessionError::NotHello { received });
        };
        let edge = &self.options.name;
        tracing::info!(edge, planner, ordinal, "a planner connected");
        Ok(planner)
    }
}

/// Converts a message to an input; `None` for a heartbeat. Records the message, except for the frequent pending
/// reasons.
fn message_to_input(
    planner: PlannerId,
    name: &str,
    message: ToEdge,
    recorder: &Recorder,
) -> Option<Input> {
    match &message {
        ToEdge::Heartbeat => return None,
        ToEdge::PendingReasons(_) => {}
        recorded => recorder.record(
            "planner",
            || json!({"planner": name, "message": format!("{recorded:?}")}),
        ),
    }
    Some(Input::MessageReceived { planner, message })
}
