//! Parts of the settings object, as they are told.

use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Service {
    #[serde(default)]
    pub(crate) name: String,
    pub(crate) aim_s: f64,
    pub(crate) deadline_s: f64,
    pub(crate) effect: String,
    #[serde(default)]
    pub(crate) group: String,
    #[serde(default)]
    pub(crate) window_s: f64,
    pub(crate) credit: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Realm {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(default)]
    pub(crate) quota_per_s: f64,
    pub(crate) share: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
#[derive(Default)]
pub(crate) struct Family {
    pub(crate) accepts_memory: f64,
    pub(crate) ack: String,
    pub(crate) admit_cores: f64,
    pub(crate) apart_by: Vec<String>,
    pub(crate) class_calm: Vec<f64>,
    pub(crate) cold_bears: f64,
    pub(crate) eviction_as_moves: f64,
    pub(crate) kind_by_class: Vec<i64>,
    pub(crate) kind_cores: Vec<f64>,
    pub(crate) lists_free: bool,
    pub(crate) lost_after: Vec<f64>,
    pub(crate) measured_by: String,
    pub(crate) mem_of_kind: Vec<f64>,
    pub(crate) one_home: bool,
    pub(crate) priority_by_class: Vec<u32>,
    pub(crate) refused_price: f64,
    pub(crate) start_seconds: Vec<f64>,
    pub(crate) together_max: Vec<u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Limits {
    pub(crate) max_attempts: u32,
    #[serde(default)]
    pub(crate) max_retry_after_s: f64,
    #[serde(default)]
    pub(crate) peers: bool,
    #[serde(default)]
    pub(crate) probes: bool,
    #[serde(default)]
    pub(crate) retry_after: bool,
    #[serde(default)]
    pub(crate) connect_timeout_s: Option<f64>,
    #[serde(default)]
    pub(crate) conn_idle_s: Option<f64>,
}

#[derive(Deserialize)]
pub(crate) struct ReportInfo {
    #[serde(default)]
    pub(crate) via: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct SafetyInfo {
    pub(crate) answer_slack_s: f64,
    #[serde(default)]
    pub(crate) ask_within_s: f64,
    pub(crate) cold_from: f64,
    pub(crate) cold_s: f64,
    pub(crate) drain_grace_s: f64,
    pub(crate) fall_multiple: f64,
    pub(crate) overload_for_s: f64,
}

#[derive(Deserialize)]
#[serde(default)]
#[derive(Default)]
pub(crate) struct Tariffs {
    pub(crate) fleet: f64,
    pub(crate) moves: f64,
    pub(crate) peer: f64,
    pub(crate) probe: f64,
}
