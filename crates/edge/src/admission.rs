//! Admission of new objects: defaults of Jobs and Namespaces, and which Pods are accepted while the edge is loaded. Called
//! by the REST API, before an object is created.

use parking_lot::Mutex;
use serde_json::json;
use std::sync::atomic::{AtomicUsize, Ordering};
use tidespur_api::resource::NAMESPACES;
use tidespur_api::status::Cause;
use tidespur_api::{ApiError, Object, Resource, meta, names};
use tidespur_config::Config;
use tidespur_load_shedding::LoadShedder;
use tidespur_store::Store;

/// Clients may retry a Pod that was rejected because of load after this long, in seconds.
const RETRY_AFTER: u32 = 1;

/// Failed runs that a Job tolerates where it sets no limit, as in the published API.
const DEFAULT_BACKOFF_LIMIT: u32 = 6;

/// Admits new objects.
#[derive(Debug)]
pub struct AdmissionControl {
    /// Names of the priority classes, in the order of the shedder's weights.
    classes: Vec<String>,
    open_tasks: AtomicUsize,
    max_open_tasks: usize,
    shedder: Mutex<LoadShedder>,
}

impl AdmissionControl {
    /// Admits up to `max_open_tasks` tasks without an answer, of these priority classes; `shedder` knows their weights in
    /// the same order.
    pub fn new(classes: Vec<String>, max_open_tasks: usize, shedder: LoadShedder) -> Self {
        Self {
            classes,
            open_tasks: AtomicUsize::new(0),
            max_open_tasks,
            shedder: Mutex::new(shedder),
        }
    }

    /// Admission as the settings describe it.
    pub fn from_config(config: &Config) -> Self {
        let weights = config
            .classes
            .values()
            .map(|class| (class.latency_objective, class.priority_weight));
        Self::new(
            config.classes.keys().cloned().collect(),
            config.edge.max_open_tasks as usize,
            LoadShedder::for_classes(weights),
        )
    }

    /// Names of the priority classes.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Number of tasks without an answer, after the last step of the core.
    pub fn open_tasks(&self) -> usize {
        self.open_tasks.load(Ordering::Relaxed)
    }

    /// Sets the number of tasks without an answer.
    pub fn set_open_tasks(&self, open_tasks: usize) {
        self.open_tasks.store(open_tasks, Ordering::Relaxed);
    }

    /// Observes the lag of the event loop, in seconds: beyond the shortest latency objective, Pods are shed.
    pub fn observe_lag(&self, now: f64, lag: f64) {
        self.shedder.lock().observe_lag(now, lag);
    }

    /// Checks a new object, and sets its defaults and its first status.
    ///
    /// # Errors
    /// 404 where its namespace does not exist, 422 for a Pod that names its node, and 429 for a Pod while the edge has
    /// too many open tasks or sheds load.
    pub fn admit(
        &self,
        store: &Store,
        resource: &Resource,
        object: &mut Object,
    ) -> Result<(), ApiError> {
        if resource.namespaced && store.get(NAMESPACES, "", meta::namespace(object)).is_none() {
            return Err(ApiError::not_found("namespaces", meta::namespace(object)));
        }
        match resource.kind {
            "Pod" => self.admit_pod(object)?,
            "Job" => set_job_defaults(object),
            "Namespace" => object["status"] = json!({"phase": "Active"}),
            _ => {}
        }
        Ok(())
    }

    fn admit_pod(&self, pod: &mut Object) -> Result<(), ApiError> {
        if !meta::text_at(pod, &["spec", "nodeName"]).is_empty() {
            let cause = Cause {
                reason: "FieldValueForbidden",
                field: "spec.nodeName".into(),
                message: "nodes are chosen by the scheduler; leave it out".to_owned(),
            };
            return Err(ApiError::invalid("Pod", meta::name(pod), vec![cause]));
        }
        if self.open_tasks() >= self.max_open_tasks {
            let message = format!(
                "{} tasks wait for an answer, which is the most; try again",
                self.max_open_tasks
            );
            return Err(ApiError::too_many_requests(message, RETRY_AFTER));
        }
        if !self.admit_class(meta::text_at(pod, &["spec", "priorityClassName"])) {
            let message = "the edge is behind its work; try again";
            return Err(ApiError::too_many_requests(message, RETRY_AFTER));
        }
        // Only the Job controller may set it.
        if let Some(annotations) = pod["metadata"]["annotations"].as_object_mut() {
            annotations.remove(names::ADOPTED_POD_NAME);
        }
        pod["status"] = json!({"phase": "Pending"});
        Ok(())
    }

    /// Whether a Pod of this class is accepted at the present lag.
    fn admit_class(&self, class: &str) -> bool {
        let index = self.classes.iter().position(|name| name == class);
        self.shedder.lock().admit(index.unwrap_or(0))
    }
}

fn set_job_defaults(job: &mut Object) {
    let spec = meta::map_mut(job, "spec");
    spec.entry("backoffLimit")
        .or_insert_with(|| DEFAULT_BACKOFF_LIMIT.into());
    // Neither is set: a Job of one Pod.
    if spec.get("parallelism").is_none() && spec.get("completions").is_none() {
        spec.insert("completions".into(), 1.into());
    }
    spec.entry("parallelism").or_insert_with(|| 1.into());
    spec.entry("suspend").or_insert_with(|| false.into());
    spec.entry("completionMode")
        .or_insert_with(|| "NonIndexed".into());
    job["status"] = json!({});
}
