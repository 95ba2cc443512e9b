//! What an audit of the decision files rests on: `deploy/balancer.toml` names all of them, each is short, and none
//! can reach anything outside the events that it is given.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Lines that one decision file may have.
const MAX_LINES: usize = 250;

/// Modules of the package that decide nothing: the types of the interface.
const NOT_DECISIONS: [&str; 3] = ["lib.rs", "interface.rs", "interface"];

/// Names of clocks, sockets, files, threads, environment variables, unordered maps and foreign random sources. A
/// decision that uses one would differ between two runs of the same events.
const FORBIDDEN: [&str; 15] = [
    "HashMap",
    "HashSet",
    "SystemTime",
    "Instant",
    "std::time",
    "std::net",
    "std::fs",
    "std::io",
    "std::env",
    "std::thread",
    "std::process",
    "TcpStream",
    "UdpSocket",
    "thread_rng",
    "from_os_rng",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The files that `deploy/balancer.toml` names under `policy`.
fn named_files() -> BTreeSet<String> {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap();
    let line = text
        .lines()
        .find(|line| line.starts_with("policy"))
        .expect("a key 'policy'");
    let names = line.split('"').skip(1).step_by(2);
    names.map(str::to_owned).collect()
}

/// The decision files of the package, as paths from the root of the project.
fn decision_files() -> BTreeSet<String> {
    let mut files = BTreeSet::new();
    collect(
        &root().join("crates/policy/src"),
        "crates/policy/src",
        &mut files,
    );
    files
}

fn collect(folder: &Path, name: &str, files: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let entry = entry.unwrap();
        let file = entry.file_name().into_string().unwrap();
        if NOT_DECISIONS.contains(&file.as_str()) {
            continue;
        }
        let path = format!("{name}/{file}");
        if entry.path().is_dir() {
            collect(&entry.path(), &path, files);
        } else {
            files.insert(path);
        }
    }
}

#[test]
fn every_decision_file_is_named_in_the_deploy_file() {
    let files = decision_files();
    assert!(!files.is_empty());
    assert_eq!(named_files(), files);
}

#[test]
fn every_decision_file_stays_short() {
    for file in decision_files() {
        let text = std::fs::read_to_string(root().join(&file)).unwrap();
        let lines = text.lines().count();
        assert!(
            lines <= MAX_LINES,
            "{file} has {lines} lines, {MAX_LINES} are allowed"
        );
    }
}

#[test]
fn no_decision_file_names_a_clock_a_socket_or_an_unordered_map() {
    for file in decision_files() {
        let text = std::fs::read_to_string(root().join(&file)).unwrap();
        for (number, line) in text.lines().enumerate() {
            for name in FORBIDDEN {
                assert!(!line.contains(name), "{file}:{}: {name}", number + 1);
            }
        }
    }
}
