//! Hooks that extend the generic REST API: admission, deletion, health, metrics and debug endpoints. Called by the API
//! server; hooks that receive the store run under its lock.

use crate::admission::AdmissionControl;
use crate::core::Input;
use crate::metrics;
use crate::storage::SharedStorage;
use async_channel::Sender;
use hyper::HeaderMap;
use parking_lot::Mutex;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use tidespur_api::{ApiError, Object, Resource, meta};
use tidespur_coordination_net::VoterHandle;
use tidespur_membership_net::MemberHandle;
use tidespur_net::{Client, Recorder};
use tidespur_pending::PendingRecords;
use tidespur_rest::{DeleteOptions, Hooks, RequestLog, Verb};
use tidespur_store::Store;

mod debug;
mod deletion;
mod health;
mod nodes;

/// State that the hooks share with the event loop.
pub(crate) struct EdgeHooks {
    pub(crate) admission: AdmissionControl,
    pub(crate) connected_planners: AtomicUsize,
    pub(crate) inputs: Sender<Input>,
    pub(crate) registry: Client,
    pub(crate) recorder: Recorder,
    pub(crate) pending_records: Arc<Mutex<PendingRecords>>,
    /// How often the core was too late to read changes from the store's history and compared all objects instead.
    pub(crate) resync_count: AtomicU64,
    pub(crate) member: Option<Arc<MemberHandle>>,
    pub(crate) storage: SharedStorage,
    pub(crate) voter: Option<Arc<VoterHandle>>,
}

impl Hooks for EdgeHooks {
    fn classes(&self) -> &[String] {
        self.admission.classes()
    }

    fn admit(
        &self,
        store: &Store,
        resource: &Resource,
        object: &mut Object,
    ) -> Result<(), ApiError> {
        health::check_disk(self)?;
        self.admission.admit(store, resource, object)
    }

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
        Some(nodes::write(self, verb, resource, object).await)
    }

    fn delete(
        &self,
        store: &mut Store,
        resource: &Resource,
        object: &Object,
        options: &DeleteOptions,
    ) -> Result<Object, ApiError> {
        let deleted = options.apply(store, resource, object)?;
        deletion::on_deleted(store, resource, &deleted, options);
        Ok(deleted)
    }

    fn ready(&self) -> Result<String, ApiError> {
        health::ready(self)
    }

    fn component_status(&self) -> Vec<(&'static str, Result<String, String>)> {
        health::components(self)
    }

    fn handle_other(&self, method: &str, path: &str, _: &[u8]) -> Option<Result<Object, ApiError>> {
        debug::handle(self, method, path)
    }

    fn serve_text(&self, path: &str) -> Option<String> {
        if path != "/metrics" {
            return None;
        }
        let state = metrics::EdgeState {
            open_tasks: self.admission.open_tasks(),
            connected_planners: self.connected_planners.load(Ordering::Relaxed),
            resync_count: self.resync_count.load(Ordering::Relaxed),
            disk: self.storage.as_ref().map(|storage| &*storage.disk),
        };
        Some(metrics::render(&self.pending_records.lock(), &state))
    }

    async fn wait_durable(&self, version: u64, is_write: bool) -> Result<Option<String>, ApiError> {
        health::wait_durable(self, version, is_write).await
    }

    fn on_write(&self) {
        // If the queue is full, inputs are being handled, and the core reads the store in each step.
        let _ = self.inputs.try_send(Input::StoreChanged);
    }

    fn log_request(&self, request: &RequestLog<'_>) {
        self.recorder.record("api", || {
            json!({"peer": request.peer.to_string(), "method": request.method, "path": request.path,
                "status": request.status, "uid": meta::uid(request.object)})
        });
    }
}
