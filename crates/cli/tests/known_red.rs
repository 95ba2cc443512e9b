//! The CI script that skips tests known to fail, run with a `cargo` that only prints its arguments.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const CARGO: &str = r#"#!/bin/sh
case "$*" in
  *--list*) printf 'one: test\nother::two: test\n\n2 tests, 0 benchmarks\n' ;;
  *) echo "called: $*" ;;
esac
"#;

/// Runs the script with a list of tests; returns whether it passes, and its output.
fn run_script(name: &str, list: Option<&str>) -> (bool, String) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join("known-red")
        .join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let (cargo, red): (PathBuf, PathBuf) = (folder.join("cargo"), folder.join("KNOWN-RED.txt"));
    std::fs::write(&cargo, CARGO).unwrap();
    std::fs::set_permissions(&cargo, std::fs::Permissions::from_mode(0o755)).unwrap();
    let _ = std::fs::remove_file(&red);
    if let Some(list) = list {
        std::fs::write(&red, list).unwrap();
    }
    let path = format!("{}:{}", folder.display(), std::env::var("PATH").unwrap());
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/test");
    let output = Command::new("bash")
        .arg(script)
        .arg(&red)
        .env("PATH", path)
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(text).unwrap())
}

#[test]
fn without_listed_tests_all_tests_run() {
    for (name, list) in [
        ("none", None),
        ("empty", Some("")),
        ("comment", Some("# nothing is red\n\n")),
    ] {
        assert_eq!(
            run_script(name, list),
            (true, "called: test --locked\n".into())
        );
    }
}

#[test]
fn only_the_listed_tests_are_skipped_and_printed() {
    let (passes, output) = run_script("listed", Some("other::two, a fault, not mended, #39\n"));
    assert!(passes, "{output}");
    assert!(
        output.contains("called: test --locked -- --exact --skip other::two\n"),
        "{output}"
    );
    assert!(
        output.contains("known to fail: other::two, a fault, not mended, #39"),
        "{output}"
    );
}

#[test]
fn a_list_that_is_too_long_or_names_an_unknown_test_or_no_cause_is_rejected() {
    let four = "one, a, 1\none, a, 1\none, a, 1\none, a, 1\n";
    for (name, list, reason) in [
        ("four", four, "three at most"),
        ("unknown", "two, a fault, 39\n", "there is no test two"),
        ("bare", "one\n", "not of the form"),
        ("no-issue", "one, a fault\n", "not of the form"),
    ] {
        let (passes, output) = run_script(name, Some(list));
        assert!(
            !passes && output.contains(reason) && !output.contains("called"),
            "{name}: {output}"
        );
    }
}
