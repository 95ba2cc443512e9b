//! Memory of the request bodies of many clients at once.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tidespur_net::server::{self, ServerLimits};
use tidespur_rest::{Api, ApiHandler, Hooks, Limits};
use tidespur_store::Store;

struct NoHooks;

impl Hooks for NoHooks {}

/// The longest body; all bodies may take as much memory as 32 of these.
const MAX_BODY_BYTES: usize = 64 * 1024;
const MAX_MEMORY: usize = 32 * MAX_BODY_BYTES;
/// Ends a read that hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a server on loopback.
fn start() -> (Arc<Api<NoHooks>>, SocketAddr) {
    let limits = Limits {
        max_body_bytes: MAX_BODY_BYTES,
        // Longer than the test.
        body_timeout: 600.0,
        ..Limits::default()
    };
    let api = Arc::new(Api::new(
        Store::new(tidespur_store::Limits::default(), 1, 0),
        limits,
        NoHooks,
    ));
    let listener = smol::block_on(smol::net::TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    let limits = ServerLimits {
        connections: 1_000,
        head_timeout: 600.0,
    };
    smol::spawn(server::serve(
        listener,
        limits,
        Arc::new(ApiHandler(api.clone())),
    ))
    .detach();
    (api, address)
}

/// Sends the head of a request for a body of `announced` bytes, and the first `sent` of them.
fn post(address: SocketAddr, announced: usize, body: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let head = format!(
        "POST /api/v1/namespaces/default/pods HTTP/1.1\r\nhost: edge\r\ncontent-type: application/json\r\n\
         content-length: {announced}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    // The server may answer and close before all of it is sent.
    let _ = stream.write_all(body);
    stream
}

/// The status of a response.
fn status(mut stream: &TcpStream) -> String {
    let mut start = [0; 12];
    stream.read_exact(&mut start).expect("a response");
    String::from_utf8_lossy(&start[9..]).into_owned()
}

/// Polls until the condition holds; panics after [`TEST_TIMEOUT`].
fn wait_until(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TEST_TIMEOUT, "timed out");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Guards against a process that is killed for memory: hundreds of clients stop in the middle of long bodies.
#[test]
fn bodies_that_are_not_complete_leave_room_for_others() {
    let (api, address) = start();
    let part = vec![b' '; MAX_BODY_BYTES - 1];
    let mut stopped = Vec::new();
    let mut rejected = 0;
    for _ in 0..200 {
        let before = api.body_bytes();
        let client = post(address, MAX_BODY_BYTES, &part);
        // Either the whole part is read, or the request is rejected.
        let is_read = || api.body_bytes() >= before + part.len();
        client.set_nonblocking(true).unwrap();
        wait_until(|| is_read() || client.peek(&mut [0]).is_ok());
        client.set_nonblocking(false).unwrap();
        if is_read() {
            stopped.push(client);
        } else {
            assert_eq!(status(&client), "429");
            rejected += 1;
        }
        assert!(api.body_bytes() <= MAX_MEMORY);
    }
    assert!(!stopped.is_empty() && rejected > 0, "{rejected} rejected");
    let short = br#"{"metadata":{"name":"a"},"spec":{"containers":[{"name":"main"}]}}"#;
    assert_eq!(status(&post(address, short.len(), short)), "201");
    drop(stopped);
    wait_until(|| api.body_bytes() == 0);
}
