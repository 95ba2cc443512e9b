//! An edge whose disk fills up while it serves.

mod common;

use common::*;
use rustix::process::{Pid, Resource, Rlimit, prlimit};
use tidespur_testbed::process::Process;

const PATH: &str = "/apis/batch/v1/namespaces/default/jobs";

fn create(at: &str, name: &str) -> (u16, String) {
    // Long, so that few of them fill a page.
    let mut body = job_value(name, "termin-web", 1, 5.0);
    body["metadata"]["annotations"] = serde_json::json!({"note": "x".repeat(60_000)});
    ask(at, hyper::Method::POST, PATH, body.to_string())
}

fn ask(at: &str, method: hyper::Method, path: &str, body: String) -> (u16, String) {
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
        Err(problem) => (0, problem.to_string()),
    }
}

#[test]
fn a_full_disk_acknowledges_nothing_says_so_and_goes_on_once_there_is_room() {
    let running = start(1, 1, |_, _| {});
    let folder = running.folder.path().join("data");
    let register = &running.cluster.registry.addresses[0];
    // A file-size limit stands for a full disk; the system would end a process that does not ignore its signal.
    let line = format!(
        "edge --api 127.0.0.1:0 --link 127.0.0.1:0 --register {register} --name edge-9 --data {}",
        folder.display()
    );
    let mut words = vec![
        "-c".to_owned(),
        "trap '' XFSZ; exec \"$0\" \"$@\"".to_owned(),
    ];
    words.push(env!("CARGO_BIN_EXE_tidespur").to_owned());
    words.extend(line.split(' ').map(str::to_owned));
    let log = running.folder.path().join("edge-9.log");
    let mut edge =
        Process::start("edge-9", "/bin/sh".into(), words, Some(log.clone()), true).unwrap();
    let at = edge.addresses[0].clone();
    assert_eq!(create(&at, "first").0, 201);
    let pid = Pid::from_raw(edge.id().unwrap() as i32);
    let size = std::fs::metadata(folder.join("edge-9/memory.redb"))
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
    let refused = (0..200).find_map(|i| {
        let name = format!("w{i}");
        let (status, told) = create(&at, &name);
        if status != 201 {
            return Some((status, told));
        }
        acknowledged.push(name);
        None
    });
    let (status, told) = refused.expect("the disk fills up");
    assert!(
        [503, 504].contains(&status) && told.contains("disk is full"),
        "{status} {told}"
    );
    // It goes on to be read, and says of itself what is wrong.
    assert_eq!(ask(&at, hyper::Method::GET, PATH, String::new()).0, 200);
    let ready = ask(&at, hyper::Method::GET, "/readyz", String::new());
    assert!(
        ready.0 == 503 && ready.1.contains("disk is full"),
        "{ready:?}"
    );
    limit(None);
    running.until("there is room again", async || {
        (create(&at, "last").0 == 201).then_some(())
    });
    acknowledged.push("last".to_owned());
    edge.kill();
    edge.restart(&[], true).unwrap();
    let (_, list) = ask(&edge.addresses[0], hyper::Method::GET, PATH, String::new());
    for name in acknowledged {
        assert!(
            list.contains(&format!("\"name\":\"{name}\"")),
            "{name} was acknowledged and is gone"
        );
    }
    assert!(std::fs::read_to_string(log).unwrap().contains("Unclean"));
}
