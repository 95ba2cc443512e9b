//! Watches on nodes and on the register.

use crate::core::Input;
use crate::run::{AGAIN, HEAD_WITHIN, Loop, SILENCE};
use serde_json::{Value, json};
use tidespur_api::{Object, meta, names};
use tidespur_net::follow::{ListWatchEvent, list_and_watch};
use tidespur_net::{NetError, clock};

impl Loop {
    pub(crate) async fn watch_node(&self, node: &str, address: &str) {
        let path = "/api/v1/pods?watch=true&allowWatchBookmarks=true&sendInitialEvents=true\
            &resourceVersionMatch=NotOlderThan";
        loop {
            let client = self.client(address);
            let down = match client.stream_lines(path, HEAD_WITHIN).await {
                Ok(mut lines) => {
                    let mut first = Some(Vec::new());
                    while let Some(Ok(Some(line))) = clock::timeout(SILENCE, lines.next()).await {
                        let Ok(mut event) = serde_json::from_slice::<Value>(&line) else {
                            break;
                        };
                        let object = event["object"].take();
                        let input = match (event["type"].as_str().unwrap_or(""), &mut first) {
                            ("BOOKMARK", Some(_)) => match first.take() {
                                Some(held) => Input::NodeHolds(node.to_owned(), held),
                                None => continue,
                            },
                            ("BOOKMARK", None) => Input::NodeHeard(node.to_owned()),
                            ("ADDED", Some(held)) => {
                                held.push(object);
                                continue;
                            }
                            ("ADDED" | "MODIFIED", _) => {
                                Input::NodePod(node.to_owned(), object, false)
                            }
                            ("DELETED", _) => Input::NodePod(node.to_owned(), object, true),
                            _ => break,
                        };
                        let _ = self.inputs.send(input).await;
                    }
                    false
                }
                Err(NetError::Refused) => true,
                Err(_) => false,
            };
            let _ = self
                .inputs
                .send(Input::NodeDown(node.to_owned(), down))
                .await;
            clock::sleep(AGAIN).await;
        }
    }

    /// One list and the watch after it; says why it ended.
    pub(crate) async fn watch_register(&self) -> String {
        let client = self.client(&self.options.shared.register);
        let node_changed = |node: Value, deleted: bool| {
            let mut line = told(&node);
            line["deleted"] = deleted.into();
            self.recorder.record("told", || line);
            Input::ListChange(node, deleted)
        };
        let read = |event| match event {
            ListWatchEvent::Listed(nodes) => {
                let lines: Vec<Value> = nodes.iter().map(told).collect();
                self.recorder.record("list", || json!({"nodes": lines}));
                Input::ListWhole(nodes)
            }
            ListWatchEvent::Updated(node) => node_changed(node, false),
            ListWatchEvent::Deleted(node) => node_changed(node, true),
        };
        list_and_watch(
            &client,
            "/api/v1/nodes",
            HEAD_WITHIN,
            SILENCE,
            read,
            &self.inputs,
        )
        .await
    }
}

/// What a Node in the list says, for the recording.
fn told(node: &Object) -> Value {
    json!({"node": meta::name(node), "unschedulable": meta::value_at(node, &["spec", "unschedulable"]),
        "up_since": meta::annotation(node, names::STARTED_AT), "rack": meta::label(node, names::RACK),
        "zone": meta::label(node, names::ZONE)})
}
