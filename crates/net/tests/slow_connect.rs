//! A peer whose connections come up late, as when its backlog is full for a moment.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use tidespur_net::{Client, NetError};

/// Time limit for opening a stream, in seconds.
const TIMEOUT: f64 = 4.0;
/// Longer than the kernel waits before it sends the first packet of a connection again.
const BACKLOG_FULL: Duration = Duration::from_millis(1200);

/// A listener whose backlog is full until the returned connection is accepted.
fn listener_with_full_backlog() -> (TcpListener, TcpStream, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    (listener, TcpStream::connect(address).unwrap(), address)
}

/// Reads the request and answers it with one line.
fn answer(mut stream: &TcpStream) {
    let mut request = Vec::new();
    let mut buffer = [0; 1024];
    while !request.ends_with(b"\r\n\r\n") {
        let read = stream.read(&mut buffer).unwrap();
        request.extend_from_slice(&buffer[..read]);
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nline\n").unwrap();
}

// Guards against a limit on connecting that is shorter than the caller's own and makes every call to such a peer fail.
#[test]
fn a_stream_whose_connection_comes_up_late_is_opened_within_the_callers_time_limit() {
    let (listener, queued, address) = listener_with_full_backlog();
    let server = std::thread::spawn(move || {
        std::thread::sleep(BACKLOG_FULL);
        let accepted = listener.accept().unwrap();
        let (stream, _) = listener.accept().unwrap();
        answer(&stream);
        (accepted, stream)
    });
    let client = Client::new(&address.to_string(), 1, vec![]);
    let line = smol::block_on(async {
        let mut lines = client.stream_lines("/", TIMEOUT).await?;
        lines.next().await
    });
    assert_eq!(line, Ok(Some(b"line".to_vec())));
    drop((queued, server.join()));
}

#[test]
fn a_stream_whose_connection_never_comes_up_was_never_requested() {
    let (_listener, _queued, address) = listener_with_full_backlog();
    let client = Client::new(&address.to_string(), 1, vec![]);
    let opened = smol::block_on(client.stream_lines("/", 0.2));
    let error = opened.expect_err("the connection is not established");
    assert_eq!(error, NetError::Connect("timed out".into()));
}
