//! The memory of the gateway program stays within the limit of its configuration, whatever clients send.

mod common;

use common::{GatewayProcess, listen, message, pool_event, set_up, unresponsive_listener};
use std::io::{Read, Write};
use std::net::TcpStream;

/// The lowest limit on memory that the platform gives, in MB.
const MEMORY_MB: f64 = 32.0;
/// The highest limit on descriptors that it gives.
const SOCKETS: usize = 1024;
const HEALTH_CHECK: u8 = 52;
const HEALTH_CHECK_REPLY: u8 = 53;

/// Memory that the process holds for itself, without files, in MB.
fn memory_mb(gateway: &GatewayProcess) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap();
    let kilobytes = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"))
        .expect("the kernel shows the memory of processes");
    let kilobytes: f64 = kilobytes
        .trim()
        .trim_end_matches("kB")
        .trim()
        .parse()
        .unwrap();
    kilobytes * 1024.0 / 1e6
}

/// Sends the messages, and waits until the gateway has read them all, or has closed the connection. Returns the open
/// connection.
fn send_all(mut stream: TcpStream, messages: impl Iterator<Item = Vec<u8>>) -> TcpStream {
    let health_check = message(HEALTH_CHECK, 1, &[(222, &[0])]);
    for message in messages.chain([health_check]) {
        if stream.write_all(&message).is_err() {
            return stream;
        }
    }
    let mut length = [0; 2];
    while stream.read_exact(&mut length).is_ok() {
        let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
        if stream.read_exact(&mut body).is_err() || body[0] == HEALTH_CHECK_REPLY {
            break;
        }
    }
    stream
}

/// Clients that each send as many requests as they can at once.
struct Flood {
    clients: u64,
    requests: u64,
    /// Sent by each client at the end.
    last_bytes: Vec<u8>,
}

impl Flood {
    /// Plays the flood against a gateway, and returns the memory of the program while all clients are connected.
    fn memory_mb(&self, test: &str, request: impl Fn(u64) -> Vec<u8> + Copy + Send) -> f64 {
        let (_discovery, discovery_address) = listen();
        let (_machine, _filler, machine_address) = unresponsive_listener();
        let known = pool_event(1, true, "s-1", machine_address);
        let gateway = GatewayProcess::start_with(test, discovery_address, &known, |config| {
            let limits = format!("\"memory_mb\":{MEMORY_MB},\"sockets\":{SOCKETS}");
            config.replace("\"memory_mb\":48,\"sockets\":256", &limits)
        });
        let streams: Vec<TcpStream> = std::thread::scope(|scope| {
            let clients: Vec<_> = (0..self.clients)
                .map(|client| {
                    let stream = gateway.connect();
                    let requests =
                        (0..self.requests).map(move |n| request(((client + 1) << 16) + n));
                    scope.spawn(move || send_all(stream, requests))
                })
                .collect();
            clients.into_iter().map(|c| c.join().unwrap()).collect()
        });
        for stream in &streams {
            let _ = (&mut &*stream).write_all(&self.last_bytes);
        }
        if !self.last_bytes.is_empty() {
            // Most of these bytes were read once a later connection is served.
            send_all(gateway.connect(), std::iter::empty());
        }
        memory_mb(&gateway)
    }
}

const BAD_CLIENTS: Flood = Flood {
    clients: 20,
    requests: 300,
    last_bytes: Vec::new(),
};

/// Guards against the end of the process for memory: clients sent hundreds of set-ups of 15 kB each, and all were kept.
#[test]
fn large_set_ups_of_many_clients_stay_within_the_limit_on_memory() {
    let memory = BAD_CLIENTS.memory_mb("memory-large", |id| {
        with_parameters(set_up(id), &[(250, &[b'?'; 15_000])])
    });
    assert!(memory < MEMORY_MB, "{memory:.1} MB of {MEMORY_MB} MB");
}

/// Guards against set-ups of thousands of parameters, each of which took sixteen times its bytes.
#[test]
fn set_ups_of_many_short_parameters_stay_within_the_limit_on_memory() {
    let memory = BAD_CLIENTS.memory_mb("memory-short", |id| {
        with_parameters(set_up(id), &[(250, b"?".as_slice()); 3_700])
    });
    assert!(memory < MEMORY_MB, "{memory:.1} MB of {MEMORY_MB} MB");
}

/// Guards against hand-overs of tasks at machines that do not exist, with descriptions that are never needed.
#[test]
fn hand_overs_stay_within_the_limit_on_memory() {
    let memory = BAD_CLIENTS.memory_mb("memory-handover", |id| {
        let requirements = format!("cores:1;memory:2;service:1;at:s-{}", id % 100);
        message(
            1,
            id,
            &[
                (180, b"web"),
                (192, b"name"),
                (195, requirements.as_bytes()),
                (225, &[b'?'; 15_000]),
            ],
        )
    });
    assert!(memory < MEMORY_MB, "{memory:.1} MB of {MEMORY_MB} MB");
}

/// Guards against names of machines that do not exist, each of up to 16 KiB: as many as are kept, beside the requests
/// and incomplete messages of all connections.
#[test]
fn hand_overs_that_name_unknown_machines_stay_within_the_limit_on_memory() {
    let large = |id| with_parameters(set_up(id), &[(250, &[b'?'; 15_000])]);
    let hand_over = |id: u64| {
        let requirements = format!("cores:1;memory:2;service:1;at:s-{id:015000}");
        let class: &[u8] = b"web";
        let name: &[u8] = b"name";
        message(
            1,
            id,
            &[(180, class), (192, name), (195, requirements.as_bytes())],
        )
    };
    let flood = Flood {
        clients: 450,
        requests: 20,
        last_bytes: large(1)[..15_000].to_vec(),
    };
    let memory = flood.memory_mb("memory-names", |id| {
        if id.is_multiple_of(2) {
            large(id)
        } else {
            hand_over(id)
        }
    });
    assert!(memory < MEMORY_MB, "{memory:.1} MB of {MEMORY_MB} MB");
}

/// Guards against the sum of what is bounded for each connection: all connections of clients, each with requests and an
/// incomplete message.
#[test]
fn incomplete_messages_on_all_connections_stay_within_the_limit_on_memory() {
    let large = |id| with_parameters(set_up(id), &[(250, &[b'?'; 15_000])]);
    let incomplete = large(1)[..15_000].to_vec();
    let flood = Flood {
        clients: 450,
        requests: 20,
        last_bytes: incomplete,
    };
    let memory = flood.memory_mb("memory-incomplete", large);
    assert!(memory < MEMORY_MB, "{memory:.1} MB of {MEMORY_MB} MB");
}

/// Adds parameters to an encoded message.
fn with_parameters(mut encoded: Vec<u8>, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    for (code, value) in parameters {
        encoded.push(*code);
        encoded.extend((value.len() as u16).to_be_bytes());
        encoded.extend(*value);
    }
    let length = (encoded.len() - 2) as u16;
    encoded[..2].copy_from_slice(&length.to_be_bytes());
    encoded
}
