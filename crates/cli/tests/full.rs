//! An edge whose disk fills up while it serves requests.

mod common;

use common::*;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use tidespur_testbed::process::Process;

const PATH: &str = "/apis/batch/v1/namespaces/default/jobs";

fn create(at: &str, name: &str) -> (u16, String) {
    // Large, so that few of them reach the file-size limit.
    let mut body = job_json(name, "termin-web", 1, 5.0);
    body["metadata"]["annotations"] = serde_json::json!({"note": "x".repeat(60_000)});
    request(at, hyper::Method::POST, PATH, body.to_string())
}

fn request(at: &str, method: hyper::Method, path: &str, body: String) -> (u16, String) {
    let client = tidespur_net::Client::new(at, 1, vec![]);
    let sent = client.send(
        method,
        path,
        "application/json",
        body.into_bytes().into(),
        30.0,
    );
    match smol::block_on(sent) {
        Ok(reply) => (
            reply.status.as_u16(),
            String::from_utf8_lossy(&reply.body).into_owned(),
        ),
        Err(error) => (0, error.to_string()),
    }
}

#[test]
fn writes_fail_while_the_disk_is_full_and_succeed_once_there_is_space() {
    let running = start_cluster(1, 1, |_, _| {});
    let directory = running.directory.path().join("data");
    let register = &running.cluster.registry.addresses[0];
    // A file-size limit simulates a full disk. The shell ignores SIGXFSZ, which would otherwise kill the edge.
    let line = format!(
        "edge --api 127.0.0.1:0 --link 127.0.0.1:0 --register {register} --name edge-9 --data {}",
        directory.display()
    );
    let mut arguments = vec![
        "-c".to_owned(),
        "trap '' XFSZ; exec \"$0\" \"$@\"".to_owned(),
    ];
    arguments.push(env!("CARGO_BIN_EXE_tidespur").to_owned());
    arguments.extend(line.split(' ').map(str::to_owned));
    let log = running.directory.path().join("edge-9.log");
    let mut edge = Process::start(
        "edge-9",
        "/bin/sh".into(),
        arguments,
        Some(log.clone()),
        true,
    )
    .unwrap();
    let at = edge.addresses[0].clone();
    assert_eq!(create(&at, "first").0, 201);
    let pid = Pid::from_raw(edge.id().unwrap() as i32);
    let size = std::fs::metadata(directory.join("edge-9/memory.redb"))
        .unwrap()
        .len();
    let limit = |current| {
        prlimit(
            pid,
            Resource::Fsize,
            Rlimit {
                current,
                maximum: None,
            },
        )
        .unwrap()
    };
    limit(Some(size));
    let mut acknowledged = vec!["first".to_owned()];
    let rejected = (0..200).find_map(|i| {
        let name = format!("w{i}");
        let (status, body) = create(&at, &name);
        if status != 201 {
            return Some((status, body));
        }
        acknowledged.push(name);
        None
    });
    let (status, body) = rejected.expect("the disk fills up");
    assert!(
        [503, 504].contains(&status) && body.contains("disk is full"),
        "{status} {body}"
    );
    // Reads still work, and the readiness check names the cause.
    assert_eq!(request(&at, hyper::Method::GET, PATH, String::new()).0, 200);
    let ready = request(&at, hyper::Method::GET, "/readyz", String::new());
    assert!(
        ready.0 == 503 && ready.1.contains("disk is full"),
        "{ready:?}"
    );
    limit(None);
    running.wait_for("a write succeeds once there is space", async || {
        (create(&at, "last").0 == 201).then_some(())
    });
    acknowledged.push("last".to_owned());
    edge.kill();
    edge.restart(&[], true).unwrap();
    let (_, list) = request(&edge.addresses[0], hyper::Method::GET, PATH, String::new());
    for name in acknowledged {
        assert!(
            list.contains(&format!("\"name\":\"{name}\"")),
            "{name} was acknowledged and then lost"
        );
    }
    assert!(std::fs::read_to_string(log).unwrap().contains("Unclean"));
}
