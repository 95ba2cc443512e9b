//! Guards the keys and values of the operators' settings object: a renamed key would be ignored or rejected at deployed
//! sites. Each key of the fixture has a distinct value, which must reach the settings of the policy or the front ends.

use serde_json::{Value, json};
use std::collections::BTreeMap;
use tidespur_policy::interface::{
    AttemptProgress, FailureCause, FailureDomain, LoadReport, LoadReportSource, RetrySafety,
    Settings,
};
use tidespur_site_settings::{SettingsObject, Site, convert};

const SETTINGS: &str = include_str!("fixtures/settings.json");

fn site_of(settings: Value) -> Site {
    serde_json::from_value::<SettingsObject>(settings)
        .expect("settings are valid JSON of the expected types")
        .into_site()
        .expect("settings are accepted")
}

fn fixture() -> Value {
    serde_json::from_str(SETTINGS).expect("fixture is JSON")
}

/// The settings of the fixture with the value at a JSON pointer replaced.
fn settings_with(pointer: &str, value: Value) -> Settings {
    let mut settings = fixture();
    *settings.pointer_mut(pointer).expect("fixture has the key") = value;
    site_of(settings).settings
}

#[test]
fn names_and_connection_limits_keep_their_keys() {
    let site = site_of(fixture());
    assert_eq!(site.classes, ["web", "keyed", "slot"]);
    assert_eq!(site.tenants, ["tenant-1", "tenant-2"]);
    assert_eq!(site.machine_types, ["std", "big"]);
    assert_eq!(site.zones, ["east", "west", "north"]);
    assert_eq!(site.connect_timeout, 0.3125);
    assert_eq!(site.idle_connection_timeout, 19.5);
}

#[test]
fn general_settings_keep_their_keys() {
    let settings = site_of(fixture()).settings;
    assert_eq!(settings.scheduler_count, 4);
    assert_eq!(settings.ordinal, 3);
    assert_eq!(settings.zone, 1);
    assert_eq!(settings.overcommit.cpu, 2.5);
    assert_eq!(settings.overcommit.memory, 1.5);
    assert!(settings.single_scheduler_per_service);
    assert!(settings.confirm_when_running);
    assert!(settings.requires_subscription);
    assert!(settings.lists_unclaimed);
    assert_eq!(settings.load_reports, LoadReportSource::OutcomesAndPolls);
    assert!(settings.reports_measured_usage);
    assert!(settings.allows_load_polls);
    assert!(settings.allows_gossip);
    assert_eq!(settings.max_attempts, 17);
    assert_eq!(settings.max_retry_after, 18.5);
    assert_eq!(settings.over_quota_weight, 0.125);
}

#[test]
fn classes_keep_their_keys() {
    let classes = site_of(fixture()).settings.classes;
    let [web, keyed, slot] = classes.as_slice() else {
        panic!("expected three classes")
    };

    assert_eq!(
        (web.latency_objective, web.deadline, web.priority_weight),
        (0.75, 6.5, 1.25)
    );
    assert_eq!(web.retry_safety, RetrySafety::Idempotent);
    assert_eq!(
        (
            web.start_weight,
            web.full_service_utilization,
            web.degradation_range
        ),
        (13.5, 0.5, 0.375)
    );
    assert_eq!((web.machine_type, web.priority), (None, 5));
    assert_eq!((web.spread_domain, web.max_per_spread_domain), (None, 21));

    assert_eq!(
        (
            keyed.latency_objective,
            keyed.deadline,
            keyed.priority_weight
        ),
        (1.75, 7.5, 2.25)
    );
    assert_eq!(
        keyed.retry_safety,
        RetrySafety::IdempotencyKeyed {
            domain: FailureDomain::Cell,
            window: 4.5
        }
    );
    assert_eq!(
        (
            keyed.start_weight,
            keyed.full_service_utilization,
            keyed.degradation_range
        ),
        (14.5, 0.25, 0.625)
    );
    assert_eq!((keyed.machine_type, keyed.priority), (Some(1), 6));
    assert_eq!(
        (keyed.spread_domain, keyed.max_per_spread_domain),
        (Some(FailureDomain::Zone), 22)
    );

    assert_eq!(
        (slot.latency_objective, slot.deadline, slot.priority_weight),
        (2.75, 8.5, 3.25)
    );
    assert_eq!(slot.retry_safety, RetrySafety::NonIdempotent);
    assert_eq!(
        (
            slot.start_weight,
            slot.full_service_utilization,
            slot.degradation_range
        ),
        (15.5, 0.75, 0.875)
    );
    assert_eq!((slot.machine_type, slot.priority), (Some(0), 7));
    assert_eq!(
        (slot.spread_domain, slot.max_per_spread_domain),
        (Some(FailureDomain::Machine), 23)
    );
}

#[test]
fn tenants_and_machine_types_keep_their_keys() {
    let settings = site_of(fixture()).settings;
    let tenants: Vec<(f64, f64)> = settings
        .tenants
        .iter()
        .map(|tenant| (tenant.quota_fraction, tenant.quota_per_second))
        .collect();
    assert_eq!(tenants, [(0.625, 11.5), (0.375, 12.5)]);
    let capacities: Vec<(f64, f64)> = settings
        .machine_types
        .iter()
        .map(|machine_type| (machine_type.capacity.cpu, machine_type.capacity.memory))
        .collect();
    assert_eq!(capacities, [(32.0, 128.0), (64.0, 256.0)]);
}

#[test]
fn safety_limits_keep_their_keys() {
    let safety = site_of(fixture()).settings.safety_limits;
    assert_eq!(safety.answer_slack, 0.0625);
    assert_eq!(safety.max_poll_interval, 24.5);
    assert_eq!(safety.slow_start_speed, 0.1875);
    assert_eq!(safety.slow_start_duration, 25.5);
    assert_eq!(safety.slow_start_offers, 8.5);
    assert_eq!(safety.drain_grace, 26.5);
    assert_eq!(safety.overload_ratio, 27.5);
    assert_eq!(safety.overload_window, 28.5);
}

#[test]
fn costs_keep_their_keys() {
    let costs = site_of(fixture()).settings.costs;
    assert_eq!(costs.idle_machines, 29.5);
    assert_eq!(costs.rejected_offer, 10.5);
    assert_eq!(costs.migration, 30.5);
    assert_eq!(costs.eviction_in_migrations, 9.5);
    assert_eq!(costs.load_poll, 32.5);
    assert_eq!(costs.gossip_message, 31.5);
}

#[test]
fn named_values_keep_their_meaning() {
    let domains = [
        ("all", FailureDomain::All),
        ("zone", FailureDomain::Zone),
        ("cell", FailureDomain::Cell),
        ("machine", FailureDomain::Machine),
    ];
    for (word, domain) in domains {
        let settings = settings_with("/familyInfo/apartBy/0", json!(word));
        assert_eq!(
            settings.classes[0].spread_domain,
            Some(domain),
            "apartBy {word}"
        );
        let settings = settings_with("/services/1/group", json!(word));
        assert_eq!(
            settings.classes[1].retry_safety,
            RetrySafety::IdempotencyKeyed {
                domain,
                window: 4.5
            },
            "group {word}"
        );
    }
    for word in ["none", ""] {
        let settings = settings_with("/familyInfo/apartBy/2", json!(word));
        assert_eq!(settings.classes[2].spread_domain, None, "apartBy {word:?}");
        let settings = settings_with("/services/1/group", json!(word));
        let expected = RetrySafety::IdempotencyKeyed {
            domain: FailureDomain::Machine,
            window: 4.5,
        };
        assert_eq!(settings.classes[1].retry_safety, expected, "group {word:?}");
    }
    for (word, source) in [
        ("probe", LoadReportSource::PollsOnly),
        ("none", LoadReportSource::None),
        ("", LoadReportSource::None),
    ] {
        assert_eq!(
            settings_with("/report/via", json!(word)).load_reports,
            source,
            "via {word:?}"
        );
    }
    assert!(!settings_with("/familyInfo/ack", json!("accepted")).confirm_when_running);
    assert!(!settings_with("/familyInfo/measuredBy", json!("asked")).reports_measured_usage);
    assert!(!settings_with("/discovery", json!("push")).requires_subscription);
    assert_eq!(
        settings_with("/limits/retryAfter", json!(false)).max_retry_after,
        0.0
    );
}

/// Collects the JSON pointers of all keys in objects and in lists of objects.
fn collect_keys(value: &Value, prefix: &str, keys: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(object) => object
            .iter()
            .map(|(key, child)| (key.clone(), child))
            .collect(),
        Value::Array(list) if list.iter().all(Value::is_object) => list
            .iter()
            .enumerate()
            .map(|(index, child)| (index.to_string(), child))
            .collect(),
        _ => return,
    };
    for (key, child) in children {
        let pointer = format!("{prefix}/{key}");
        if value.is_object() {
            keys.push(pointer.clone());
        }
        collect_keys(child, &pointer, keys);
    }
}

/// The `Debug` output of the settings, or the error, that the fixture without this key leads to.
fn outcome_without(pointer: &str) -> String {
    let mut settings = fixture();
    let (parent, key) = pointer
        .rsplit_once('/')
        .expect("pointer starts with a slash");
    let parent = settings
        .pointer_mut(parent)
        .expect("fixture has the parent");
    parent
        .as_object_mut()
        .expect("parent is an object")
        .remove(key);
    match serde_json::from_value::<SettingsObject>(settings) {
        Err(error) => error.to_string(),
        Ok(settings) => format!("{:?}", settings.into_site()),
    }
}

#[test]
fn every_known_and_used_key_has_an_effect() {
    let unchanged = format!("{:?}", Ok::<_, String>(site_of(fixture())));
    let mut keys = Vec::new();
    collect_keys(&fixture(), "", &mut keys);
    let without_effect: Vec<String> = keys
        .into_iter()
        .filter(|key| outcome_without(key) == unchanged)
        .collect();
    // `group` and `windowS` are used for classes with the effect `keyed` only; `news` is an unknown key.
    let expected = [
        "/news",
        "/services/0/group",
        "/services/0/windowS",
        "/services/2/group",
        "/services/2/windowS",
    ];
    assert_eq!(without_effect, expected);
}

#[test]
fn failure_cause_codes_keep_their_meaning() {
    let causes = [
        (0, FailureCause::Unspecified),
        (1, FailureCause::InsufficientCpu),
        (2, FailureCause::InsufficientMemory),
        (3, FailureCause::QueueFull),
        (4, FailureCause::NotEligible),
        (5, FailureCause::Evicted),
        (6, FailureCause::Preempted),
        (7, FailureCause::Drained),
        (8, FailureCause::Unspecified),
    ];
    for (code, cause) in causes {
        assert_eq!(convert::failure_cause(code), cause, "{code}");
    }
}

#[test]
fn progress_codes_keep_their_meaning() {
    let codes = [
        (0, None),
        (1, Some(AttemptProgress::Started)),
        (2, Some(AttemptProgress::CpuUsage(1.5))),
        (3, Some(AttemptProgress::MemoryUsage(1.5))),
        (4, Some(AttemptProgress::ServiceLevel(1.5))),
        (5, Some(AttemptProgress::MachineMemoryUtilization(1.5))),
        (6, None),
    ];
    for (code, progress) in codes {
        assert_eq!(convert::attempt_progress(code, 1.5), progress, "{code}");
    }
}

#[test]
fn load_reports_keep_their_keys() {
    let report = |values: &[(&str, f64)]| {
        convert::load_report(
            &values
                .iter()
                .map(|(name, value)| ((*name).to_owned(), *value))
                .collect::<BTreeMap<_, _>>(),
        )
    };
    let expected = LoadReport {
        free_cpu: Some(1.5),
        free_memory: Some(2.5),
        queued: Some(3.5),
        cpu_utilization: Some(0.5),
    };
    assert_eq!(
        report(&[("x0", 1.5), ("x1", 2.5), ("q", 3.5), ("busy", 0.5)]),
        expected
    );
    assert_eq!(
        report(&[("x0", 1.5), ("x1", 2.5), ("queue", 3.5), ("busy", 0.5)]),
        expected
    );
    assert_eq!(
        report(&[("x0", f64::NAN), ("another", 1.0)]),
        LoadReport::default()
    );
}

#[test]
fn hash_is_the_same_in_every_build() {
    assert_eq!(convert::stable_hash(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(convert::stable_hash("service-1"), 0x11ec_c33b_f6dd_cb2e);
}
