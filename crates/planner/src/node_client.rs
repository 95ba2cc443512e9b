//! HTTP requests to nodes: offers and deletions of Pods.

use crate::convert;
use crate::core::{Offer, OfferAnswer};
use crate::pod::PodName;
use crate::process::PlannerProcess;
use bytes::Bytes;
use hyper::Method;
use serde_json::{Value, json};
use tidespur_api::task::PlacementRequest;
use tidespur_api::{Object, names};
use tidespur_net::{Client, NetError, Reply, clock};
use tidespur_policy::interface::{AttemptOutcome, FailureCause, LoadReport};

/// Header of an offer with the time until which the node may accept it, in seconds since 1970.
const DEADLINE_HEADER: &str = "x-tidespur-until";
const JSON_MEDIA_TYPE: &str = "application/json";
/// Timeout of one attempt to delete a Pod, in seconds.
const DELETE_TIMEOUT: f64 = 2.0;
/// Delay after each failed attempt to delete a Pod, in seconds. There are as many attempts as delays.
const DELETE_BACKOFFS: [f64; 5] = [0.1, 0.5, 1.0, 2.0, 4.0];

/// Status codes with which a deletion is complete: the node does not hold the Pod, or its uid is another one.
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;

impl PlannerProcess {
    /// Returns the client for an address. All requests to an address share its connections.
    pub(crate) fn client(&self, address: &str) -> Client {
        let mut clients = self.clients.lock();
        if let Some(client) = clients.get(address) {
            return client.clone();
        }
        let headers = vec![
            (names::ZONE_HEADER, self.options.zone.clone()),
            (names::PEER_HEADER, self.name.clone()),
        ];
        let max_connections = self.config.planner.max_connections_per_node as usize;
        let client = Client::new(address, max_connections, headers);
        clients.insert(address.to_owned(), client.clone());
        client
    }

    /// Sends an offer and waits for the answer or the timeout.
    pub(crate) async fn offer(&self, offer: &Offer) -> OfferAnswer {
        let Offer {
            node,
            address,
            request,
            attempt,
            timeout,
            ..
        } = offer;
        let deadline = clock::now() + timeout;
        let path = format!("/api/v1/namespaces/{}/pods", request.tenant);
        self.recorder.record("send", || {
            json!({"uid": request.uid, "key": request.idempotency_key, "service": request.service,
                "class": request.class, "node": node, "attempt": attempt})
        });
        let client = self
            .client(address)
            .with_header(DEADLINE_HEADER, format!("{deadline:.6}"));
        let body = pod_of(request).to_string().into_bytes().into();
        let reply = client
            .send(Method::POST, &path, JSON_MEDIA_TYPE, body, *timeout)
            .await;
        let answer = match reply {
            Ok(reply) => read_answer(&reply),
            Err(error) => OfferAnswer::NotAccepted {
                outcome: outcome_of_error(&error),
                message: error.to_string(),
                report: None,
            },
        };
        let message = match &answer {
            OfferAnswer::Accepted(_) => "accepted",
            OfferAnswer::NotAccepted { message, .. } => message.as_str(),
        };
        self.recorder.record(
            "answer",
            || json!({"uid": request.uid, "node": node, "attempt": attempt, "said": message}),
        );
        tracing::debug!(uid = request.uid, node, attempt, message, "offer answered");
        answer
    }

    /// Deletes a Pod at a node, with retries. If `pod_uid` is given, a Pod with another uid is kept.
    pub(crate) async fn delete_pod(&self, address: &str, pod: &PodName, pod_uid: Option<String>) {
        let PodName { namespace, name } = pod;
        let path = format!("/api/v1/namespaces/{namespace}/pods/{name}");
        let body = match pod_uid {
            Some(uid) => json!({"preconditions": {"uid": uid}}),
            None => json!({}),
        };
        let body: Bytes = body.to_string().into_bytes().into();
        for backoff in DELETE_BACKOFFS {
            let client = self.client(address);
            let reply = client
                .send(
                    Method::DELETE,
                    &path,
                    JSON_MEDIA_TYPE,
                    body.clone(),
                    DELETE_TIMEOUT,
                )
                .await;
            match reply {
                Ok(reply) if is_deleted(&reply) => return,
                // The node's process has exited, and the Pod with it.
                Err(NetError::Refused) => return,
                Err(NetError::Request(error)) => {
                    tracing::error!(error, namespace, name, "invalid deletion request");
                    return;
                }
                Ok(_)
                | Err(NetError::Timeout | NetError::Interrupted(_) | NetError::Connect(_)) => {}
            }
            clock::sleep(backoff).await;
        }
        tracing::warn!(
            namespace,
            name,
            address,
            "Pod not deleted after all attempts; it ends by itself, or is deleted when it is reported again"
        );
    }
}

fn is_deleted(reply: &Reply) -> bool {
    reply.status.is_success() || [NOT_FOUND, CONFLICT].contains(&reply.status.as_u16())
}

/// Reads the load report in a node's response; `None` if it is missing or malformed.
pub(crate) fn read_load(reply: &Reply) -> Option<LoadReport> {
    convert::read_load_report(reply.headers.get(names::LOAD_HEADER)?.to_str().ok()?)
}

fn read_answer(reply: &Reply) -> OfferAnswer {
    let report = read_load(reply);
    let status = reply.status.as_u16();
    let body = reply.json();
    match convert::read_offer_outcome(status, &body) {
        None => OfferAnswer::Accepted(report),
        Some(outcome) => OfferAnswer::NotAccepted {
            outcome,
            message: convert::read_message(status, &body),
            report,
        },
    }
}

fn outcome_of_error(error: &NetError) -> AttemptOutcome {
    match error {
        NetError::Connect(_) | NetError::Refused | NetError::Request(_) => {
            AttemptOutcome::ConnectFailed
        }
        NetError::Timeout => AttemptOutcome::TimedOut,
        NetError::Interrupted(_) => AttemptOutcome::Interrupted(FailureCause::Unspecified),
    }
}

/// Makes the Pod that is offered to a node: the owner's spec with the annotations and the priority class of the
/// request.
fn pod_of(request: &PlacementRequest) -> Object {
    let job = request.service.split_once('/').map_or("", |(_, job)| job);
    let mut annotations = json!({
        names::EDGE_POD_UID: request.uid,
        names::IDEMPOTENCY_KEY: request.idempotency_key,
    });
    if let Some(duration) = request.expected_duration {
        annotations[names::EXPECTED_SECONDS] = duration.to_string().into();
    }
    let mut spec: Value = serde_json::from_str(&request.spec).unwrap_or(Value::Null);
    if spec["containers"][0].is_null() {
        // Edges always send the spec. Without one, the Pod has one container with the requested resources.
        let memory = (request.memory * names::MEMORY_UNIT).round();
        spec = json!({"containers": [{"name": "main", "resources": {"requests":
            {"cpu": format!("{}", request.cores), "memory": format!("{memory}")}}}]});
    }
    spec["priorityClassName"] = request.class.clone().into();
    json!({"kind": "Pod", "apiVersion": "v1",
        "metadata": {"name": request.name, "namespace": request.tenant, "annotations": annotations,
            "labels": {names::JOB_NAME: job}},
        "spec": spec})
}
