//! Fixture files with one sample per line, `name: encoded value`, as encoded by an earlier build.

use std::fmt::Debug;
use std::path::Path;

/// Environment variable that, set to `1`, makes the tests rewrite the fixture files before comparing.
const UPDATE_VARIABLE: &str = "UPDATE_FIXTURES";

/// A value with its name in the fixture file.
pub type Sample<T> = (&'static str, T);

/// Lists one or more samples of each variant. Does not compile if a variant has no line.
#[macro_export]
macro_rules! samples_of_each_variant {
    ($type:ty: $($name:literal, $pattern:pat => $value:expr;)+) => {{
        fn assert_exhaustive(value: &$type) {
            match value { $($pattern => {})+ }
        }
        let samples: Vec<$crate::fixtures::Sample<$type>> = vec![$(($name, $value)),+];
        $(assert!(samples.iter().any(|(name, value)| *name == $name && matches!(value, $pattern)));)+
        samples.iter().for_each(|(_, value)| assert_exhaustive(value));
        samples
    }};
}

/// Asserts that the samples are encoded as in the fixture file, that the file has no others, and that its lines decode
/// to the samples.
pub fn assert_compatible<T: PartialEq + Debug>(
    file: &str,
    samples: &[Sample<T>],
    encode: impl Fn(&T) -> String,
    decode: impl Fn(&str) -> T,
) {
    let encoded: Vec<(&str, String)> = samples
        .iter()
        .map(|(name, value)| (*name, encode(value)))
        .collect();
    let fixture = assert_encoded(file, &encoded);
    for ((name, value), line) in samples.iter().zip(fixture.lines()) {
        let (_, text) = line
            .split_once(": ")
            .expect("a line is `name: encoded value`");
        assert_eq!(decode(text), *value, "{file}: {name}");
    }
}

/// Asserts that the fixture file consists of these names and encoded values, and returns its text.
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
