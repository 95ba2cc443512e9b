//! The gateway runs in one process and communicates only over the connections of the operators' platform.

mod common;

use common::{GatewayProcess, accept_discovery, listen, place_task, pool_event, sockets};

/// Files that a process has open for writing, except for its standard streams.
fn files_open_for_writing(pid: u32) -> Vec<String> {
    let entries = std::fs::read_dir(format!("/proc/{pid}/fd"))
        .unwrap()
        .flatten();
    let open = entries.filter_map(|entry| {
        let number: u32 = entry.file_name().to_str()?.parse().ok()?;
        let target = std::fs::read_link(entry.path()).ok()?;
        let info = std::fs::read_to_string(format!("/proc/{pid}/fdinfo/{number}")).ok()?;
        let flags = info
            .lines()
            .find_map(|line| line.strip_prefix("flags:"))?
            .trim()
            .to_owned();
        // The access mode is in the last octal digit: 0 for reading, 1 for writing, 2 for both.
        let writes = !flags.ends_with('0') && !flags.ends_with('4');
        (number > 2 && writes && target.starts_with("/")).then(|| target.display().to_string())
    });
    open.filter(|target| !target.starts_with("/dev/")).collect()
}

#[test]
fn the_gateway_has_one_process_one_listener_and_only_the_platforms_connections() {
    let ((discovery_listener, discovery_address), (machine, machine_address)) =
        (listen(), listen());
    let gateway = GatewayProcess::start(
        "alone",
        discovery_address,
        &pool_event(1, true, "s-1", machine_address),
    );
    let mut owner = gateway.connect();
    let _discovery = accept_discovery(&discovery_listener);
    let _offer = place_task(&mut owner, &machine);
    let pid = gateway.child.id();
    let children =
        std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/children")).unwrap_or_default();
    assert_eq!(children.trim(), "", "the gateway starts no child process");
    let sockets = sockets(pid);
    // 0A is `LISTEN`. A named Unix socket could be connected to; an unnamed pair wakes the event loop at a signal.
    let listeners = sockets
        .iter()
        .filter(|(kind, state, _)| kind.starts_with("tcp") && state == "0A");
    assert_eq!(listeners.count(), 1, "{sockets:?}");
    let others = sockets.iter().filter(|(kind, _, name)| match *kind {
        "tcp" => false,
        "unix" => !name.is_empty(),
        _ => true,
    });
    assert_eq!(others.count(), 0, "{sockets:?}");
    assert_eq!(
        files_open_for_writing(pid),
        Vec::<String>::new(),
        "the gateway writes no files"
    );
    // The listener, and the connections to discovery, the machine and the owner.
    let tcp = sockets.iter().filter(|(kind, ..)| *kind == "tcp").count();
    assert_eq!(tcp, 4, "{sockets:?}");
}
