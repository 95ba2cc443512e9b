//! Admission control for new objects: sets the defaults of Jobs and Namespaces, and rejects Pods while the edge is
//! overloaded. Called by the REST API before it creates an object.

use parking_lot::Mutex;
use serde_json::json;
use std::sync::atomic::{AtomicUsize, Ordering};
use tidespur_api::resource::NAMESPACES;
use tidespur_api::status::Cause;
use tidespur_api::{ApiError, Object, Resource, meta, names};
use tidespur_config::Config;
use tidespur_load_shedding::LoadShedder;
use tidespur_store::Store;

/// Retry-After of Pods that are rejected because of load, in seconds.
const RETRY_AFTER_SECONDS: u32 = 1;

/// Default of a Job's `backoffLimit`, as in the Kubernetes API.
const DEFAULT_BACKOFF_LIMIT: u32 = 6;

/// Admits new objects, or rejects them with an error for the client.
#[derive(Debug)]
pub struct AdmissionControl {
    /// Names of the priority classes, in the order of the shedder's weights.
    classes: Vec<String>,
    open_tasks: AtomicUsize,
    max_open_tasks: usize,
    shedder: Mutex<LoadShedder>,
}

impl AdmissionControl {
    /// Admits Pods while fewer than `max_open_tasks` tasks are without an answer. `classes` are the names of the
    /// priority classes, in the order of their weights in `shedder`.
    pub fn new(classes: Vec<String>, max_open_tasks: usize, shedder: LoadShedder) -> Self {
        Self {
            classes,
            open_tasks: AtomicUsize::new(0),
            max_open_tasks,
            shedder: Mutex::new(shedder),
        }
    }

    /// Creates the admission control with the limits and classes of the configuration.
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

    /// Names of the priority classes, in the order of the configuration.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Number of tasks without an answer, as of the last step of the core.
    pub fn open_tasks(&self) -> usize {
        self.open_tasks.load(Ordering::Relaxed)
    }

    /// Sets the number of tasks without an answer; called after each step of the core.
    pub fn set_open_tasks(&self, open_tasks: usize) {
        self.open_tasks.store(open_tasks, Ordering::Relaxed);
    }

    /// Records the lag of the event loop at `now`, in seconds. Pods are shed while it is above the shortest latency
    /// objective.
    pub fn observe_lag(&self, now: f64, lag: f64) {
        self.shedder.lock().observe_lag(now, lag);
    }

    /// Validates a new object, and sets its defaults and its initial status.
    ///
    /// # Errors
    /// 404 if its namespace does not exist, 422 for a Pod with a `nodeName`, and 429 for a Pod while the edge has too
    /// many open tasks or sheds load.
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
            return Err(ApiError::too_many_requests(message, RETRY_AFTER_SECONDS));
        }
        if !self.admit_class(meta::text_at(pod, &["spec", "priorityClassName"])) {
            let message = "the edge is behind its work; try again";
            return Err(ApiError::too_many_requests(message, RETRY_AFTER_SECONDS));
        }
        // Only the Job controller may set this annotation.
        if let Some(annotations) = pod["metadata"]["annotations"].as_object_mut() {
            annotations.remove(names::ADOPTED_POD_NAME);
        }
        pod["status"] = json!({"phase": "Pending"});
        Ok(())
    }

    /// Whether a Pod of this class is admitted at the present lag; an unknown class counts as the first one.
    fn admit_class(&self, class: &str) -> bool {
        let index = self.classes.iter().position(|name| name == class);
        self.shedder.lock().admit(index.unwrap_or(0))
    }
}

fn set_job_defaults(job: &mut Object) {
    let spec = meta::map_mut(job, "spec");
    spec.entry("backoffLimit")
        .or_insert_with(|| DEFAULT_BACKOFF_LIMIT.into());
    // A Job that sets neither runs one Pod.
    if spec.get("parallelism").is_none() && spec.get("completions").is_none() {
        spec.insert("completions".into(), 1.into());
    }
    spec.entry("parallelism").or_insert_with(|| 1.into());
    spec.entry("suspend").or_insert_with(|| false.into());
    spec.entry("completionMode")
        .or_insert_with(|| "NonIndexed".into());
    job["status"] = json!({});
}
