//! Fixture files that hold one sample per line, `name: encoded value`, as an earlier build encoded it.

use std::fmt::Debug;
use std::path::Path;

/// If this environment variable is `1`, fixture files are rewritten before they are compared.
const UPDATE_VARIABLE: &str = "UPDATE_FIXTURES";

/// A value and its name in the fixture file.
pub type Sample<T> = (&'static str, T);

/// Lists at least one sample of each variant. A variant without a sample is a compile error.
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

/// Asserts that the encoded samples are exactly the lines of the fixture file, and that the lines are decoded to the
/// samples.
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

/// Asserts that the fixture file holds exactly these names and encoded values, and returns its text.
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
        "{file}: number of samples"
    );
    fixture
}

/// Encodes bytes as lowercase hex digits.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hex digits.
pub fn from_hex(text: &str) -> Vec<u8> {
    let byte = |start| u8::from_str_radix(&text[start..start + 2], 16).expect("two hex digits");
    (0..text.len()).step_by(2).map(byte).collect()
}
