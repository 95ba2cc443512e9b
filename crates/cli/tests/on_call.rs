//! Texts and names that `docs/on-call.md` quotes exist in the source, so that an engineer finds them in logs, API
//! answers and metrics.

use std::path::{Path, PathBuf};

const PAGE: &str = include_str!("../../../docs/on-call.md");

/// Replaces, in a quoted text, a value that varies.
const PLACEHOLDER: &str = "...";

const METRIC_PREFIX: &str = "tidespur_";

/// Words in back quotes that are not names of the source: tools, files and methods.
const EXTERNAL_WORDS: [&str; 4] = ["curl", "POST", "proc", "RUST_LOG"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn collect(folder: &Path, text: &mut String) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect(&path, text);
        } else if path.extension().is_some_and(|it| it == "rs" || it == "hcl") {
            text.push_str(&std::fs::read_to_string(&path).unwrap());
        }
    }
}

/// The sources of all packages and the documented settings, with multi-line string literals joined.
fn sources() -> String {
    let mut text = String::new();
    for package in std::fs::read_dir(root().join("crates")).unwrap() {
        let package = package.unwrap().path();
        collect(&package.join("src"), &mut text);
        let settings = package.join("default.hcl");
        if settings.exists() {
            text.push_str(&std::fs::read_to_string(settings).unwrap());
        }
    }
    let joined: Vec<&str> = text.split("\\\n").map(str::trim_start).collect();
    joined.concat().replace("\\\"", "\"")
}

/// Texts between two `mark` characters on one line of the page.
fn quoted(mark: char) -> Vec<String> {
    let mut found = Vec::new();
    for line in PAGE.lines() {
        let parts: Vec<&str> = line.split(mark).collect();
        assert!(parts.len() % 2 == 1, "an unpaired {mark} in: {line}");
        found.extend(parts.into_iter().skip(1).step_by(2).map(str::to_owned));
    }
    found
}

fn has_word(text: &str, word: &str) -> bool {
    let is_part = |c: char| c.is_ascii_alphanumeric() || c == '_';
    text.match_indices(word).any(|(at, _)| {
        let before = text[..at].chars().next_back();
        let after = text[at + word.len()..].chars().next();
        !before.is_some_and(is_part) && !after.is_some_and(is_part)
    })
}

#[test]
fn every_quoted_message_is_in_the_source() {
    let sources = sources();
    let quotes = quoted('"');
    assert!(quotes.len() > 20, "only {} quotes", quotes.len());
    let mut missing = Vec::new();
    for quote in &quotes {
        let parts = quote.split(PLACEHOLDER).map(str::trim);
        missing.extend(parts.filter(|part| !sources.contains(part)));
    }
    assert!(missing.is_empty(), "in no source: {missing:?}");
}

#[test]
fn every_name_in_back_quotes_is_in_the_source() {
    let sources = sources();
    let names = quoted('`');
    assert!(names.len() > 40, "only {} names", names.len());
    let mut missing = Vec::new();
    for name in &names {
        let words = name.split(|c: char| !(c.is_ascii_alphanumeric() || c == '_'));
        // Words in capitals are placeholders for values that the reader fills in.
        let words = words.filter(|word| word.len() > 3 && word.chars().any(char::is_lowercase));
        // The source registers metrics without the common prefix of their names.
        let words = words.map(|word| word.strip_prefix(METRIC_PREFIX).unwrap_or(word));
        let words = words.filter(|word| !EXTERNAL_WORDS.contains(word));
        missing.extend(words.filter(|word| !has_word(&sources, word)));
    }
    assert!(missing.is_empty(), "in no source: {missing:?}");
}
