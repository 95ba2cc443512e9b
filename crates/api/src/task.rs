//! A Pod in the words of placement. The one place where Pods are read as tasks.

use crate::{Object, meta, names, quantity};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What a Pod asks of the planner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Uid of the Pod: one request to place.
    pub uid: String,
    /// Namespace: the tenant.
    pub tenant: String,
    /// Name of the Pod at nodes.
    pub name: String,
    /// The service: the owning Job, or the Pod itself.
    pub service: String,
    /// Class of the settings; empty for the first one.
    pub class: String,
    /// Cores asked.
    pub cores: f64,
    /// Memory units asked.
    pub memory: f64,
    /// Expected seconds, where told.
    pub life: Option<f64>,
    /// Seconds from now in which the owner waits.
    pub within: Option<f64>,
    /// It comes after one that did not stay.
    pub returned: bool,
    /// The same for all repeats of the task.
    pub key: String,
    /// The Pod's spec as its owner wrote it, in JSON: what the node is to run.
    pub spec: Arc<str>,
}

/// Cores and memory units that a Pod's containers ask for.
pub fn requests(pod: &Object) -> (f64, f64) {
    let containers = meta::at(pod, &["spec", "containers"]).as_array();
    let sum = |key: &str| -> f64 {
        let one =
            |c| quantity::parse(meta::text(c, &["resources", "requests", key])).unwrap_or(0.0);
        containers.into_iter().flatten().map(one).sum()
    };
    (sum("cpu"), sum("memory") / names::MEMORY_UNIT)
}

/// Whether a Pod waits for a node.
pub fn waits(pod: &Object) -> bool {
    meta::text(pod, &["spec", "nodeName"]).is_empty()
        && meta::text(pod, &["status", "phase"]) == "Pending"
}

/// Reads a checked Pod.
pub fn ask(pod: &Object) -> Ask {
    let (cores, memory) = requests(pod);
    let seconds = |key| meta::annotation(pod, key).and_then(|text| text.parse::<f64>().ok());
    let job = meta::label(pod, names::JOB_NAME);
    let service = format!(
        "{}/{}",
        meta::namespace(pod),
        job.unwrap_or(meta::name(pod))
    );
    let known_as = meta::annotation(pod, names::ADOPTS).unwrap_or(meta::name(pod));
    Ask {
        uid: meta::uid(pod).to_owned(),
        tenant: meta::namespace(pod).to_owned(),
        name: known_as.to_owned(),
        service,
        class: meta::text(pod, &["spec", "priorityClassName"]).to_owned(),
        cores,
        memory,
        life: seconds(names::EXPECTED_SECONDS),
        within: seconds(names::GIVE_UP_SECONDS),
        returned: meta::annotation(pod, names::RETURNED).is_some(),
        key: meta::annotation(pod, names::KEY)
            .unwrap_or(meta::uid(pod))
            .to_owned(),
        spec: meta::at(pod, &["spec"]).to_string().into(),
    }
}
