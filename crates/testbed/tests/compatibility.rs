//! The names of the scenario files, their keys and the types of fault in them stay valid.

#[path = "../../cli/tests/common/fixture.rs"]
mod fixture;

use fixture::Additions;
use std::collections::BTreeSet;
use std::path::Path;
use tidespur_testbed::scenario::Scenario;

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");

/// A scenario with every key of all blocks, each with a value other than its default.
const FULL: &str = include_str!("fixtures/full.hcl");

fn scenarios() -> Vec<(String, String)> {
    let folder = Path::new(PACKAGE).join("../../scenarios");
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        files.push((name, std::fs::read_to_string(&path).unwrap()));
    }
    files.sort();
    files
}

/// Block type, key and value of each attribute of a scenario; `day` is the top level.
fn attributes(text: &str) -> Vec<(&str, &str, &str)> {
    let mut block = "day";
    let mut attributes = Vec::new();
    for line in text
        .lines()
        .map(str::trim)
        .filter(|line| !line.starts_with('#'))
    {
        if line.ends_with('{') {
            block = line.split(' ').next().unwrap();
        } else if line == "}" {
            block = "day";
        } else if let Some((key, value)) = line.split_once('=') {
            let value = value.split('#').next().unwrap_or_default();
            attributes.push((block, key.trim(), value.trim().trim_matches('"')));
        }
    }
    attributes
}

#[test]
fn scenario_files_exist_and_parse() {
    let files = scenarios();
    fixture::check(
        PACKAGE,
        "scenarios.txt",
        files.iter().map(|(name, _)| name.clone()),
        Additions::Accepted,
    );
    for (name, text) in files {
        Scenario::parse(&text).unwrap_or_else(|e| panic!("{name}: {e}"));
    }
}

#[test]
fn scenario_keys_are_still_read() {
    let mut used: BTreeSet<String> = BTreeSet::new();
    for (_, text) in scenarios()
        .iter()
        .chain([&("full.hcl".to_owned(), FULL.to_owned())])
    {
        used.extend(
            attributes(text)
                .into_iter()
                .map(|(block, key, _)| format!("{block}.{key}")),
        );
    }
    fixture::check(PACKAGE, "scenario_keys.txt", used, Additions::Accepted);
    let parsed = format!("{:?}", Scenario::parse(FULL).unwrap());
    let mut in_full = BTreeSet::new();
    for (number, line) in FULL
        .lines()
        .enumerate()
        .filter(|(_, line)| line.contains(" = "))
    {
        let text: Vec<&str> = FULL
            .lines()
            .enumerate()
            .map(|(n, l)| if n == number { "" } else { l })
            .collect();
        let without = Scenario::parse(&text.join("\n"));
        let is_read = without.is_err() || without.is_ok_and(|day| format!("{day:?}") != parsed);
        assert!(is_read, "line {}: {line} changes nothing", number + 1);
    }
    in_full.extend(
        attributes(FULL)
            .into_iter()
            .map(|(block, key, _)| format!("{block}.{key}")),
    );
    let listed: BTreeSet<String> = fixture::read(PACKAGE, "scenario_keys.txt")
        .into_iter()
        .collect();
    assert_eq!(listed, in_full, "a key of scenarios is not in full.hcl");
}

#[test]
fn unknown_keys_are_rejected_and_all_known_ones_are_listed() {
    for (block, text) in [
        ("day", format!("no_such_key = 1\n{FULL}")),
        (
            "work",
            FULL.replacen("work \"all\" {", "work \"all\" {\n  no_such_key = 1", 1),
        ),
        (
            "trouble",
            FULL.replacen(
                "trouble \"all\" {",
                "trouble \"all\" {\n  no_such_key = 1",
                1,
            ),
        ),
    ] {
        let error = Scenario::parse(&text).unwrap_err().to_string();
        let (_, offered) = error
            .split_once("unknown field `no_such_key`, expected ")
            .expect(&error);
        let offered: BTreeSet<&str> = offered.split('`').skip(1).step_by(2).collect();
        let mut known: BTreeSet<&str> = attributes(FULL)
            .into_iter()
            .filter(|(b, ..)| *b == block)
            .map(|(_, key, _)| key)
            .collect();
        if block == "day" {
            known.extend(["work", "trouble"]);
        }
        assert_eq!(offered, known, "a key of {block} is not in full.hcl");
    }
}

#[test]
fn fault_types_are_accepted_by_their_names() {
    let files = scenarios();
    let used = files.iter().flat_map(|(_, text)| attributes(text));
    let kinds = used.filter(|(block, key, _)| (*block, *key) == ("trouble", "kind"));
    let kinds: BTreeSet<String> = kinds.map(|(.., kind)| kind.to_owned()).collect();
    let with = |kind: &str| {
        Scenario::parse(&FULL.replace("kind     = \"crash\"", &format!("kind = \"{kind}\"")))
    };
    let error = with("no-such-kind").unwrap_err().to_string();
    let (_, offered) = error.split_once("expected one of ").expect(&error);
    let offered: BTreeSet<String> = offered
        .split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect();
    assert!(kinds.is_subset(&offered), "{kinds:?}");
    fixture::check(PACKAGE, "trouble_kinds.txt", offered, Additions::Rejected);
    for kind in fixture::read(PACKAGE, "trouble_kinds.txt") {
        with(&kind).unwrap_or_else(|e| panic!("{kind}: {e}"));
    }
}
