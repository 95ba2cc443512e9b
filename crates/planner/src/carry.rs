//! What the planner's core wants done, done.

use crate::core::{Input, Output};
use crate::offers::load;
use crate::run::Loop;
use hyper::Method;
use serde_json::json;
use std::sync::Arc;
use tidespur_net::clock;

impl Loop {
    pub(crate) fn carry_out(self: &Arc<Self>, output: Output) {
        match output {
            Output::Edge(edge, message) => {
                self.recorder.record("tell", || json!({"message": message}));
                let Ok(edges) = self.edges.lock() else { return };
                // A full queue means that the edge reads nothing: its link ends, and its tasks with it.
                if let Some(send) = edges.get(&edge)
                    && send.try_send(message).is_err()
                {
                    send.close();
                }
            }
            Output::Cut => {
                let Ok(edges) = self.edges.lock() else { return };
                for send in edges.values() {
                    send.close();
                }
            }
            Output::Offer {
                task,
                attempt,
                node,
                address,
                ask,
                wait,
            } => {
                let this = self.clone();
                smol::spawn(async move {
                    let answer = this.offer(&node, &address, &ask, attempt, wait).await;
                    let _ = this
                        .inputs
                        .send(Input::Answered {
                            task,
                            attempt,
                            answer,
                        })
                        .await;
                })
                .detach();
            }
            Output::Delete {
                address,
                name,
                pod_uid,
            } => {
                let this = self.clone();
                smol::spawn(async move { this.delete(&address, &name, pod_uid).await }).detach();
            }
            Output::WatchNode(node, address) => {
                let this = self.clone();
                let key = node.clone();
                let task = smol::spawn(async move { this.watch_node(&node, &address).await });
                if let Ok(mut watches) = self.watches.lock() {
                    // Dropping the older one's task ends it.
                    watches.insert(key, task);
                }
            }
            Output::Subscribe => {
                let this = self.clone();
                smol::spawn(async move {
                    let ended = this.watch_register().await;
                    tracing::warn!(
                        planner = this.name,
                        why = ended,
                        "the watch on the register ended"
                    );
                    let _ = this.inputs.send(Input::ListFailed).await;
                })
                .detach();
            }
            Output::Probe(node, address) => {
                let this = self.clone();
                smol::spawn(async move {
                    let client = this.client(&address);
                    let reply = client
                        .send(Method::GET, "/healthz", "", bytes::Bytes::new(), 1.0)
                        .await;
                    let report = reply.ok().and_then(|reply| load(&reply));
                    let _ = this.inputs.send(Input::Probed(node, report)).await;
                })
                .detach();
            }
            Output::Timer(after, token) => {
                let this = self.clone();
                smol::spawn(async move {
                    clock::sleep(after).await;
                    let _ = this.inputs.send(Input::Timer(token)).await;
                })
                .detach();
            }
            // The turn keeps it to itself.
            Output::Share(_) => {}
            Output::Log(line) => tracing::info!(planner = self.name, "{line}"),
        }
    }
}
