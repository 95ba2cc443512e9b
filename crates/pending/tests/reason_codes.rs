//! Guards the published reason codes, which are metric labels and JSON values, against renames.

#[path = "../../cli/tests/common/fixture.rs"]
mod fixture;

use fixture::Additions;
use tidespur_pending::ReasonCode;

#[test]
fn codes_sources_and_descriptions_are_unchanged() {
    // The edge writes the source into `/metrics` in this form.
    let source = |code: &ReasonCode| format!("{:?}", code.source()).to_lowercase();
    let line =
        |code: &ReasonCode| format!("{} {}: {}", code.name(), source(code), code.description());
    let lines = ReasonCode::ALL.iter().map(line);
    fixture::check(
        env!("CARGO_MANIFEST_DIR"),
        "reason_codes.txt",
        lines,
        Additions::Rejected,
    );
}
