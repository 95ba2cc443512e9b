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
    pub machine_types: Vec<String>,
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
pub struct SettingsObject {
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

fn place_of(name: &str) -> Result<Option<FailureDomain>, String> {
    Ok(Some(match name {
        "all" => FailureDomain::All,
        "zone" => FailureDomain::Zone,
        "cell" => FailureDomain::Cell,
        "machine" => FailureDomain::Machine,
        "none" | "" => return Ok(None),
        other => {
            return Err(format!(
                "a place must be all, zone, cell, machine or none, not {other:?}"
            ));
        }
    }))
}

impl SettingsObject {
    /// What the policy is told.
    ///
    /// # Errors
    /// Names the field that can't be worked with.
    pub fn into_settings(self) -> Result<Settings, String> {
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
                "safe" => RetrySafety::Idempotent,
                "unsafe" => RetrySafety::NonIdempotent,
                "keyed" => RetrySafety::IdempotencyKeyed {
                    domain: place_of(&s.group)?.unwrap_or(FailureDomain::Machine),
                    window: s.window_s,
                },
                other => {
                    return Err(format!(
                        "settings: services[].effect: {other:?} is not known"
                    ));
                }
            };
            classes.push(Class {
                latency_objective: s.aim_s,
                deadline: s.deadline_s,
                retry_safety: effect,
                priority_weight: s.credit,
                start_weight: fam.start_seconds[i],
                full_service_utilization: fam.class_calm[i],
                degradation_range: fam.lost_after[i],
                machine_type: usize::try_from(fam.kind_by_class[i]).ok(),
                priority: fam.priority_by_class[i],
                spread_domain: place_of(&fam.apart_by[i])?,
                max_per_spread_domain: fam.together_max[i],
            });
        }
        let (safety, limits, tariffs) = (self.safety, self.limits, self.tariffs);
        Ok(Settings {
            ordinal: self.ordinal,
            scheduler_count: self.balancers,
            zone: self.locality,
            classes,
            tenants: self
                .realms
                .iter()
                .map(|r| Tenant {
                    quota_fraction: r.share,
                    quota_per_second: r.quota_per_s,
                })
                .collect(),
            machine_types: fam
                .kind_cores
                .iter()
                .zip(&fam.mem_of_kind)
                .map(|(&cores, &memory)| MachineType {
                    capacity: Resources::new(cores, memory),
                })
                .collect(),
            overcommit: Resources::new(fam.admit_cores, fam.accepts_memory),
            single_scheduler_per_service: fam.one_home,
            confirm_when_running: fam.ack == "running",
            requires_subscription: self.discovery == "ask",
            lists_unclaimed: fam.lists_free,
            load_reports: match self.report.via.as_str() {
                "answers" => LoadReportSource::WithAnswers,
                "probe" => LoadReportSource::PollsOnly,
                _ => LoadReportSource::None,
            },
            reports_measured_usage: fam.measured_by == "used",
            allows_load_polls: limits.probes,
            allows_gossip: limits.peers,
            max_attempts: limits.max_attempts,
            max_retry_after: if limits.retry_after {
                limits.max_retry_after_s
            } else {
                0.0
            },
            over_quota_weight: self.over_share_worth,
            safety_limits: SafetyLimits {
                answer_slack: safety.answer_slack_s,
                max_poll_interval: safety.ask_within_s,
                slow_start_speed: safety.cold_from,
                slow_start_duration: safety.cold_s,
                slow_start_offers: fam.cold_bears,
                drain_grace: safety.drain_grace_s,
                overload_ratio: safety.fall_multiple,
                overload_window: safety.overload_for_s,
            },
            costs: CostModel {
                idle_machines: tariffs.fleet,
                rejected_offer: fam.refused_price,
                migration: tariffs.moves,
                eviction_in_migrations: fam.eviction_as_moves,
                load_poll: tariffs.probe,
                gossip_message: tariffs.peer,
            },
        })
    }

    /// The same, with the names and limits that a protocol front end needs beside it.
    ///
    /// # Errors
    /// Names the field that can't be worked with.
    pub fn into_site(self) -> Result<Site, String> {
        Ok(Site {
            classes: self
                .services
                .iter()
                .map(|service| service.name.clone())
                .collect(),
            tenants: self.realms.iter().map(|realm| realm.name.clone()).collect(),
            machine_types: self.kinds.clone(),
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
            settings: self.into_settings()?,
        })
    }
}
