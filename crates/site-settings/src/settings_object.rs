//! The operators' settings object, as it stands in the simulator's first message and in the platform's configuration.

use crate::SiteSettingsError;
use crate::wire::{Family, Limits, Realm, ReportInfo, SafetyInfo, Service, Tariffs};
use serde::Deserialize;
use tidespur_policy::interface::{
    Class, CostModel, FailureDomain, LoadReportSource, MachineType, Resources, RetrySafety,
    SafetyLimits, Seconds, Settings, Tenant,
};

/// How long establishing a connection may take where the settings do not say.
const DEFAULT_CONNECT_TIMEOUT: Seconds = 0.25;

/// What a protocol front end needs: the policy's settings, and the names and limits that matter to connections alone.
#[derive(Clone, Debug)]
pub struct Site {
    /// The policy's settings.
    pub settings: Settings,
    /// Names of the classes, in order of their index.
    pub classes: Vec<String>,
    /// Names of the tenants, in order of their index; may be empty.
    pub tenants: Vec<String>,
    /// Names of the machine types, in order of their index.
    pub machine_types: Vec<String>,
    /// Names of the zones, in order of their index.
    pub zones: Vec<String>,
    /// How long establishing a connection may take.
    pub connect_timeout: Seconds,
    /// After how long machines close an idle connection; infinite where the settings do not say.
    pub idle_connection_timeout: Seconds,
}

/// The settings object as the operators write it. Unknown keys are ignored.
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

impl SettingsObject {
    /// What the policy is started with.
    ///
    /// # Errors
    /// Names the key that can't be used.
    pub fn into_settings(self) -> Result<Settings, SiteSettingsError> {
        check_list_lengths(&self.family_info, self.services.len())?;
        let family = self.family_info;
        let limits = self.limits;
        let classes = self.services.iter().enumerate();
        let classes = classes.map(|(index, service)| class(service, &family, index));
        Ok(Settings {
            ordinal: self.ordinal,
            scheduler_count: self.balancers,
            zone: self.locality,
            classes: classes.collect::<Result<_, _>>()?,
            tenants: self.realms.iter().map(tenant).collect(),
            machine_types: machine_types(&family),
            overcommit: Resources::new(family.admit_cores, family.accepts_memory),
            single_scheduler_per_service: family.one_home,
            confirm_when_running: family.ack == "running",
            requires_subscription: self.discovery == "ask",
            lists_unclaimed: family.lists_free,
            load_reports: load_report_source(&self.report),
            reports_measured_usage: family.measured_by == "used",
            allows_load_polls: limits.probes,
            allows_gossip: limits.peers,
            max_attempts: limits.max_attempts,
            max_retry_after: if limits.retry_after {
                limits.max_retry_after_s
            } else {
                0.0
            },
            over_quota_weight: self.over_share_worth,
            safety_limits: safety_limits(&self.safety, &family),
            costs: cost_model(&self.tariffs, &family),
        })
    }

    /// The same, with the names and limits that a protocol front end needs beside it.
    ///
    /// # Errors
    /// Names the key that can't be used.
    pub fn into_site(self) -> Result<Site, SiteSettingsError> {
        let positive = |seconds: &Seconds| *seconds > 0.0;
        let connect_timeout = self.limits.connect_timeout_s.filter(positive);
        let idle_connection_timeout = self.limits.conn_idle_s.filter(positive);
        Ok(Site {
            classes: self
                .services
                .iter()
                .map(|service| service.name.clone())
                .collect(),
            tenants: self.realms.iter().map(|realm| realm.name.clone()).collect(),
            machine_types: self.kinds.clone(),
            zones: self.zones.clone(),
            connect_timeout: connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            idle_connection_timeout: idle_connection_timeout.unwrap_or(f64::INFINITY),
            settings: self.into_settings()?,
        })
    }
}

/// Checks that the lists by class and by machine type are complete.
fn check_list_lengths(family: &Family, classes: usize) -> Result<(), SiteSettingsError> {
    let lists = [
        (
            "kindCores",
            family.kind_cores.len(),
            family.mem_of_kind.len(),
        ),
        ("classCalm", family.class_calm.len(), classes),
        ("lostAfter", family.lost_after.len(), classes),
        ("kindByClass", family.kind_by_class.len(), classes),
        ("priorityByClass", family.priority_by_class.len(), classes),
        ("apartBy", family.apart_by.len(), classes),
        ("togetherMax", family.together_max.len(), classes),
        ("startSeconds", family.start_seconds.len(), classes),
    ];
    for (key, found, expected) in lists {
        if found != expected {
            return Err(SiteSettingsError::ListLength {
                key,
                found,
                expected,
            });
        }
    }
    Ok(())
}

fn failure_domain(name: &str) -> Result<Option<FailureDomain>, SiteSettingsError> {
    match name {
        "all" => Ok(Some(FailureDomain::All)),
        "zone" => Ok(Some(FailureDomain::Zone)),
        "cell" => Ok(Some(FailureDomain::Cell)),
        "machine" => Ok(Some(FailureDomain::Machine)),
        "none" | "" => Ok(None),
        other => Err(SiteSettingsError::UnknownFailureDomain(other.to_owned())),
    }
}

fn retry_safety(service: &Service) -> Result<RetrySafety, SiteSettingsError> {
    match service.effect.as_str() {
        "safe" => Ok(RetrySafety::Idempotent),
        "unsafe" => Ok(RetrySafety::NonIdempotent),
        "keyed" => Ok(RetrySafety::IdempotencyKeyed {
            domain: failure_domain(&service.group)?.unwrap_or(FailureDomain::Machine),
            window: service.window_s,
        }),
        other => Err(SiteSettingsError::UnknownRetrySafety(other.to_owned())),
    }
}

/// The class of this index. The lists of `family` have an entry for each class.
fn class(service: &Service, family: &Family, index: usize) -> Result<Class, SiteSettingsError> {
    Ok(Class {
        latency_objective: service.aim_s,
        deadline: service.deadline_s,
        retry_safety: retry_safety(service)?,
        priority_weight: service.credit,
        start_weight: family.start_seconds[index],
        full_service_utilization: family.class_calm[index],
        degradation_range: family.lost_after[index],
        machine_type: usize::try_from(family.kind_by_class[index]).ok(),
        priority: family.priority_by_class[index],
        spread_domain: failure_domain(&family.apart_by[index])?,
        max_per_spread_domain: family.together_max[index],
    })
}

fn tenant(realm: &Realm) -> Tenant {
    Tenant {
        quota_fraction: realm.share,
        quota_per_second: realm.quota_per_s,
    }
}

fn machine_types(family: &Family) -> Vec<MachineType> {
    let capacities = family.kind_cores.iter().zip(&family.mem_of_kind);
    let machine_type = |(&cpu, &memory)| MachineType {
        capacity: Resources::new(cpu, memory),
    };
    capacities.map(machine_type).collect()
}

fn load_report_source(report: &ReportInfo) -> LoadReportSource {
    match report.via.as_str() {
        "answers" => LoadReportSource::OutcomesAndPolls,
        "probe" => LoadReportSource::PollsOnly,
        _ => LoadReportSource::None,
    }
}

fn safety_limits(safety: &SafetyInfo, family: &Family) -> SafetyLimits {
    SafetyLimits {
        answer_slack: safety.answer_slack_s,
        max_poll_interval: safety.ask_within_s,
        slow_start_speed: safety.cold_from,
        slow_start_duration: safety.cold_s,
        slow_start_offers: family.cold_bears,
        drain_grace: safety.drain_grace_s,
        overload_ratio: safety.fall_multiple,
        overload_window: safety.overload_for_s,
    }
}

fn cost_model(tariffs: &Tariffs, family: &Family) -> CostModel {
    CostModel {
        idle_machines: tariffs.fleet,
        rejected_offer: family.refused_price,
        migration: tariffs.moves,
        eviction_in_migrations: family.eviction_as_moves,
        load_poll: tariffs.probe,
        gossip_message: tariffs.peer,
    }
}
