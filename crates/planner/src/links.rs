//! Links to edges.

use crate::book::EdgeId;
use crate::core::Input;
use crate::run::{AGAIN, LINKS_MOST, LOOK, Loop};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;
use tidespur_membership::{MemberMetadata, MemberStatus, Role};
use tidespur_membership_net::{MemberHandle, ShutdownReason};
use tidespur_net::{clock, frames};
use tidespur_planner_protocol::{ToEdge, ToPlanner};

impl Loop {
    /// Keeps a link to each edge that the fleet lists; ends with the member.
    pub(crate) async fn keep_fleet(
        self: Arc<Self>,
        member: Option<MemberHandle>,
        mut links: Links,
    ) -> ShutdownReason {
        let Some(member) = member else {
            // The links given by hand are kept.
            return std::future::pending().await;
        };
        loop {
            if let Some(ending) = member.wait_for_shutdown(LOOK).await {
                return ending;
            }
            let view = member.view();
            let listed = view
                .live_members()
                .filter_map(|seen| seen.metadata.as_ref());
            let listed: Vec<&MemberMetadata> =
                listed.filter(|facts| facts.role == Role::Edge).collect();
            for edge in listed
                .iter()
                .filter(|edge| !edge.link.is_empty() && !edge.leaving)
            {
                links.open(&self, &edge.link, false);
            }
            // An edge in whose place nobody is known any more: one that is only lost is dialled on, as the view may be
            // wrong and a link that works is better evidence.
            let known: Vec<&str> = view
                .members
                .iter()
                .filter(|seen| seen.status != MemberStatus::Left)
                .filter_map(|seen| Some(seen.metadata.as_ref()?.link.as_str()))
                .collect();
            links.keep(&self, &known);
        }
    }

    pub(crate) async fn follow_edge(&self, id: EdgeId, address: &str) {
        loop {
            match self.serve_edge(id, address).await {
                Ok(()) => tracing::info!(planner = self.name, edge = address, "the link ended"),
                Err(why) => tracing::debug!(planner = self.name, edge = address, why, "no link"),
            }
            if let Ok(mut edges) = self.edges.lock() {
                edges.remove(&id);
            }
            let _ = self.inputs.send(Input::EdgeLost(id)).await;
            clock::sleep(AGAIN).await;
        }
    }

    pub(crate) async fn serve_edge(&self, id: EdgeId, address: &str) -> Result<(), String> {
        let routes = tidespur_net::routes::Routes::from_file(self.options.shared.routes.clone());
        let socket =
            clock::timeout(1.0, smol::net::TcpStream::connect(routes.resolve(address))).await;
        let socket = socket.ok_or("timed out")?.map_err(|e| e.to_string())?;
        socket.set_nodelay(true).map_err(|e| e.to_string())?;
        let (send, queue) = async_channel::bounded(frames::MAX_QUEUED_MESSAGES);
        let hello = ToEdge::Hello {
            planner: self.name.clone(),
            ordinal: self.options.ordinal,
        };
        send.try_send(hello).map_err(|e| e.to_string())?;
        if let Ok(mut edges) = self.edges.lock() {
            edges.insert(id, send.clone());
        }
        let patience = self.config.planner.edge_timeout;
        let read = |message| {
            if message == ToPlanner::Heartbeat {
                return None;
            }
            self.recorder
                .record("heard", || json!({"message": message}));
            Some(Input::Edge(id, message))
        };
        let reader = frames::FrameReader::new(socket.clone());
        let link = frames::Session {
            queue,
            send,
            heartbeat: ToEdge::Heartbeat,
        };
        frames::run_session(socket, reader, link, patience, read, &self.inputs).await
    }
}

/// Links to edges, by address.
#[derive(Default)]
pub(crate) struct Links {
    open: BTreeMap<String, Link>,
    next: EdgeId,
}

struct Link {
    id: EdgeId,
    by_hand: bool,
    task: smol::Task<()>,
}

impl Links {
    /// Opens a link, unless there is one.
    pub(crate) fn open(&mut self, to: &Arc<Loop>, address: &str, by_hand: bool) {
        if self.open.contains_key(address) || self.open.len() >= LINKS_MOST {
            return;
        }
        let (this, id, at) = (to.clone(), self.next, address.to_owned());
        self.next += 1;
        let task = smol::spawn(async move { this.follow_edge(id, &at).await });
        self.open
            .insert(address.to_owned(), Link { id, by_hand, task });
    }

    /// Dials edges no more that are not known any more, but for those given by hand. A link that stands is left to
    /// end by itself: it is better evidence than the view.
    fn keep(&mut self, of: &Arc<Loop>, known: &[&str]) {
        let stands = |id: EdgeId| of.edges.lock().is_ok_and(|edges| edges.contains_key(&id));
        let gone: Vec<String> = self
            .open
            .iter()
            .filter(|(at, link)| !link.by_hand && !known.contains(&at.as_str()) && !stands(link.id))
            .map(|(at, _)| at.clone())
            .collect();
        for address in gone {
            let Some(Link { id, task, .. }) = self.open.remove(&address) else {
                continue;
            };
            drop(task);
            let this = of.clone();
            smol::spawn(async move { drop(this.inputs.send(Input::EdgeLost(id)).await) }).detach();
        }
    }
}
