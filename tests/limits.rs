//! The decision module stays short enough to be audited.

#[test]
fn choice_keeps_its_line_limits() {
    let text = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/src/choice.rs")).unwrap();
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 850, "{lines} non-blank lines");
    for (n, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is longer than 110 characters", n + 1);
    }
}
