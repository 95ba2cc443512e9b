//! The command-line flags of `tidespur-edge` stay compatible with scripts that use them.

#[path = "../../cli/tests/common/fixture.rs"]
mod fixture;
#[path = "../../cli/tests/common/flags.rs"]
mod flags;

#[test]
fn flags_are_accepted_as_listed() {
    flags::Program {
        name: "tidespur-edge",
        path: env!("CARGO_BIN_EXE_tidespur-edge"),
        hidden: &[],
        package: env!("CARGO_MANIFEST_DIR"),
    }
    .check();
}
