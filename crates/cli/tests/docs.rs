//! `docs/architecture.md` names every package, and every source file that it names exists.

use std::path::{Path, PathBuf};

const PAGE: &str = include_str!("../../../docs/architecture.md");

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn packages() -> Vec<String> {
    let folders = std::fs::read_dir(root().join("crates")).unwrap();
    let names = folders.map(|folder| folder.unwrap().file_name().into_string().unwrap());
    names.collect()
}

#[test]
fn the_architecture_page_names_every_package() {
    for package in packages() {
        let quoted = format!("`{package}`");
        assert!(
            PAGE.contains(&quoted) || PAGE.contains(&format!("`{package}::")),
            "{package} is missing"
        );
    }
}

#[test]
fn every_file_that_the_page_names_exists() {
    let mut files = 0;
    for path in PAGE.split(|c: char| !(c.is_ascii_alphanumeric() || "/._-".contains(c))) {
        if !path.ends_with(".rs") {
            continue;
        }
        files += 1;
        assert!(
            packages().iter().any(|package| {
                let source = root().join("crates").join(package).join("src");
                source.join(path).is_file() || root().join("crates").join(path).is_file()
            }),
            "{path} is no source file"
        );
    }
    assert!(files > 10, "only {files} files are named");
}
