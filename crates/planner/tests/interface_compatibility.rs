//! Compatibility of the command line of `tidespur-planner`: subcommands, flags and the environment variable that
//! scripts use.

#[path = "../../cli/tests/common/fixture.rs"]
mod fixture;
#[path = "../../cli/tests/common/flags.rs"]
mod flags;

use std::process::Command;

const PLANNER: &str = env!("CARGO_BIN_EXE_tidespur-planner");

#[test]
fn subcommands_and_flags_are_accepted_as_listed() {
    let package = env!("CARGO_MANIFEST_DIR");
    flags::Program {
        name: "tidespur-planner",
        path: PLANNER,
        hidden: &[],
        package,
    }
    .check();
}

#[test]
fn relay_config_sets_the_path_of_the_platform_configuration() {
    let run = |variable: Option<&str>| {
        let mut command = Command::new(PLANNER);
        command.arg("platform").env_remove("RELAY_CONFIG");
        if let Some(path) = variable {
            command.env("RELAY_CONFIG", path);
        }
        let output = command.output().unwrap();
        assert!(!output.status.success());
        String::from_utf8(output.stderr).unwrap()
    };
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/no-such-folder/config.json");
    let unreadable = run(Some(folder));
    assert!(unreadable.contains(folder), "{unreadable}");
    let unset = run(None);
    assert!(unset.contains("RELAY_CONFIG"), "{unset}");
}
