//! Checks of the deploy file: its keys are stable, and the files, packages and programs that it names exist.

#[path = "../../cli/tests/common/fixture.rs"]
mod fixture;

use fixture::Additions;
use std::path::{Path, PathBuf};

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");

fn root() -> PathBuf {
    Path::new(PACKAGE).join("../..")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).unwrap_or_else(|e| panic!("{path}: {e}"))
}

/// Keys and values of a file that consists of `key = value` lines.
fn entries(text: &str) -> Vec<(&str, &str)> {
    let lines = text
        .lines()
        .filter(|line| !line.trim().is_empty() && !line.starts_with('#'));
    lines
        .map(|line| {
            line.split_once(" = ")
                .unwrap_or_else(|| panic!("line is not `key = value`: {line}"))
        })
        .collect()
}

fn value<'a>(text: &'a str, key: &str) -> &'a str {
    let found = entries(text).into_iter().find(|(name, _)| *name == key);
    found.unwrap_or_else(|| panic!("key {key} is missing")).1
}

/// The strings in a list, or a single string.
fn strings(value: &str) -> Vec<&str> {
    value.split('"').skip(1).step_by(2).collect()
}

#[test]
fn deploy_file_keys_are_stable() {
    let text = read("deploy/balancer.toml");
    let value_type = |value: &str| {
        if value.starts_with('[') {
            "list"
        } else {
            "text"
        }
    };
    let keys = entries(&text)
        .into_iter()
        .map(|(key, value)| format!("{key}: {}", value_type(value)));
    fixture::check(PACKAGE, "deploy_keys.txt", keys, Additions::Rejected);
}

#[test]
fn paths_in_the_deploy_file_exist() {
    let text = read("deploy/balancer.toml");
    let (policy, node) = (
        strings(value(&text, "policy")),
        strings(value(&text, "node")),
    );
    assert!(!policy.is_empty() && !node.is_empty());
    for file in policy {
        assert!(root().join(file).is_file(), "policy: {file} is not a file");
    }
    for directory in node {
        assert!(
            root().join(directory).join("Cargo.toml").is_file(),
            "node: {directory} is not a package"
        );
    }
}

/// The names of all packages of the workspace.
fn packages() -> Vec<String> {
    let mut names = Vec::new();
    for entry in std::fs::read_dir(root().join("crates")).unwrap() {
        let manifest = std::fs::read_to_string(entry.unwrap().path().join("Cargo.toml")).unwrap();
        let name = manifest
            .lines()
            .find_map(|line| line.strip_prefix("name = "))
            .unwrap();
        names.push(name.trim_matches('"').to_owned());
    }
    names
}

#[test]
fn the_deploy_file_builds_the_programs_that_it_starts() {
    let text = read("deploy/balancer.toml");
    let build: Vec<&str> = strings(value(&text, "build"))[0].split(' ').collect();
    let built: Vec<&str> = build
        .windows(2)
        .filter(|pair| pair[0] == "-p")
        .map(|pair| pair[1])
        .collect();
    let known = packages();
    assert!(
        !built.is_empty() && built.iter().all(|name| known.iter().any(|k| k == name)),
        "{built:?}"
    );
    assert!(
        build.contains(&"--release") && build.contains(&"--locked"),
        "{build:?}"
    );
    for key in ["sim", "run"] {
        let command = strings(value(&text, key))[0];
        let program = command
            .split(' ')
            .find_map(|word| word.strip_prefix("target/release/"));
        // Programs have the names of their packages.
        assert!(
            program.is_some_and(|name| built.contains(&name)),
            "{key}: {command}"
        );
    }
}

#[test]
fn site_directories_contain_all_variants() {
    let mut files = Vec::new();
    for site in std::fs::read_dir(root().join("deploy/sites")).unwrap() {
        let site = site.unwrap();
        for file in std::fs::read_dir(site.path()).unwrap() {
            let file = file.unwrap().file_name();
            files.push(format!("{}/{}", site.file_name().display(), file.display()));
        }
    }
    fixture::check(PACKAGE, "site_files.txt", files, Additions::Accepted);
}
