//! Valid settings are accepted, and errors in invalid ones have file, line, key and range.

use tidespur_config::{DEFAULT_CONFIG, parse};

#[test]
fn the_example_is_valid_and_has_the_default_values() {
    let config = parse("default.hcl", DEFAULT_CONFIG).unwrap();
    assert_eq!(
        config.classes.keys().collect::<Vec<_>>(),
        ["termin-web", "slot-abgleich"]
    );
    config.scheduler_settings(0, 0).check().unwrap();
    let without_sections: String = DEFAULT_CONFIG.split("\nnodes {").next().unwrap().to_owned();
    let defaults = parse("short.hcl", &without_sections).unwrap();
    assert_eq!(
        format!("{defaults:?}"),
        format!("{config:?}"),
        "the example's values are the defaults"
    );
}

#[test]
fn with_coordination_a_planner_without_a_planner_count_takes_the_smallest_slow_start_quota() {
    let settings = |text: &str| parse("settings", text).unwrap().scheduler_settings(0, 0);
    let coordinated = settings(&format!(
        "{DEFAULT_CONFIG}\nledger {{\n  voters = {{ edge-0 = \"127.0.0.1:7301\" }}\n}}\n"
    ));
    assert_eq!(
        (
            settings(DEFAULT_CONFIG).scheduler_count,
            coordinated.scheduler_count,
            coordinated.safety_limits.slow_start_offers
        ),
        (1, 8, 8.0)
    );
    let many = DEFAULT_CONFIG.replace("planners         = 1 ", "planners         = 30 ");
    assert_eq!(settings(&many).scheduler_count, 30);
}

#[test]
fn errors_name_file_line_key_and_range() {
    for (from, to, key, message) in [
        (
            "deadline    = 6 ",
            "deadline    = -1 ",
            "class.termin-web.deadline",
            "allowed is 0.7 to 86400",
        ),
        (
            "spread_most = 3",
            "spread_least = 3",
            "class.slot-abgleich.spread_least",
            "unknown field",
        ),
        (
            "admit_cores  = 2.5",
            "admit_cores  = \"much\"",
            "nodes.admit_cores",
            "invalid type",
        ),
        (
            "effect      = \"unsafe\"",
            "effect      = \"keyed\"",
            "class.slot-abgleich.effect",
            "needs a group",
        ),
        (
            "share       = 1.0",
            "share       = 1.5",
            "tenant.default.share",
            "allowed is 0 to 1",
        ),
        (
            "settle      = 3",
            "settle      = 1e9",
            "owner.settle",
            "allowed is 0 to 3600",
        ),
    ] {
        assert!(DEFAULT_CONFIG.contains(from), "{from}");
        let text = DEFAULT_CONFIG.replace(from, to);
        let line = text.lines().position(|l| l.contains(to.trim())).unwrap() + 1;
        let error = parse("site.hcl", &text).unwrap_err();
        assert_eq!(
            (error.line_number, error.key.as_str()),
            (line, key),
            "{error}"
        );
        let shown = error.to_string();
        assert!(
            shown.starts_with(&format!("site.hcl:{line}: ")) && shown.contains(message),
            "{shown}"
        );
    }
}

#[test]
fn syntax_errors_name_their_line() {
    let error = parse("site.hcl", "a = 1\nb = = 2\n").unwrap_err();
    assert_eq!(error.line_number, 2, "{error}");
}

#[test]
fn membership_is_off_without_its_block_and_invalid_values_are_named_by_key() {
    assert!(
        parse("built-in", DEFAULT_CONFIG)
            .unwrap()
            .membership
            .is_none()
    );
    let parse_fleet = |block: &str| {
        parse(
            "site.hcl",
            &format!("{DEFAULT_CONFIG}\nfleet {{\n  {block}\n}}\n"),
        )
    };
    let section = parse_fleet("join = [\"127.0.0.1:7001\"]")
        .unwrap()
        .membership
        .expect("it is named");
    assert_eq!(
        (section.cluster.as_str(), section.max_members),
        ("tidespur", 1_024)
    );
    for (block, key) in [
        ("cluster = \"two words\"", "fleet.cluster"),
        ("listen = \"here\"", "fleet.listen"),
        ("listen = \"0.0.0.0:7001\"", "fleet.listen"),
        ("join = [\"127.0.0.1\"]", "fleet.join"),
        ("members_most = 1", "fleet.members_most"),
        ("seeds = []", "fleet.seeds"),
    ] {
        let error = parse_fleet(block).unwrap_err();
        let line = DEFAULT_CONFIG.lines().count() + 3;
        assert_eq!(
            (error.key.as_str(), error.line_number),
            (key, line),
            "{error}"
        );
    }
}
