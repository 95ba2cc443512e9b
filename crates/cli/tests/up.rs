//! `tidespur up` as operators start it.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

fn process_of(line: &str, name: &str) -> Option<i32> {
    line.strip_prefix(&format!("{name} runs as process "))?
        .trim()
        .parse()
        .ok()
}

#[test]
fn an_edge_that_is_killed_is_told_of_and_started_again_where_it_was() {
    let folder = tempfile::tempdir().unwrap();
    let ready = folder.path().join("ready");
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
        .stderr(std::fs::File::create(folder.path().join("errors")).unwrap())
        .stdin(Stdio::null())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(up.stdout.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let edge = lines.find_map(|line| process_of(&line, "edge-0")).unwrap();
    let edge = rustix::process::Pid::from_raw(edge).unwrap();
    rustix::process::kill_process(edge, rustix::process::Signal::KILL).unwrap();
    let again = lines.find_map(|line| process_of(&line, "edge-0"));
    assert!(
        again.is_some_and(|id| id != edge.as_raw_nonzero().get()),
        "{again:?}"
    );
    // The API answers where it was, with its planner and its node.
    let client = tidespur_net::Client::new(&std::fs::read_to_string(&ready).unwrap(), 1, vec![]);
    let start = Instant::now();
    while !smol::block_on(client.send(hyper::Method::GET, "/readyz", "", Default::default(), 2.0))
        .is_ok_and(|reply| reply.body == b"ok, planners: 1"[..])
    {
        assert!(
            start.elapsed() < Duration::from_secs(60),
            "the edge does not come back"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    let errors = std::fs::read_to_string(folder.path().join("errors")).unwrap();
    assert!(errors.contains("edge-0 has ended"), "{errors}");
    let up_id = rustix::process::Pid::from_raw(up.id() as i32).unwrap();
    rustix::process::kill_process(up_id, rustix::process::Signal::TERM).unwrap();
    assert!(up.wait().unwrap().success());
}
