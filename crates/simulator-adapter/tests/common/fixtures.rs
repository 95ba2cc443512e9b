//! Comparison with fixture files, which hold one sample per line as an earlier build encoded it: `name: encoded value`.

use std::path::Path;

/// Environment variable that is set to `1` to overwrite the fixture files before the comparison.
const UPDATE_VARIABLE: &str = "UPDATE_FIXTURES";

/// Asserts that the fixture file holds exactly these names and encoded values; returns its text.
pub fn assert_encoded(file: &str, encoded: &[(&str, String)]) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(file);
    let actual: String = encoded
        .iter()
        .map(|(name, text)| format!("{name}: {text}\n"))
        .collect();
    if std::env::var_os(UPDATE_VARIABLE).is_some_and(|value| value == "1") {
        std::fs::write(&path, &actual).expect("fixture file is writable");
    }
    let fixture = std::fs::read_to_string(&path).expect("fixture file is readable");
    for (actual, expected) in actual.lines().zip(fixture.lines()) {
        assert_eq!(actual, expected, "{file}");
    }
    assert_eq!(
        actual.lines().count(),
        fixture.lines().count(),
        "{file}: number of samples"
    );
    fixture
}
