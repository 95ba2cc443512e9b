//! Fixtures list the names that users and scripts rely on, one item per line. Tests compare a program with them; only a
//! run with `UPDATE_FIXTURES=1` writes them. Other packages include this file by its path.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Whether a program may have items that its fixture doesn't list.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Additions {
    /// No: the fixture is complete.
    Rejected,
    /// Yes, for example aliases.
    Accepted,
}

fn path(package: &str, name: &str) -> PathBuf {
    Path::new(package).join("tests/fixtures").join(name)
}

/// The items of a fixture.
pub fn read(package: &str, name: &str) -> Vec<String> {
    let path = path(package, name);
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    let items: Vec<String> = text.lines().map(str::to_owned).collect();
    assert!(
        !items.is_empty(),
        "{}: a fixture without items checks nothing",
        path.display()
    );
    items
}

/// Whether this run writes fixtures instead of checking them.
pub fn is_update() -> bool {
    std::env::var_os("UPDATE_FIXTURES").is_some_and(|value| value == "1")
}

fn write(package: &str, name: &str, items: &BTreeSet<String>) {
    let path = path(package, name);
    let text: String = items.iter().map(|item| format!("{item}\n")).collect();
    std::fs::create_dir_all(path.parent().unwrap()).unwrap();
    std::fs::write(path, text).unwrap();
}

/// Adds items to a fixture without removing any; creates the file if there is none.
pub fn add(package: &str, name: &str, items: impl IntoIterator<Item = String>) {
    let mut merged: BTreeSet<String> = items.into_iter().collect();
    if path(package, name).exists() {
        merged.extend(read(package, name));
    }
    write(package, name, &merged);
}

/// Compares the items of a program with a fixture of `package` (its `CARGO_MANIFEST_DIR`).
pub fn check(
    package: &str,
    name: &str,
    items: impl IntoIterator<Item = String>,
    additions: Additions,
) {
    let found: BTreeSet<String> = items.into_iter().collect();
    if is_update() {
        write(package, name, &found);
        return;
    }
    let listed: BTreeSet<String> = read(package, name).into_iter().collect();
    let missing: Vec<&String> = listed.difference(&found).collect();
    assert!(
        missing.is_empty(),
        "{name}: items of the fixture that are missing now: {missing:#?}"
    );
    let added: Vec<&String> = found.difference(&listed).collect();
    let is_complete = added.is_empty() || additions == Additions::Accepted;
    assert!(
        is_complete,
        "{name}: items that the fixture doesn't list: {added:#?}"
    );
}
