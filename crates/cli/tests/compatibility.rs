//! Subcommands, flags and environment variables of `tidespur` stay compatible with the scripts that use them.

#[path = "common/fixture.rs"]
mod fixture;
#[path = "common/flags.rs"]
mod flags;

use flags::Program;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::process::{Command, Stdio};

const TIDESPUR: &str = env!("CARGO_BIN_EXE_tidespur");

#[test]
fn subcommands_and_flags_are_accepted_as_listed() {
    let hidden = &["edge", "planner", "standin-node", "standin-register"];
    Program {
        name: "tidespur",
        path: TIDESPUR,
        hidden,
        package: env!("CARGO_MANIFEST_DIR"),
    }
    .check();
}

/// The request line that `tidespur` sends; the request is answered with 404.
fn request_of(arguments: &[&str], set_api: impl FnOnce(&mut Command, String)) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut command = Command::new(TIDESPUR);
    command
        .args(arguments)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .stdin(Stdio::null());
    set_api(&mut command, listener.local_addr().unwrap().to_string());
    let mut child = command.spawn().unwrap();
    let (mut socket, _) = listener.accept().unwrap();
    let mut line = String::new();
    BufReader::new(&socket).read_line(&mut line).unwrap();
    write!(
        socket,
        "HTTP/1.1 404 Not Found\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{{}}"
    )
    .unwrap();
    drop(socket);
    drop(listener);
    child.wait().unwrap();
    line.trim_end().to_owned()
}

#[test]
fn the_environment_sets_the_api_address() {
    let request_line = request_of(&["fleet"], |command, at| {
        command.env("TIDESPUR_API", at);
    });
    assert_eq!(request_line, "GET /debug/fleet HTTP/1.1");
}

#[test]
fn the_flag_overrides_the_environment() {
    let request_line = request_of(&["-n", "other", "get", "po", "-l", "a=b"], |command, at| {
        command
            .env("TIDESPUR_API", "127.0.0.1:1")
            .args(["--server", &at]);
    });
    assert_eq!(
        request_line,
        "GET /api/v1/namespaces/other/pods?labelSelector=a%3Db HTTP/1.1"
    );
}

/// The log of an edge that has no planners or registry, from its start past its first answer to its end.
fn log_of_edge(environment: &[(&str, &str)], arguments: &[&str]) -> String {
    let line = "edge --api 127.0.0.1:0 --link 127.0.0.1:0 --register 127.0.0.1:1";
    let mut edge = Command::new(TIDESPUR)
        .args(line.split(' ').chain(arguments.iter().copied()))
        .env_remove("RUST_LOG")
        .envs(environment.iter().copied())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut ready = String::new();
    BufReader::new(edge.stdout.take().unwrap())
        .read_line(&mut ready)
        .unwrap();
    assert!(ready.starts_with("ready 127.0.0.1:"), "{ready}");
    let client = tidespur_net::Client::new(ready.split(' ').nth(1).unwrap(), 1, vec![]);
    smol::block_on(client.send(hyper::Method::GET, "/healthz", "", Default::default(), 10.0))
        .unwrap();
    // The edge exits when its standard input is closed.
    drop(edge.stdin.take());
    let mut log = String::new();
    edge.stderr
        .take()
        .unwrap()
        .read_to_string(&mut log)
        .unwrap();
    edge.wait().unwrap();
    log
}

#[test]
fn rust_log_chooses_the_lines_and_log_json_their_form() {
    let plain = log_of_edge(&[], &[]);
    assert!(plain.contains("INFO") && !plain.starts_with('{'), "{plain}");
    assert_eq!(log_of_edge(&[("RUST_LOG", "off")], &[]), "");
    let json = log_of_edge(&[], &["--log-json"]);
    for line in json.lines() {
        let line: serde_json::Value = serde_json::from_str(line).unwrap();
        for key in ["timestamp", "level", "target", "fields"] {
            assert!(!line[key].is_null(), "{key} in {line}");
        }
    }
    assert!(!json.is_empty());
}
