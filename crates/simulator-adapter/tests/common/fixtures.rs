//! Fixture files hold one sample a line, `name: encoded value`, as an earlier build encoded it.

use std::path::Path;

/// Set to `1`, this environment variable has fixture files written anew before they are compared.
const UPDATE_VARIABLE: &str = "UPDATE_FIXTURES";

/// Asserts that the fixture file holds these names and encoded values, and gives out its text.
pub fn assert_encoded(file: &str, encoded: &[(&str, String)]) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(file);
    let actual: String = encoded
        .iter()
        .map(|(name, text)| format!("{name}: {text}\n"))
        .collect();
    if std::env::var_os(UPDATE_VARIABLE).is_some_and(|value| value == "1") {
        std::fs::write(&path, &actual).expect("the fixture file can be written");
    }
    let fixture = std::fs::read_to_string(&path).expect("the fixture file can be read");
    for (actual, expected) in actual.lines().zip(fixture.lines()) {
        assert_eq!(actual, expected, "{file}");
    }
    assert_eq!(
        actual.lines().count(),
        fixture.lines().count(),
        "{file}: samples"
    );
    fixture
}
