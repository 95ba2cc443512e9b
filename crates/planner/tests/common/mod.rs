//! Helpers for tests of the gateway program on loopback: the test plays the machines, the discovery stream and the
//! clients.
#![allow(dead_code, reason = "no test file uses all helpers")]

pub mod machine;
mod process;
mod system;
#[allow(unused_imports, reason = "no test file uses all helpers")]
pub use process::{GatewayProcess, config, write_config};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
#[allow(unused_imports, reason = "no test file uses all helpers")]
pub use system::{
    ConnectionEnd, connecting_sockets, connection_end, is_in_transit, passes_health_check,
    reserve_address, sockets,
};

/// Ends a test that hangs. No test depends on how fast something happens within it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The data of a discovery event with one instance; `is_reset` says that it replaces all instances.
pub fn pool_event(revision: u64, is_reset: bool, instance: &str, address: SocketAddr) -> String {
    format!(
        r#"{{"rev":{revision},"pool":{{"generation":{revision},"reset":{is_reset},"instances":[{{"instanceId":"{instance}","hostPort":"{address}","zone":"east","machineType":"std","cell":0,"lifecycle":"Ready","weight":1,"startedAtMs":0,"left_over":[30,60]}}]}}}}"#
    )
}

/// Encodes a message of the operators' protocol: type, id and parameters, each with its code.
pub fn message(kind: u8, id: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(id.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend(*value);
    }
    let mut message = (body.len() as u16).to_be_bytes().to_vec();
    message.extend(body);
    message
}

/// A set-up message for a task with this id and a timeout of 6 s.
pub fn set_up(id: u64) -> Vec<u8> {
    let name = format!("{id:016x}");
    let requirements = b"cores:1;memory:2;service:00000000b4d65521";
    message(
        1,
        id,
        &[
            (180, b"web"),
            (183, b"6000"),
            (192, name.as_bytes()),
            (195, requirements),
            (225, b"v=0"),
        ],
    )
}

/// Reads the next message: type, id and encoded parameters. Health checks are answered and skipped.
pub fn read_message(stream: &mut TcpStream) -> (u8, u64, Vec<u8>) {
    loop {
        let mut length = [0; 2];
        stream.read_exact(&mut length).expect("a message");
        let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
        stream.read_exact(&mut body).expect("a complete message");
        let id = u64::from_be_bytes(body[1..9].try_into().unwrap());
        if body[0] == 52 {
            stream.write_all(&message(53, id, &[(222, &[1])])).unwrap();
            continue;
        }
        return (body[0], id, body[9..].to_vec());
    }
}

pub fn with_read_timeout(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

pub fn accept(listener: &TcpListener) -> TcpStream {
    with_read_timeout(listener.accept().expect("a connection").0)
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Reads the request of a discovery connection. Returns the last event id that the gateway sent.
pub fn read_discovery_call(stream: &TcpStream) -> u64 {
    let mut last_event_id = 0;
    for line in BufReader::new(stream).lines() {
        let line = line.unwrap().to_lowercase();
        if let Some(number) = line.strip_prefix("last-event-id:") {
            last_event_id = number.trim().parse().unwrap();
        }
        if line.is_empty() {
            break;
        }
    }
    last_event_id
}

/// Accepts a discovery connection. Returns the last event id that the gateway sent, and the stream for events.
pub fn accept_discovery(listener: &TcpListener) -> (u64, TcpStream) {
    let mut stream = accept(listener);
    let last_event_id = read_discovery_call(&stream);
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n: here\n\n")
        .unwrap();
    (last_event_id, stream)
}

pub fn send_event(stream: &mut TcpStream, revision: u64, data: &str) {
    stream
        .write_all(format!("id: {revision}\ndata: {data}\n\n").as_bytes())
        .unwrap();
}

/// Polls until the condition holds; panics with its description after [`TEST_TIMEOUT`].
pub fn wait_until(description: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TEST_TIMEOUT, "timed out: {description}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Opens a connection that the event loop has accepted and read from: a health check was answered on it.
pub fn connect_client(gateway: &GatewayProcess) -> TcpStream {
    let mut stream = gateway.connect();
    stream.write_all(&message(52, 9, &[(222, &[0])])).unwrap();
    assert_eq!(read_message(&mut stream).0, 53);
    stream
}

/// Places task 5 of this owner. Returns the machine's end of the connection with its offer.
pub fn place_task(owner: &mut TcpStream, machine: &TcpListener) -> TcpStream {
    owner.write_all(&set_up(5)).unwrap();
    let mut offer = accept(machine);
    assert_eq!(read_message(&mut offer).1, 5);
    offer.write_all(&message(9, 5, &[(225, b"own")])).unwrap();
    assert_eq!(read_message(owner).0, 9);
    offer
}

/// A listener whose backlog of one is full: further connections are neither established nor refused, as in a network
/// partition. Returns the listener, the connection in its backlog, and its address.
pub fn unresponsive_listener() -> (socket2::Socket, TcpStream, SocketAddr) {
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    listener
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let queued = TcpStream::connect(address).unwrap();
    (listener, queued, address)
}
