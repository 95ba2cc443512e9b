//! The gateway program on loopback, with a machine, a discovery stream and an owner scripted by the test.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod machine;
mod process;
mod system;
#[allow(unused_imports, reason = "each test file uses a part")]
pub use process::{GatewayProcess, config, write_config};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
#[allow(unused_imports, reason = "each test file uses a part")]
pub use system::{
    ConnectionEnd, connection_end, dials, is_in_transit, own_address, passes_health_check, sockets,
};

/// Nothing here judges by how fast it went; this only ends a test that hangs.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub fn event(number: u64, whole: bool, machine: &str, at: SocketAddr) -> String {
    format!(
        r#"{{"rev":{number},"pool":{{"generation":{number},"reset":{whole},"instances":[{{"instanceId":"{machine}","hostPort":"{at}","zone":"east","machineType":"std","cell":0,"lifecycle":"Ready","weight":1,"startedAtMs":0,"left_over":[30,60]}}]}}}}"#
    )
}

/// Bytes of a message: type, id, parameters.
pub fn message(kind: u8, id: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(id.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend(*value);
    }
    let mut all = (body.len() as u16).to_be_bytes().to_vec();
    all.extend(body);
    all
}

pub fn set_up(id: u64) -> Vec<u8> {
    let name = format!("{id:016x}");
    let asks = b"cores:1;memory:2;service:00000000b4d65521";
    message(
        1,
        id,
        &[
            (180, b"web"),
            (183, b"6000"),
            (192, name.as_bytes()),
            (195, asks),
            (225, b"v=0"),
        ],
    )
}

/// The next message that is not a test: type, id, and all of its bytes after that.
pub fn next(stream: &mut TcpStream) -> (u8, u64, Vec<u8>) {
    loop {
        let mut length = [0; 2];
        stream.read_exact(&mut length).expect("a message");
        let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
        stream.read_exact(&mut body).expect("the rest of a message");
        let id = u64::from_be_bytes(body[1..9].try_into().unwrap());
        if body[0] == 52 {
            stream.write_all(&message(53, id, &[(222, &[1])])).unwrap();
            continue;
        }
        return (body[0], id, body[9..].to_vec());
    }
}

pub fn patient(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

pub fn accept(listener: &TcpListener) -> TcpStream {
    patient(listener.accept().expect("a connection").0)
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// A connection of the board: the number that was asked from, and where events are written.
pub fn board(listener: &TcpListener) -> (u64, TcpStream) {
    let mut stream = accept(listener);
    let mut from = 0;
    for line in BufReader::new(stream.try_clone().unwrap()).lines() {
        let line = line.unwrap().to_lowercase();
        if let Some(number) = line.strip_prefix("last-event-id:") {
            from = number.trim().parse().unwrap();
        }
        if line.is_empty() {
            break;
        }
    }
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n: here\n\n")
        .unwrap();
    (from, stream)
}

pub fn tell(stream: &mut TcpStream, number: u64, data: &str) {
    stream
        .write_all(format!("id: {number}\ndata: {data}\n\n").as_bytes())
        .unwrap();
}

/// Waits until this is so.
pub fn until(what: &str, is_so: impl Fn() -> bool) {
    let began = Instant::now();
    while !is_so() {
        assert!(began.elapsed() < PATIENCE, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// A connection that the loop has accepted and read from.
pub fn greeted(gateway: &GatewayProcess) -> TcpStream {
    let mut stream = gateway.connect();
    stream.write_all(&message(52, 9, &[(222, &[0])])).unwrap();
    assert_eq!(next(&mut stream).0, 53);
    stream
}

/// Task 5 is placed: the connection of its offer.
pub fn placed(owner: &mut TcpStream, machine: &TcpListener) -> TcpStream {
    owner.write_all(&set_up(5)).unwrap();
    let mut offer = accept(machine);
    assert_eq!(next(&mut offer).1, 5);
    offer.write_all(&message(9, 5, &[(225, b"own")])).unwrap();
    assert_eq!(next(owner).0, 9);
    offer
}

/// A listener whose one place is taken: further connections to it neither come up nor are refused, as in a zone
/// that is cut off.
pub fn unreachable() -> (socket2::Socket, TcpStream, SocketAddr) {
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    listener
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    listener.listen(0).unwrap();
    let at = listener.local_addr().unwrap().as_socket().unwrap();
    let taken = TcpStream::connect(at).unwrap();
    (listener, taken, at)
}
