//! Compatibility of the settings file: keys, defaults, ranges and errors are compared with fixtures.
//! `fixtures/full.hcl` sets every key to a value other than its default.

#[path = "../../cli/tests/common/fixture.rs"]
mod fixture;

use fixture::Additions;
use std::collections::BTreeSet;
use tidespur_config::{Class, Config, FailureDomain, RetrySafety, parse};

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");
const FULL: &str = include_str!("fixtures/full.hcl");

/// Adds a line `BLOCK.KEY = VALUE` for each field, with the key of the file instead of the field's name in Rust.
macro_rules! values {
    ($lines:ident, $block:expr, $section:expr, { $($key:literal: $field:ident),* $(,)? }) => {
        $($lines.push(format!("{}.{} = {:?}", $block, $key, $section.$field));)*
    };
}

fn effect_key(retry_safety: RetrySafety) -> &'static str {
    match retry_safety {
        RetrySafety::Idempotent => "safe",
        RetrySafety::IdempotencyKeyed => "keyed",
        RetrySafety::NonIdempotent => "unsafe",
    }
}

fn domain_key(domain: Option<FailureDomain>) -> &'static str {
    match domain {
        None => "none",
        Some(FailureDomain::All) => "all",
        Some(FailureDomain::Zone) => "zone",
        Some(FailureDomain::Rack) => "rack",
        Some(FailureDomain::Node) => "node",
    }
}

fn values_of_class(block: &str, class: &Class) -> Vec<String> {
    let mut lines = vec![
        format!("{block}.effect = {}", effect_key(class.retry_safety)),
        format!("{block}.group = {}", domain_key(class.deduplication_domain)),
        format!("{block}.spread = {}", domain_key(class.spread_domain)),
    ];
    values!(lines, block, class, {
        "aim": latency_objective, "deadline": deadline, "window": deduplication_window, "worth": priority_weight, "start_worth": start_weight, "calm": full_service_utilization,
        "fade": degradation_range, "kind": node_type, "priority": priority, "spread_most": max_per_spread_domain,
    });
    lines
}

fn values_of_blocks_with_defaults(config: &Config) -> Vec<String> {
    let mut lines = Vec::new();
    values!(lines, "nodes", config.nodes, {
        "admit_cores": cpu_overcommit, "admit_memory": memory_overcommit, "lists_free": lists_unclaimed, "reports": load_reports,
        "reports_use": reports_measured_usage, "probes": allows_load_polls, "max_attempts": max_attempts,
    });
    values!(lines, "safety", config.safety_limits, {
        "answer_slack": answer_slack, "ask_within": max_poll_interval, "cold_from": slow_start_speed, "cold": slow_start_duration,
        "cold_bears": slow_start_offers, "drain_grace": drain_grace, "fall_multiple": overload_ratio,
        "overload_for": overload_window,
    });
    values!(lines, "prices", config.costs, {
        "machines": idle_machines, "refused": rejected_offer, "moves": migration, "eviction_as_moves": eviction_in_migrations,
        "probe": load_poll, "message": gossip_message,
    });
    values!(lines, "edge", config.edge, {
        "open_most": max_open_tasks, "planner_most": max_tasks_per_planner, "connections_most": max_connections,
        "body_most": max_body_bytes, "head_timeout": head_timeout, "body_timeout": body_timeout, "history": max_history,
        "objects_most": max_objects, "bookmark_every": bookmark_interval, "planner_patience": planner_timeout,
        "one_home": single_planner_per_service,
    });
    values!(lines, "planner", config.planner, {
        "node_connections": max_connections_per_node, "step_most": max_events_per_step, "edge_patience": edge_timeout,
        "planners": planner_count, "reasons": publishes_pending_reasons,
    });
    values!(lines, "owner", config.job_controller, {
        "again_first": initial_backoff, "again_most": max_backoff, "again_lost": lost_task_backoff, "settle": outcome_query_delay,
    });
    lines
}

fn values_of(config: &Config) -> Vec<String> {
    let mut lines = values_of_blocks_with_defaults(config);
    for (name, tenant) in &config.tenants {
        values!(lines, format!("tenant.{name}"), tenant, { "share": quota_fraction, "quota_per_s": quota_per_second });
    }
    for (name, kind) in &config.node_types {
        values!(lines, format!("kind.{name}"), kind, { "cores": cores, "memory": memory });
    }
    for (name, class) in &config.classes {
        lines.extend(values_of_class(&format!("class.{name}"), class));
    }
    if let Some(fleet) = &config.membership {
        values!(lines, "fleet", fleet, {
            "cluster": cluster, "listen": listen, "join": join, "members_most": max_members,
        });
    }
    if let Some(ledger) = &config.coordination {
        values!(lines, "ledger", ledger, { "voters": voters, "term": lease_term, "drift": max_clock_drift });
    }
    if let Some(durable) = &config.persistence {
        values!(lines, "durable", durable, { "dir": directory });
    }
    lines
}

/// One attribute of a settings file.
struct Attribute {
    /// Line number, from 0.
    line: usize,
    /// Number of the line that opens its block, from 0.
    opening: usize,
    key: String,
    value: String,
}

fn attributes(text: &str) -> Vec<Attribute> {
    let mut opening = 0;
    let mut attributes = Vec::new();
    for (line, content) in text.lines().enumerate() {
        if content.ends_with('{') {
            opening = line;
        } else if let Some((key, value)) = content.split_once('=') {
            let (key, value) = (key.trim().to_owned(), value.trim().to_owned());
            attributes.push(Attribute {
                line,
                opening,
                key,
                value,
            });
        }
    }
    attributes
}

/// The block type of an opening line: `class` for `class "safe" {`.
fn block_of(opening: &str) -> &str {
    opening.split(' ').next().unwrap_or_default()
}

fn with_line(text: &str, line: usize, replacement: &str) -> String {
    let mut lines: Vec<&str> = text.lines().collect();
    lines[line] = replacement;
    lines.join("\n")
}

#[test]
fn every_key_sets_its_field() {
    let config = parse("full.hcl", FULL).unwrap();
    fixture::check(
        PACKAGE,
        "values.txt",
        values_of(&config),
        Additions::Rejected,
    );
}

#[test]
fn defaults_are_unchanged() {
    let required = "class \"a\" {\n  aim = 1\n  deadline = 2\n  effect = \"safe\"\n}\nkind \"k\" {\n  cores = 1\n  memory = 1\n}\n";
    let minimal = parse("bare.hcl", required).unwrap();
    assert!(
        minimal.membership.is_none()
            && minimal.coordination.is_none()
            && minimal.persistence.is_none()
            && minimal.tenants.is_empty()
    );
    let with_blocks =
        format!("{required}fleet {{\n}}\nledger {{\n  voters = {{ e = \"127.0.0.1:1\" }}\n}}\n");
    let with_blocks = parse("named.hcl", &with_blocks).unwrap();
    fixture::check(
        PACKAGE,
        "defaults.txt",
        values_of(&with_blocks),
        Additions::Rejected,
    );
}

#[test]
fn no_key_of_the_full_file_is_ignored() {
    let full = format!("{:?}", parse("full.hcl", FULL).unwrap());
    let attributes = attributes(FULL);
    assert!(!attributes.is_empty());
    for attribute in attributes {
        let without = parse("full.hcl", &with_line(FULL, attribute.line, ""));
        let is_used = without.is_err() || without.is_ok_and(|config| format!("{config:?}") != full);
        assert!(
            is_used,
            "line {}: {} changes nothing",
            attribute.line + 1,
            attribute.key
        );
    }
}

/// The keys that the message about an unknown key lists as expected.
fn expected_keys(message: &str) -> BTreeSet<String> {
    let (_, list) = message.split_once("expected ").expect("what is expected");
    list.split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

#[test]
fn unknown_keys_are_reported_with_their_location_and_all_known_keys_are_in_the_full_file() {
    let attributes = attributes(FULL);
    let openings: BTreeSet<usize> = attributes
        .iter()
        .map(|attribute| attribute.opening)
        .collect();
    let (mut locations, mut known, mut used) = (Vec::new(), BTreeSet::new(), BTreeSet::new());
    for opening in openings {
        let head = FULL.lines().nth(opening).unwrap();
        let text = with_line(FULL, opening, &format!("{head}\n  no_such_key = 1"));
        let error = parse("full.hcl", &text).unwrap_err().to_string();
        let (location, message) = error
            .split_once(": unknown field `no_such_key`")
            .expect(&error);
        locations.push(location.to_owned());
        known.extend(
            expected_keys(message)
                .into_iter()
                .map(|key| format!("{}.{key}", block_of(head))),
        );
    }
    for attribute in attributes {
        let head = FULL.lines().nth(attribute.opening).unwrap();
        used.insert(format!("{}.{}", block_of(head), attribute.key));
    }
    let error = parse("full.hcl", &format!("{FULL}\nno_such_block {{\n}}\n"))
        .unwrap_err()
        .to_string();
    let (location, message) = error
        .split_once(": unknown field `no_such_block`")
        .expect(&error);
    locations.push(location.to_owned());
    let blocks: BTreeSet<String> = FULL
        .lines()
        .filter(|l| l.ends_with('{'))
        .map(|l| block_of(l).to_owned())
        .collect();
    assert_eq!(
        expected_keys(message),
        blocks,
        "a block of the settings is not in full.hcl"
    );
    assert_eq!(known, used, "a key of the settings is not in full.hcl");
    fixture::check(PACKAGE, "unknown_keys.txt", locations, Additions::Rejected);
}

#[test]
fn errors_for_wrong_values_have_the_same_location_and_range() {
    let mut outcomes = Vec::new();
    for attribute in attributes(FULL) {
        let is_number = attribute.value.parse::<f64>().is_ok();
        // Flags and names have no range; they get a value of another type.
        let wrong_values: &[&str] = if is_number { &["-1", "1e18"] } else { &["7"] };
        for value in wrong_values {
            let text = with_line(
                FULL,
                attribute.line,
                &format!("  {} = {value}", attribute.key),
            );
            let outcome = parse("full.hcl", &text)
                .map_or_else(|error| error.to_string(), |_| "accepted".into());
            outcomes.push(format!("{} = {value} -> {outcome}", attribute.line + 1));
        }
    }
    fixture::check(PACKAGE, "wrong_values.txt", outcomes, Additions::Rejected);
}
