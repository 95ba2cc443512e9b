//! The script of CI that passes over tests known to fail, with a `cargo` that only tells how it was called.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const CARGO: &str = r#"#!/bin/sh
case "$*" in
  *--list*) printf 'one: test\nother::two: test\n\n2 tests, 0 benchmarks\n' ;;
  *) echo "called: $*" ;;
esac
"#;

/// Runs it with this list: whether it passes, and all that it prints.
fn ci(name: &str, list: Option<&str>) -> (bool, String) {
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
    let ran = Command::new("bash")
        .arg(script)
        .arg(&red)
        .env("PATH", path)
        .output()
        .unwrap();
    let said = [ran.stdout, ran.stderr].concat();
    (ran.status.success(), String::from_utf8(said).unwrap())
}

#[test]
fn without_a_list_or_with_an_empty_one_it_is_the_plain_command() {
    for (name, list) in [
        ("none", None),
        ("empty", Some("")),
        ("comment", Some("# nothing is red\n\n")),
    ] {
        assert_eq!(ci(name, list), (true, "called: test --locked\n".into()));
    }
}

#[test]
fn just_the_listed_tests_are_passed_over_and_printed() {
    let (passes, said) = ci("listed", Some("other::two, a fault, not mended, #39\n"));
    assert!(passes, "{said}");
    assert!(
        said.contains("called: test --locked -- --exact --skip other::two\n"),
        "{said}"
    );
    assert!(
        said.contains("known to fail: other::two, a fault, not mended, #39"),
        "{said}"
    );
}

#[test]
fn a_list_that_is_too_long_names_no_test_or_tells_no_cause_is_refused() {
    let four = "one, a, 1\none, a, 1\none, a, 1\none, a, 1\n";
    for (name, list, why) in [
        ("four", four, "three at most"),
        ("unknown", "two, a fault, 39\n", "there is no test two"),
        ("bare", "one\n", "not of the form"),
        ("no-issue", "one, a fault\n", "not of the form"),
    ] {
        let (passes, said) = ci(name, Some(list));
        assert!(
            !passes && said.contains(why) && !said.contains("called"),
            "{name}: {said}"
        );
    }
}
