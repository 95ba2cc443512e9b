//! The settings object of the operators, as the simulator's first message and the platform's configuration hold it.

use serde::Deserialize;
use tidespur_policy::interface::*;

/// Where the settings do not tell: a connection not made within this counts as none.
const CONNECT_TIMEOUT: Seconds = 0.25;

/// What a door needs: the policy's settings, and the names and limits that only sockets meet.
#[derive(Clone, Debug)]
pub struct Site {
    /// What the policy is told.
    pub settings: Settings,
    /// Names of the classes, in order of their index.
    pub classes: Vec<String>,
    /// Names of the kinds of machines, likewise.
    pub kinds: Vec<String>,
    /// Names of the zones, likewise.
    pub zones: Vec<String>,
    /// A connection not made within this counts as none.
    pub connect_timeout: Seconds,
}

/// The settings object as it is told. Keys that are not known are passed over.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Info {
    balancers: usize,
    ordinal: usize,
    #[serde(default)]
    locality: usize,
    services: Vec<Service>,
    #[serde(default)]
    realms: Vec<Realm>,
    #[serde(default)]
    discovery: String,
    family_info: Family,
    limits: Limits,
    #[serde(default)]
    over_share_worth: f64,
    report: ReportInfo,
    safety: SafetyInfo,
    tariffs: Tariffs,
    #[serde(default)]
    kinds: Vec<String>,
    #[serde(default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Service {
    #[serde(default)]
    name: String,
    aim_s: f64,
    deadline_s: f64,
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    window_s: f64,
    credit: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Realm {
    #[serde(default)]
    quota_per_s: f64,
    share: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
#[derive(Default)]
struct Family {
    accepts_memory: f64,
    ack: String,
    admit_cores: f64,
    apart_by: Vec<String>,
    class_calm: Vec<f64>,
    cold_bears: f64,
    eviction_as_moves: f64,
    kind_by_class: Vec<i64>,
    kind_cores: Vec<f64>,
    lists_free: bool,
    lost_after: Vec<f64>,
    measured_by: String,
    mem_of_kind: Vec<f64>,
    one_home: bool,
    priority_by_class: Vec<u32>,
    refused_price: f64,
    start_seconds: Vec<f64>,
    together_max: Vec<u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    max_attempts: u32,
    #[serde(default)]
    max_retry_after_s: f64,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    connect_timeout_s: Option<f64>,
}

#[derive(Deserialize)]
struct ReportInfo {
    #[serde(default)]
    via: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SafetyInfo {
    answer_slack_s: f64,
    #[serde(default)]
    ask_within_s: f64,
    cold_from: f64,
    cold_s: f64,
    drain_grace_s: f64,
    fall_multiple: f64,
    overload_for_s: f64,
}

#[derive(Deserialize)]
#[serde(default)]
#[derive(Default)]
struct Tariffs {
    fleet: f64,
    moves: f64,
    peer: f64,
    probe: f64,
}

fn place_of(name: &str) -> Result<Option<Place>, String> {
    Ok(Some(match name {
        "all" => Place::All,
        "zone" => Place::Zone,
        "cell" => Place::Cell,
        "machine" => Place::Machine,
        "none" | "" => return Ok(None),
        other => return Err(format!("a place must be all, zone, cell, machine or none, not {other:?}")),
    }))
}

impl Info {
    /// What the policy is told.
    ///
    /// # Errors
    /// Names the field that can't be worked with.
    pub fn settings(self) -> Result<Settings, String> {
        let fam = self.family_info;
        let lengths = [
            ("kindCores", fam.kind_cores.len(), fam.mem_of_kind.len()),
            ("classCalm", fam.class_calm.len(), self.services.len()),
            ("lostAfter", fam.lost_after.len(), self.services.len()),
            ("kindByClass", fam.kind_by_class.len(), self.services.len()),
            ("priorityByClass", fam.priority_by_class.len(), self.services.len()),
            ("apartBy", fam.apart_by.len(), self.services.len()),
            ("togetherMax", fam.together_max.len(), self.services.len()),
            ("startSeconds", fam.start_seconds.len(), self.services.len()),
        ];
        for (field, is, wanted) in lengths {
            if is != wanted {
                return Err(format!("settings: familyInfo.{field}: {is} values where {wanted} are needed"));
            }
        }
        let mut classes = Vec::new();
        for (i, s) in self.services.into_iter().enumerate() {
            let effect = match s.effect.as_str() {
                "safe" => Effect::Safe,
                "unsafe" => Effect::Unsafe,
                "keyed" => {
                    Effect::Keyed { group: place_of(&s.group)?.unwrap_or(Place::Machine), window: s.window_s }
                }
                other => return Err(format!("settings: services[].effect: {other:?} is not known")),
            };
            classes.push(Class {
                aim: s.aim_s,
                deadline: s.deadline_s,
                effect,
                worth: s.credit,
                start_worth: fam.start_seconds[i],
                calm: fam.class_calm[i],
                fade: fam.lost_after[i],
                kind: usize::try_from(fam.kind_by_class[i]).ok(),
                priority: fam.priority_by_class[i],
                spread: place_of(&fam.apart_by[i])?,
                spread_most: fam.together_max[i],
            });
        }
        let (safety, limits, tariffs) = (self.safety, self.limits, self.tariffs);
        Ok(Settings {
            ordinal: self.ordinal,
            schedulers: self.balancers,
            zone: self.locality,
            classes,
            tenants: self
                .realms
                .iter()
                .map(|r| Tenant { share: r.share, quota_per_s: r.quota_per_s })
                .collect(),
            kinds: fam
                .kind_cores
                .iter()
                .zip(&fam.mem_of_kind)
                .map(|(&cores, &memory)| Kind { cores, memory })
                .collect(),
            admit_cores: fam.admit_cores,
            admit_memory: fam.accepts_memory,
            one_home: fam.one_home,
            confirm_when_running: fam.ack == "running",
            subscribe: self.discovery == "ask",
            lists_free: fam.lists_free,
            reports: match self.report.via.as_str() {
                "answers" => Reports::Answers,
                "probe" => Reports::Probes,
                _ => Reports::None,
            },
            reports_use: fam.measured_by == "used",
            probes: limits.probes,
            messages: limits.peers,
            max_attempts: limits.max_attempts,
            max_retry_after: if limits.retry_after { limits.max_retry_after_s } else { 0.0 },
            over_share_worth: self.over_share_worth,
            safety: Safety {
                answer_slack: safety.answer_slack_s,
                ask_within: safety.ask_within_s,
                cold_from: safety.cold_from,
                cold: safety.cold_s,
                cold_bears: fam.cold_bears,
                drain_grace: safety.drain_grace_s,
                fall_multiple: safety.fall_multiple,
                overload_for: safety.overload_for_s,
            },
            prices: Prices {
                machines: tariffs.fleet,
                refused: fam.refused_price,
                moves: tariffs.moves,
                eviction_as_moves: fam.eviction_as_moves,
                probe: tariffs.probe,
                message: tariffs.peer,
            },
        })
    }

    /// The same, with the names and limits that a door needs beside it.
    ///
    /// # Errors
    /// Names the field that can't be worked with.
    pub fn site(self) -> Result<Site, String> {
        Ok(Site {
            classes: self.services.iter().map(|service| service.name.clone()).collect(),
            kinds: self.kinds.clone(),
            zones: self.zones.clone(),
            connect_timeout: self.limits.connect_timeout_s.filter(|s| *s > 0.0).unwrap_or(CONNECT_TIMEOUT),
            settings: self.settings()?,
        })
    }
}
