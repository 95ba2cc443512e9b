//! The settings object of the operators, as the simulator's first message and the platform's configuration hold it.

use crate::wire::{Family, Limits, Realm, ReportInfo, SafetyInfo, Service, Tariffs};
use serde::Deserialize;
use tidespur_policy::interface::*;

/// Where the settings do not tell: a connection not made within this counts as none.
const CONNECT_TIMEOUT: Seconds = 0.25;

/// What a protocol front end needs: the policy's settings, and the names and limits that only sockets meet.
#[derive(Clone, Debug)]
pub struct Site {
    /// What the policy is told.
    pub settings: Settings,
    /// Names of the classes, in order of their index.
    pub classes: Vec<String>,
    /// Names of the tenants, likewise; may be empty.
    pub tenants: Vec<String>,
    /// Names of the kinds of machines, likewise.
    pub kinds: Vec<String>,
    /// Names of the zones, likewise.
    pub zones: Vec<String>,
    /// A connection not made within this counts as none.
    pub connect_timeout: Seconds,
    /// Machines close a connection that is idle for this long; endless where the settings do not tell.
    pub connection_idle: Seconds,
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

fn place_of(name: &str) -> Result<Option<Place>, String> {
    Ok(Some(match name {
        "all" => Place::All,
        "zone" => Place::Zone,
        "cell" => Place::Cell,
        "machine" => Place::Machine,
        "none" | "" => return Ok(None),
        other => {
            return Err(format!(
                "a place must be all, zone, cell, machine or none, not {other:?}"
            ));
        }
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
            (
                "priorityByClass",
                fam.priority_by_class.len(),
                self.services.len(),
            ),
            ("apartBy", fam.apart_by.len(), self.services.len()),
            ("togetherMax", fam.together_max.len(), self.services.len()),
            ("startSeconds", fam.start_seconds.len(), self.services.len()),
        ];
        for (field, is, wanted) in lengths {
            if is != wanted {
                return Err(format!(
                    "settings: familyInfo.{field}: {is} values where {wanted} are needed"
                ));
            }
        }
        let mut classes = Vec::new();
        for (i, s) in self.services.into_iter().enumerate() {
            let effect = match s.effect.as_str() {
                "safe" => Effect::Safe,
                "unsafe" => Effect::Unsafe,
                "keyed" => Effect::Keyed {
                    group: place_of(&s.group)?.unwrap_or(Place::Machine),
                    window: s.window_s,
                },
                other => {
                    return Err(format!(
                        "settings: services[].effect: {other:?} is not known"
                    ));
                }
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
                .map(|r| Tenant {
                    share: r.share,
                    quota_per_s: r.quota_per_s,
                })
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
            max_retry_after: if limits.retry_after {
                limits.max_retry_after_s
            } else {
                0.0
            },
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

    /// The same, with the names and limits that a protocol front end needs beside it.
    ///
    /// # Errors
    /// Names the field that can't be worked with.
    pub fn site(self) -> Result<Site, String> {
        Ok(Site {
            classes: self
                .services
                .iter()
                .map(|service| service.name.clone())
                .collect(),
            tenants: self.realms.iter().map(|realm| realm.name.clone()).collect(),
            kinds: self.kinds.clone(),
            zones: self.zones.clone(),
            connect_timeout: self
                .limits
                .connect_timeout_s
                .filter(|s| *s > 0.0)
                .unwrap_or(CONNECT_TIMEOUT),
            connection_idle: self
                .limits
                .conn_idle_s
                .filter(|s| *s > 0.0)
                .unwrap_or(f64::INFINITY),
            settings: self.settings()?,
        })
    }
}
