//! The program keeps to one process and the platform's own ways to talk.

mod common;

use common::{GatewayProcess, board, event, listen, placed, sockets};

/// Files that a process holds open for writing, beside the three that it was started with.
fn written(pid: u32) -> Vec<String> {
    let entries = std::fs::read_dir(format!("/proc/{pid}/fd"))
        .unwrap()
        .flatten();
    let open = entries.filter_map(|entry| {
        let number: u32 = entry.file_name().to_str()?.parse().ok()?;
        let to = std::fs::read_link(entry.path()).ok()?;
        let info = std::fs::read_to_string(format!("/proc/{pid}/fdinfo/{number}")).ok()?;
        let flags = info
            .lines()
            .find_map(|line| line.strip_prefix("flags:"))?
            .trim()
            .to_owned();
        // The last octal digit: 0 reads, 1 writes, 2 does both.
        let writes = !flags.ends_with('0') && !flags.ends_with('4');
        (number > 2 && writes && to.starts_with("/")).then(|| to.display().to_string())
    });
    open.filter(|to| !to.starts_with("/dev/")).collect()
}

#[test]
fn it_is_one_process_with_one_listener_and_no_way_to_talk_but_the_platforms() {
    let ((board_in, board_at), (machine, machine_at)) = (listen(), listen());
    let gateway = GatewayProcess::start("alone", board_at, &event(1, true, "s-1", machine_at));
    let mut owner = gateway.connect();
    let _board = board(&board_in);
    let _offer = placed(&mut owner, &machine);
    let pid = gateway.child.id();
    let children =
        std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/children")).unwrap_or_default();
    assert_eq!(children.trim(), "", "it starts no other program");
    let sockets = sockets(pid);
    // 0A is a listener. Named Unix sockets would be a way in; a pair without a name wakes the loop at a signal.
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
        written(pid),
        Vec::<String>::new(),
        "it keeps nothing on a disk"
    );
    // Its listener, the board, the machine, the owner; nobody else is connected or dialled.
    let tcp = sockets.iter().filter(|(kind, ..)| *kind == "tcp").count();
    assert_eq!(tcp, 4, "{sockets:?}");
}
