//! The operators' settings object, which the simulator's `Start` message and the platform's configuration contain.

use crate::SiteSettingsError;
use crate::wire::{ClassInfo, CostInfo, FamilyInfo, Limits, ReportInfo, SafetyInfo, TenantInfo};
use serde::Deserialize;
use tidespur_policy::interface::{
    Class, CostModel, FailureDomain, LoadReportSource, MachineType, Resources, RetrySafety,
    SafetyLimits, Seconds, Settings, Tenant,
};

/// Time limit for establishing a connection if the settings have none.
const DEFAULT_CONNECT_TIMEOUT: Seconds = 0.25;

/// The settings of a front end: those of the policy, and the names and time limits that only a front end uses.
#[derive(Clone, Debug)]
pub struct Site {
    /// The policy's settings.
    pub settings: Settings,
    /// Names of the classes, in order of their index.
    pub classes: Vec<String>,
    /// Names of the tenants, in order of their index; empty if the settings have no tenants.
    pub tenants: Vec<String>,
    /// Names of the machine types, in order of their index.
    pub machine_types: Vec<String>,
    /// Names of the zones, in order of their index.
    pub zones: Vec<String>,
    /// Time limit for establishing a connection; 0.25 s if the settings have none.
    pub connect_timeout: Seconds,
    /// Time after which machines close an idle connection; infinite if the settings have none.
    pub idle_connection_timeout: Seconds,
}

/// The settings object as the operators write it. Unknown keys are ignored.
#[derive(Deserialize)]
pub struct SettingsObject {
    #[serde(rename = "balancers")]
    scheduler_count: usize,
    ordinal: usize,
    #[serde(default, rename = "locality")]
    zone: usize,
    #[serde(rename = "services")]
    classes: Vec<ClassInfo>,
    #[serde(default, rename = "realms")]
    tenants: Vec<TenantInfo>,
    /// `ask` if the endpoint list must be subscribed to.
    #[serde(default)]
    discovery: String,
    #[serde(rename = "familyInfo")]
    family: FamilyInfo,
    limits: Limits,
    #[serde(default, rename = "overShareWorth")]
    over_quota_weight: f64,
    report: ReportInfo,
    safety: SafetyInfo,
    #[serde(rename = "tariffs")]
    costs: CostInfo,
    /// Names of the machine types; their capacities are lists in `family`.
    #[serde(default, rename = "kinds")]
    machine_types: Vec<String>,
    #[serde(default)]
    zones: Vec<String>,
}

impl SettingsObject {
    /// Converts the object into the policy's settings.
    ///
    /// # Errors
    /// Fails if a list has the wrong length or a value is unknown.
    pub fn into_settings(self) -> Result<Settings, SiteSettingsError> {
        check_list_lengths(&self.family, self.classes.len())?;
        let family = self.family;
        let limits = self.limits;
        let classes = self.classes.iter().enumerate();
        let classes = classes.map(|(index, info)| class(info, &family, index));
        Ok(Settings {
            ordinal: self.ordinal,
            scheduler_count: self.scheduler_count,
            zone: self.zone,
            classes: classes.collect::<Result<_, _>>()?,
            tenants: self.tenants.iter().map(tenant).collect(),
            machine_types: machine_types(&family),
            overcommit: Resources::new(family.cpu_overcommit, family.memory_overcommit),
            single_scheduler_per_service: family.single_scheduler_per_service,
            confirm_when_running: family.confirmation == "running",
            requires_subscription: self.discovery == "ask",
            lists_unclaimed: family.lists_unclaimed,
            load_reports: load_report_source(&self.report),
            reports_measured_usage: family.usage_source == "used",
            allows_load_polls: limits.allows_load_polls,
            allows_gossip: limits.allows_gossip,
            max_attempts: limits.max_attempts,
            max_retry_after: if limits.allows_retry_after {
                limits.max_retry_after
            } else {
                0.0
            },
            over_quota_weight: self.over_quota_weight,
            safety_limits: safety_limits(&self.safety, &family),
            costs: cost_model(&self.costs, &family),
        })
    }

    /// Converts the object into the settings of a front end.
    ///
    /// # Errors
    /// Fails if a list has the wrong length or a value is unknown.
    pub fn into_site(self) -> Result<Site, SiteSettingsError> {
        let positive = |seconds: &Seconds| *seconds > 0.0;
        let connect_timeout = self.limits.connect_timeout.filter(positive);
        let idle_connection_timeout = self.limits.idle_connection_timeout.filter(positive);
        Ok(Site {
            classes: self
                .classes
                .iter()
                .map(|class| class.name.clone())
                .collect(),
            tenants: self
                .tenants
                .iter()
                .map(|tenant| tenant.name.clone())
                .collect(),
            machine_types: self.machine_types.clone(),
            zones: self.zones.clone(),
            connect_timeout: connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            idle_connection_timeout: idle_connection_timeout.unwrap_or(f64::INFINITY),
            settings: self.into_settings()?,
        })
    }
}

/// Checks that each list by class or by machine type has one entry for each.
fn check_list_lengths(family: &FamilyInfo, classes: usize) -> Result<(), SiteSettingsError> {
    let lists = [
        (
            "kindCores",
            family.cpu_capacities.len(),
            family.memory_capacities.len(),
        ),
        ("classCalm", family.full_service_utilizations.len(), classes),
        ("lostAfter", family.degradation_ranges.len(), classes),
        ("kindByClass", family.required_machine_types.len(), classes),
        ("priorityByClass", family.priorities.len(), classes),
        ("apartBy", family.spread_domains.len(), classes),
        ("togetherMax", family.max_per_spread_domain.len(), classes),
        ("startSeconds", family.start_weights.len(), classes),
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

fn retry_safety(class: &ClassInfo) -> Result<RetrySafety, SiteSettingsError> {
    match class.retry_safety.as_str() {
        "safe" => Ok(RetrySafety::Idempotent),
        "unsafe" => Ok(RetrySafety::NonIdempotent),
        "keyed" => Ok(RetrySafety::IdempotencyKeyed {
            domain: failure_domain(&class.deduplication_domain)?.unwrap_or(FailureDomain::Machine),
            window: class.deduplication_window,
        }),
        other => Err(SiteSettingsError::UnknownRetrySafety(other.to_owned())),
    }
}

/// Converts the class at `index`; the lists by class of `family` have been checked to be long enough.
fn class(info: &ClassInfo, family: &FamilyInfo, index: usize) -> Result<Class, SiteSettingsError> {
    Ok(Class {
        latency_objective: info.latency_objective,
        deadline: info.deadline,
        retry_safety: retry_safety(info)?,
        priority_weight: info.priority_weight,
        start_weight: family.start_weights[index],
        full_service_utilization: family.full_service_utilizations[index],
        degradation_range: family.degradation_ranges[index],
        machine_type: usize::try_from(family.required_machine_types[index]).ok(),
        priority: family.priorities[index],
        spread_domain: failure_domain(&family.spread_domains[index])?,
        max_per_spread_domain: family.max_per_spread_domain[index],
    })
}

fn tenant(info: &TenantInfo) -> Tenant {
    Tenant {
        quota_fraction: info.quota_fraction,
        quota_per_second: info.quota_per_second,
    }
}

fn machine_types(family: &FamilyInfo) -> Vec<MachineType> {
    let capacities = family.cpu_capacities.iter().zip(&family.memory_capacities);
    let machine_type = |(&cpu, &memory)| MachineType {
        capacity: Resources::new(cpu, memory),
    };
    capacities.map(machine_type).collect()
}

fn load_report_source(report: &ReportInfo) -> LoadReportSource {
    match report.source.as_str() {
        "answers" => LoadReportSource::OutcomesAndPolls,
        "probe" => LoadReportSource::PollsOnly,
        _ => LoadReportSource::None,
    }
}

fn safety_limits(safety: &SafetyInfo, family: &FamilyInfo) -> SafetyLimits {
    SafetyLimits {
        answer_slack: safety.answer_slack,
        max_poll_interval: safety.max_poll_interval,
        slow_start_speed: safety.slow_start_speed,
        slow_start_duration: safety.slow_start_duration,
        slow_start_offers: family.slow_start_offers,
        drain_grace: safety.drain_grace,
        overload_ratio: safety.overload_ratio,
        overload_window: safety.overload_window,
    }
}

fn cost_model(costs: &CostInfo, family: &FamilyInfo) -> CostModel {
    CostModel {
        idle_machines: costs.idle_machines,
        rejected_offer: family.rejected_offer_cost,
        migration: costs.migration,
        eviction_in_migrations: family.eviction_in_migrations,
        load_poll: costs.load_poll,
        gossip_message: costs.gossip_message,
    }
}
