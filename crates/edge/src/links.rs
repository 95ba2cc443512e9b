//! Links to planners, and the watch on the register.

use crate::core::Input;
use crate::desk::PlannerId;
use crate::run::{Linked, Loop, SILENCE};
use serde_json::json;
use smol::net::{TcpListener, TcpStream};
use std::sync::Arc;
use tidespur_net::follow::{ListWatchEvent, list_and_watch};
use tidespur_net::{Client, clock, frames};
use tidespur_planner_protocol::{ToEdge, ToPlanner};

impl Loop {
    pub(crate) async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut next: PlannerId = 0;
        loop {
            match listener.accept().await {
                Ok((socket, peer)) => {
                    next += 1;
                    let (this, id) = (self.clone(), next);
                    smol::spawn(async move {
                        let ended = this.serve_planner(id, socket).await;
                        tracing::info!(edge = this.options.name, %peer, ?ended, "a planner's link ended");
                        if let Ok(mut planners) = this.planners.lock() {
                            planners.remove(&id);
                        }
                        let _ = this.inputs.send(Input::PlannerLost(id)).await;
                    })
                    .detach();
                }
                Err(problem) => {
                    tracing::warn!(%problem, "a planner can't be accepted");
                    clock::sleep(0.05).await;
                }
            }
        }
    }

    async fn serve_planner(&self, id: PlannerId, socket: TcpStream) -> Result<(), String> {
        socket.set_nodelay(true).map_err(|e| e.to_string())?;
        let patience = self.config.edge.planner_timeout;
        let mut reader = frames::FrameReader::new(socket.clone());
        let first = clock::timeout(patience, reader.next::<ToEdge>())
            .await
            .ok_or("no Hello in time")??;
        let Some(ToEdge::Hello { planner, ordinal }) = first else {
            return Err(format!("its first message is no Hello: {first:?}"));
        };
        tracing::info!(
            edge = self.options.name,
            planner,
            ordinal,
            "a planner is here"
        );
        let (send, queue) = async_channel::bounded(frames::MAX_QUEUED_MESSAGES);
        send.try_send(ToPlanner::Welcome {
            edge: self.options.name.clone(),
        })
        .map_err(|e| e.to_string())?;
        self.planners.lock().map_err(|e| e.to_string())?.insert(
            id,
            Linked {
                name: planner.clone(),
                send: send.clone(),
            },
        );
        self.inputs
            .send(Input::PlannerUp(id))
            .await
            .map_err(|e| e.to_string())?;
        let read = |message| {
            if message == ToEdge::Heartbeat {
                return None;
            }
            if matches!(message, ToEdge::PendingReasons(_)) {
                return Some(Input::Said(id, message));
            }
            self.recorder.record(
                "planner",
                || json!({"planner": planner, "message": format!("{message:?}")}),
            );
            Some(Input::Said(id, message))
        };
        let link = frames::Session {
            queue,
            send,
            heartbeat: ToPlanner::Heartbeat,
        };
        frames::run_session(socket, reader, link, patience, read, &self.inputs).await
    }

    pub(crate) async fn follow_register(self: Arc<Self>) {
        loop {
            let why = self.watch_register().await;
            tracing::warn!(
                edge = self.options.name,
                why,
                "the watch on the register ended"
            );
            clock::sleep(0.5).await;
        }
    }

    async fn watch_register(&self) -> String {
        let client = Client::new(&self.options.shared.register, 2, vec![]);
        let read = |followed| match followed {
            ListWatchEvent::Listed(nodes) => Input::Nodes(nodes),
            ListWatchEvent::Updated(node) => Input::Node(node, false),
            ListWatchEvent::Deleted(node) => Input::Node(node, true),
        };
        list_and_watch(&client, "/api/v1/nodes", 2.0, SILENCE, read, &self.inputs).await
    }
}
