//! Properties that audits of the decision files rely on: `deploy/balancer.toml` lists all of them, each is short, and
//! none accesses anything but its events.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The maximum number of lines of a decision file.
const MAX_LINES: usize = 250;

/// Modules of the package without decisions: the types of the interface.
const INTERFACE_MODULES: [&str; 3] = ["lib.rs", "interface.rs", "interface"];

/// Names of clocks, sockets, files, threads, environment variables, unordered maps and other random sources. A decision
/// that uses one could differ between two runs with the same events.
const FORBIDDEN_NAMES: [&str; 15] = [
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

/// The files that `deploy/balancer.toml` lists under `policy`.
fn listed_files() -> BTreeSet<String> {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap();
    let line = text
        .lines()
        .find(|line| line.starts_with("policy"))
        .expect("key `policy` is missing");
    let names = line.split('"').skip(1).step_by(2);
    names.map(str::to_owned).collect()
}

/// The decision files of the package, as paths relative to the root of the repository.
fn decision_files() -> BTreeSet<String> {
    let mut files = BTreeSet::new();
    collect(
        &root().join("crates/policy/src"),
        "crates/policy/src",
        &mut files,
    );
    files
}

fn collect(directory: &Path, name: &str, files: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(directory).unwrap() {
        let entry = entry.unwrap();
        let file = entry.file_name().into_string().unwrap();
        if INTERFACE_MODULES.contains(&file.as_str()) {
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
fn the_deploy_file_lists_every_decision_file() {
    let files = decision_files();
    assert!(!files.is_empty());
    assert_eq!(listed_files(), files);
}

#[test]
fn decision_files_are_short() {
    for file in decision_files() {
        let text = std::fs::read_to_string(root().join(&file)).unwrap();
        let lines = text.lines().count();
        assert!(
            lines <= MAX_LINES,
            "{file} has {lines} lines, but at most {MAX_LINES} are allowed"
        );
    }
}

#[test]
fn decision_files_use_no_forbidden_names() {
    for file in decision_files() {
        let text = std::fs::read_to_string(root().join(&file)).unwrap();
        for (number, line) in text.lines().enumerate() {
            for name in FORBIDDEN_NAMES {
                assert!(!line.contains(name), "{file}:{}: {name}", number + 1);
            }
        }
    }
}
