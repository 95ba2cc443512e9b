//! `tidespur up` restarts a killed edge on the same address.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// The process id that a line of output gives for `name`.
fn process_id_in(line: &str, name: &str) -> Option<i32> {
    line.strip_prefix(&format!("{name} runs as process "))?
        .trim()
        .parse()
        .ok()
}

#[test]
fn a_killed_edge_is_reported_and_restarted_on_the_same_address() {
    let directory = tempfile::tempdir().unwrap();
    let ready = directory.path().join("ready");
    let mut up = Command::new(env!("CARGO_BIN_EXE_tidespur"))
        .args([
            "up",
            "--nodes",
            "1",
            "--planners",
            "1",
            "--api",
            "127.0.0.1:0",
            "--ready-file",
        ])
        .arg(&ready)
        .stdout(Stdio::piped())
        .stderr(std::fs::File::create(directory.path().join("errors")).unwrap())
        .stdin(Stdio::null())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(up.stdout.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let edge = lines
        .find_map(|line| process_id_in(&line, "edge-0"))
        .unwrap();
    let edge = rustix::process::Pid::from_raw(edge).unwrap();
    rustix::process::kill_process(edge, rustix::process::Signal::KILL).unwrap();
    let restarted = lines.find_map(|line| process_id_in(&line, "edge-0"));
    assert!(
        restarted.is_some_and(|id| id != edge.as_raw_nonzero().get()),
        "{restarted:?}"
    );
    // The API answers on the same address, with its planner connected.
    let client = tidespur_net::Client::new(&std::fs::read_to_string(&ready).unwrap(), 1, vec![]);
    let start = Instant::now();
    while !smol::block_on(client.send(hyper::Method::GET, "/readyz", "", Default::default(), 2.0))
        .is_ok_and(|reply| reply.body == b"ok, planners: 1"[..])
    {
        assert!(
            start.elapsed() < Duration::from_secs(60),
            "the restarted edge did not become ready"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    let errors = std::fs::read_to_string(directory.path().join("errors")).unwrap();
    assert!(errors.contains("edge-0 has ended"), "{errors}");
    let up_id = rustix::process::Pid::from_raw(up.id() as i32).unwrap();
    rustix::process::kill_process(up_id, rustix::process::Signal::TERM).unwrap();
    assert!(up.wait().unwrap().success());
}
