//! Offers to nodes, deletions there, and what they answer.

use crate::core::Answer;
use crate::run::Loop;
use crate::words;
use hyper::Method;
use serde_json::{Value, json};
use tidespur_api::task::PlacementRequest;
use tidespur_api::{Object, names};
use tidespur_net::{Client, NetError, clock};
use tidespur_policy::interface::{AttemptOutcome, FailureCause};

impl Loop {
    pub(crate) fn client(&self, address: &str) -> Client {
        let headers = vec![
            (names::ZONE_HEADER, self.options.zone.clone()),
            (names::PEER_HEADER, self.name.clone()),
        ];
        let connections = self.config.planner.max_connections_per_node as usize;
        let new = || Client::new(address, connections, headers);
        match self.clients.lock() {
            Ok(mut clients) => clients
                .entry(address.to_owned())
                .or_insert_with(new)
                .clone(),
            Err(_) => new(),
        }
    }

    pub(crate) async fn offer(
        &self,
        node: &str,
        address: &str,
        ask: &PlacementRequest,
        attempt: u32,
        wait: f64,
    ) -> Answer {
        let until = clock::now() + wait;
        let path = format!("/api/v1/namespaces/{}/pods", ask.tenant);
        let pod = pod(ask);
        self.recorder.record("send", || {
            json!({"uid": ask.uid, "key": ask.idempotency_key, "service": ask.service, "class": ask.class, "node": node,
                "attempt": attempt})
        });
        let client = self
            .client(address)
            .with_header("x-tidespur-until", format!("{until:.6}"));
        let body = pod.to_string().into_bytes().into();
        let reply = client
            .send(Method::POST, &path, "application/json", body, wait)
            .await;
        let (answer, said) = match reply {
            Ok(reply) => {
                let (report, status, body) = (load(&reply), reply.status.as_u16(), reply.json());
                match words::answer(status, &body) {
                    None => (Answer::Accepted(report), "accepted".to_owned()),
                    Some(ending) => {
                        let said = words::refusal(status, &body);
                        (Answer::Ended(ending, said.clone(), report), said)
                    }
                }
            }
            Err(problem) => {
                let ending = match &problem {
                    NetError::Connect(_) | NetError::Refused | NetError::Request(_) => {
                        AttemptOutcome::ConnectFailed
                    }
                    NetError::Timeout => AttemptOutcome::TimedOut,
                    NetError::Interrupted(_) => {
                        AttemptOutcome::Interrupted(FailureCause::Unspecified)
                    }
                };
                (
                    Answer::Ended(ending, problem.to_string(), None),
                    problem.to_string(),
                )
            }
        };
        self.recorder.record(
            "answer",
            || json!({"uid": ask.uid, "node": node, "attempt": attempt, "said": said}),
        );
        tracing::debug!(uid = ask.uid, node, attempt, said, "offer answered");
        answer
    }

    pub(crate) async fn delete(
        &self,
        address: &str,
        (space, name): &(String, String),
        pod_uid: Option<String>,
    ) {
        let path = format!("/api/v1/namespaces/{space}/pods/{name}");
        let body = match pod_uid {
            Some(uid) => json!({"preconditions": {"uid": uid}}),
            None => json!({}),
        };
        let bytes: bytes::Bytes = body.to_string().into_bytes().into();
        for pause in [0.1, 0.5, 1.0, 2.0, 4.0] {
            let client = self.client(address);
            match client
                .send(
                    Method::DELETE,
                    &path,
                    "application/json",
                    bytes.clone(),
                    2.0,
                )
                .await
            {
                // Done, not there, or another Pod by now.
                Ok(reply)
                    if reply.status.is_success() || [404, 409].contains(&reply.status.as_u16()) =>
                {
                    return;
                }
                Ok(_)
                | Err(NetError::Timeout | NetError::Interrupted(_) | NetError::Connect(_)) => {}
                // Its process is dead, and the Pod with it.
                Err(NetError::Refused) => return,
                Err(NetError::Request(problem)) => {
                    return tracing::error!(problem, space, name, "a deletion can't be sent");
                }
            }
            clock::sleep(pause).await;
        }
        tracing::warn!(
            space,
            name,
            address,
            "a Pod could not be deleted; it ends by itself or by a later sweep"
        );
    }
}

pub(crate) fn load(reply: &tidespur_net::Reply) -> Option<tidespur_policy::interface::LoadReport> {
    words::report(reply.headers.get(names::LOAD_HEADER)?.to_str().ok()?)
}

/// The Pod that a node is offered: the owner's spec, with what was read from it as the one sum of requests.
fn pod(ask: &PlacementRequest) -> Object {
    let memory = (ask.memory * names::MEMORY_UNIT).round();
    let job = ask.service.split_once('/').map_or("", |(_, job)| job);
    let mut annotations =
        json!({names::EDGE_POD_UID: ask.uid, names::IDEMPOTENCY_KEY: ask.idempotency_key});
    if let Some(life) = ask.expected_duration {
        annotations[names::EXPECTED_SECONDS] = life.to_string().into();
    }
    let mut spec: Value = serde_json::from_str(&ask.spec).unwrap_or(Value::Null);
    if spec["containers"][0].is_null() {
        // An edge always sends the spec; a peer that does not gets a Pod of that size.
        spec = json!({"containers": [{"name": "main", "resources": {"requests":
            {"cpu": format!("{}", ask.cores), "memory": format!("{memory}")}}}]});
    }
    spec["priorityClassName"] = ask.class.clone().into();
    json!({"kind": "Pod", "apiVersion": "v1",
        "metadata": {"name": ask.name, "namespace": ask.tenant, "annotations": annotations,
            "labels": {names::JOB_NAME: job}},
        "spec": spec})
}
