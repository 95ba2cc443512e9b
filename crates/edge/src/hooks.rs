//! What the edge adds to the plain API.

use crate::core::{Input, owner_uid};
use crate::memory::Shared;
use crate::metrics;
use crate::waits::lock;
use async_channel::Sender;
use hyper::{HeaderMap, Method};
use serde_json::json;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tidespur_api::resource::{EVENTS, JOBS, NAMESPACES, PODS};
use tidespur_api::status::Cause;
use tidespur_api::{ApiError, Object, Resource, meta, names};
use tidespur_coordination_net::VoterHandle;
use tidespur_load_shedding::LoadShedder;
use tidespur_membership_net::MemberHandle;
use tidespur_net::{Client, NetError, Recorder, clock};
use tidespur_pending::PendingRecords;
use tidespur_rest::{DeleteOptions, Hooks, RequestLog, Verb};
use tidespur_store::{Precondition, Store};

mod parts;
mod waits;

/// Records in one answer, the longest waiting first.
const RECORDS_MOST: usize = 1_000;

pub(crate) struct EdgeHooks {
    pub(crate) classes: Vec<String>,
    pub(crate) open: AtomicUsize,
    pub(crate) open_most: usize,
    pub(crate) planners: AtomicUsize,
    pub(crate) inputs: Sender<Input>,
    pub(crate) register: Client,
    pub(crate) recorder: Recorder,
    pub(crate) ledger: Arc<Mutex<PendingRecords>>,
    pub(crate) behind: AtomicU64,
    pub(crate) member: Option<Arc<MemberHandle>>,
    pub(crate) shedder: Mutex<LoadShedder>,
    pub(crate) disk: Shared,
    pub(crate) voter: Option<Arc<VoterHandle>>,
}

impl EdgeHooks {
    /// Whether a new Pod of this class is taken, as far as the edge keeps up with its work.
    fn keeps_up(&self, class: &str) -> bool {
        let class = self
            .classes
            .iter()
            .position(|name| name == class)
            .unwrap_or(0);
        lock(&self.shedder).admit(class)
    }
}

impl Hooks for EdgeHooks {
    fn classes(&self) -> &[String] {
        &self.classes
    }

    fn admit(
        &self,
        store: &Store,
        resource: &Resource,
        object: &mut Object,
    ) -> Result<(), ApiError> {
        if let Some(trouble) = self.disk.as_ref().and_then(|disk| disk.disk.error()) {
            return Err(ApiError::unavailable(
                format!("nothing can be kept now: {trouble}"),
                5,
            ));
        }
        if resource.namespaced && store.get(NAMESPACES, "", meta::namespace(object)).is_none() {
            return Err(ApiError::not_found("namespaces", meta::namespace(object)));
        }
        match resource.kind {
            "Pod" => {
                if !meta::text_at(object, &["spec", "nodeName"]).is_empty() {
                    let message = "nodes are chosen by the scheduler; leave it out".to_owned();
                    let cause = Cause {
                        reason: "FieldValueForbidden",
                        field: "spec.nodeName".into(),
                        message,
                    };
                    return Err(ApiError::invalid("Pod", meta::name(object), vec![cause]));
                }
                if self.open.load(Ordering::Relaxed) >= self.open_most {
                    let text = format!(
                        "{} tasks wait for an answer, which is the most; try again",
                        self.open_most
                    );
                    return Err(ApiError::too_many_requests(text, 1));
                }
                if !self.keeps_up(meta::text_at(object, &["spec", "priorityClassName"])) {
                    return Err(ApiError::too_many_requests(
                        "the edge is behind its work; try again",
                        1,
                    ));
                }
                // These speak for the Job controller alone.
                if let Some(annotations) = object["metadata"]["annotations"].as_object_mut() {
                    annotations.remove(names::ADOPTED_POD_NAME);
                }
                object["status"] = json!({"phase": "Pending"});
            }
            "Job" => {
                let spec = meta::map_mut(object, "spec");
                for (key, value) in [("backoffLimit", 6), ("parallelism", 1)] {
                    let alone = key == "parallelism" && spec.get("completions").is_none();
                    if spec.get(key).is_none() && alone {
                        spec.insert("completions".into(), 1.into());
                    }
                    spec.entry(key).or_insert_with(|| value.into());
                }
                spec.entry("suspend").or_insert_with(|| false.into());
                spec.entry("completionMode")
                    .or_insert_with(|| "NonIndexed".into());
                object["status"] = json!({});
            }
            "Namespace" => object["status"] = json!({"phase": "Active"}),
            _ => {}
        }
        Ok(())
    }

    /// Nodes belong to the register: a change of one is asked for there, and comes back by its watch.
    async fn intercept_write(
        &self,
        verb: Verb,
        resource: &'static Resource,
        object: &Object,
        _: &HeaderMap,
    ) -> Option<Result<Object, ApiError>> {
        if resource.kind != "Node" {
            return None;
        }
        if verb != Verb::Update {
            return Some(Err(ApiError::method_not_allowed()));
        }
        let path = resource.path("", meta::name(object));
        let patch =
            json!({"spec": {"unschedulable": meta::value_at(object, &["spec", "unschedulable"])}});
        let body = patch.to_string().into_bytes().into();
        let sent = self
            .register
            .send(
                Method::PATCH,
                &path,
                "application/merge-patch+json",
                body,
                2.0,
            )
            .await;
        Some(match sent {
            Ok(reply) if reply.status.is_success() => Ok(object.clone()),
            Ok(reply) => {
                let status = reply.json();
                let message = format!(
                    "the register says: {}",
                    meta::text_at(&status, &["message"])
                );
                Err(ApiError::new(reply.status.as_u16(), "Conflict", message))
            }
            Err(NetError::Timeout) => Err(ApiError::new(
                504,
                "Timeout",
                "the register does not answer; look whether it took the change",
            )),
            Err(problem) => Err(ApiError::unavailable(
                format!("the register can't be reached: {problem}"),
                1,
            )),
        })
    }

    fn delete(
        &self,
        store: &mut Store,
        resource: &Resource,
        object: &Object,
        how: &DeleteOptions,
    ) -> Result<Object, ApiError> {
        let gone = how.apply(store, resource, object)?;
        match resource.kind {
            "Job" if how.propagation.as_deref() == Some("Orphan") => {
                let uid = meta::uid(&gone);
                let owned: Vec<Arc<Object>> = store
                    .iter(PODS, meta::namespace(&gone))
                    .filter(|pod| owner_uid(pod) == uid)
                    .cloned()
                    .collect();
                for pod in owned {
                    let mut pod = (*pod).clone();
                    meta::set(&mut pod, "ownerReferences", json!([]));
                    drop(store.update(PODS, pod, &Precondition::default()));
                }
            }
            "Namespace" => {
                let name = meta::name(&gone);
                for inner in [JOBS, PODS, EVENTS] {
                    let all: Vec<Arc<Object>> = store.iter(inner, name).cloned().collect();
                    for object in all {
                        drop(store.delete(
                            inner,
                            name,
                            meta::name(&object),
                            &Precondition::default(),
                        ));
                    }
                }
            }
            // A Job's Pods follow it as soon as the core hears of its end.
            _ => {}
        }
        Ok(gone)
    }

    fn ready(&self) -> Result<String, ApiError> {
        if let Some(trouble) = self.disk.as_ref().and_then(|disk| disk.disk.error()) {
            return Err(ApiError::unavailable(
                format!("nothing can be kept now: {trouble}"),
                5,
            ));
        }
        match self.planners.load(Ordering::Relaxed) {
            0 => Err(ApiError::unavailable("no planner is connected", 1)),
            planners => Ok(format!("ok, planners: {planners}")),
        }
    }

    fn component_status(&self) -> Vec<(&'static str, Result<String, String>)> {
        parts::all(self)
    }

    /// `/debug/waits`: why work waits. `/debug/waits/NAMESPACE/POD` is one Pod's record, `/debug/waits/NAMESPACE` all
    /// of a namespace, and the plain path the fleet's view, in counts alone: owners see only their own names.
    fn handle_other(&self, method: &str, path: &str, _: &[u8]) -> Option<Result<Object, ApiError>> {
        let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        if let (["debug", "ledger", rest @ ..], Some(voter)) = (parts.as_slice(), &self.voter) {
            return Some(match (rest, method) {
                ([], "GET") => Ok(voter.report()),
                // An operator's word.
                (["readmit", name], "POST") => {
                    voter.send(tidespur_coordination::Input::ReadmitVoter(
                        (*name).to_owned(),
                    ));
                    Ok(voter.report())
                }
                _ => Err(ApiError::method_not_allowed()),
            });
        }
        if let (["debug", "fleet"], "GET") = (parts.as_slice(), method) {
            let off = || ApiError::not_found("fleet", "none: this edge has joined no fleet");
            let report = |member: &Arc<MemberHandle>| {
                tidespur_membership_net::view_to_json(&member.view(), clock::now())
            };
            return Some(self.member.as_ref().map(report).ok_or_else(off));
        }
        let ["debug", "waits", rest @ ..] = parts.as_slice() else {
            return None;
        };
        if method != "GET" {
            return Some(Err(ApiError::method_not_allowed()));
        }
        Some(waits::told(&lock(&self.ledger), rest))
    }

    fn serve_text(&self, path: &str) -> Option<String> {
        let (open, planners) = (
            self.open.load(Ordering::Relaxed),
            self.planners.load(Ordering::Relaxed),
        );
        let behind = self.behind.load(Ordering::Relaxed);
        (path == "/metrics").then(|| {
            let disk = self.disk.as_ref().map(|disk| &*disk.disk);
            metrics::text(&lock(&self.ledger), open, planners, behind, disk)
        })
    }

    async fn wait_durable(&self, version: u64, wrote: bool) -> Result<Option<String>, ApiError> {
        parts::lasting(self, version, wrote).await
    }

    fn on_write(&self) {
        // A full queue is being worked through, and the store is read after each step.
        let _ = self.inputs.try_send(Input::Kick);
    }

    fn log_request(&self, seen: &RequestLog<'_>) {
        self.recorder.record("api", || {
            json!({"peer": seen.peer.to_string(), "method": seen.method, "path": seen.path, "status": seen.status,
                "uid": meta::uid(seen.object)})
        });
    }
}

#[cfg(test)]
mod tests;
