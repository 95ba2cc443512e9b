//! Good settings, and bad ones with the place named.

use tidespur_config::{DEFAULT_CONFIG, parse};

#[test]
fn the_example_is_taken_and_says_what_holds_anyway() {
    let config = parse("default.hcl", DEFAULT_CONFIG).unwrap();
    assert_eq!(
        config.classes.keys().collect::<Vec<_>>(),
        ["termin-web", "slot-abgleich"]
    );
    config.scheduler_settings(0, 0).check().unwrap();
    let short: String = DEFAULT_CONFIG.split("\nnodes {").next().unwrap().to_owned();
    let bare = parse("short.hcl", &short).unwrap();
    assert_eq!(
        format!("{bare:?}"),
        format!("{config:?}"),
        "the example's values are the defaults"
    );
}

#[test]
fn where_the_ledger_counts_planners_one_that_was_not_told_takes_the_smallest_part() {
    let of = |text: &str| parse("settings", text).unwrap().scheduler_settings(0, 0);
    let counted = of(&format!(
        "{DEFAULT_CONFIG}\nledger {{\n  voters = {{ edge-0 = \"127.0.0.1:7301\" }}\n}}\n"
    ));
    assert_eq!(
        (
            of(DEFAULT_CONFIG).scheduler_count,
            counted.scheduler_count,
            counted.safety_limits.slow_start_offers
        ),
        (1, 8, 8.0)
    );
    let many = DEFAULT_CONFIG.replace("planners         = 1 ", "planners         = 30 ");
    assert_eq!(of(&many).scheduler_count, 30);
}

#[test]
fn bad_settings_name_file_line_key_and_range() {
    for (from, to, key, says) in [
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
        let problem = parse("site.hcl", &text).unwrap_err();
        assert_eq!(
            (problem.line_number, problem.key.as_str()),
            (line, key),
            "{problem}"
        );
        let shown = problem.to_string();
        assert!(
            shown.starts_with(&format!("site.hcl:{line}: ")) && shown.contains(says),
            "{shown}"
        );
    }
}

#[test]
fn bad_syntax_names_its_line() {
    let problem = parse("site.hcl", "a = 1\nb = = 2\n").unwrap_err();
    assert_eq!(problem.line_number, 2, "{problem}");
}

#[test]
fn a_fleet_is_off_unless_it_is_named_and_bad_ones_name_their_key() {
    assert!(
        parse("built-in", DEFAULT_CONFIG)
            .unwrap()
            .membership
            .is_none()
    );
    let with = |block: &str| {
        parse(
            "site.hcl",
            &format!("{DEFAULT_CONFIG}\nfleet {{\n  {block}\n}}\n"),
        )
    };
    let good = with("join = [\"127.0.0.1:7001\"]")
        .unwrap()
        .membership
        .expect("it is named");
    assert_eq!(
        (good.cluster.as_str(), good.max_members),
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
        let problem = with(block).unwrap_err();
        let line = DEFAULT_CONFIG.lines().count() + 3;
        assert_eq!(
            (problem.key.as_str(), problem.line_number),
            (key, line),
            "{problem}"
        );
    }
}
