//! More clients than the gateway keeps connections, none of them idle. The gateway is stopped (SIGSTOP) while they
//! connect and send, so that it finds all of them busy.

mod common;

use common::{
    GatewayProcess, connect_client, listen, message, passes_health_check, pool_event, read_message,
    set_up, unresponsive_listener,
};
use std::io::Write;
use std::net::TcpStream;

/// With this limit on descriptors, the gateway keeps 22 connections of clients.
const SOCKETS: usize = 48;
const KEPT_CONNECTIONS: u64 = 22;

const HEALTH_CHECK_REPLY: u8 = 53;

fn health_check() -> Vec<u8> {
    message(52, 9, &[(222, &[0])])
}

/// A set-up of a class that does not exist.
fn invalid_set_up(id: u64) -> Vec<u8> {
    let name = format!("{id:016x}");
    let parameters: [(u8, &[u8]); 4] = [
        (180, b"no-such-class"),
        (183, b"6000"),
        (192, name.as_bytes()),
        (195, b"cores:1;memory:2;service:1"),
    ];
    message(1, id, &parameters)
}

/// Connects a client with an open request: its connection is not one that may be closed for another.
fn connect_owner(gateway: &GatewayProcess, id: u64) -> TcpStream {
    let mut owner = connect_client(gateway);
    owner.write_all(&set_up(id)).unwrap();
    owner.write_all(&health_check()).unwrap();
    assert_eq!(read_message(&mut owner).0, HEALTH_CHECK_REPLY);
    owner
}

/// Connects `owners` with an open request each, and then `clients` at once, each of which sends these messages. Asserts
/// that the gateway still serves an owner, and a new client once the others have gone.
fn assert_serves_others(test: &str, owners: u64, clients: u64, messages: impl Fn(u64) -> Vec<u8>) {
    let (_discovery, discovery_address) = listen();
    let (_machine, _filler, machine_address) = unresponsive_listener();
    let known = pool_event(1, true, "s-1", machine_address);
    let gateway = GatewayProcess::start_with(test, discovery_address, &known, |config| {
        config.replace("\"sockets\":256", &format!("\"sockets\":{SOCKETS}"))
    });
    let mut owners: Vec<TcpStream> = (1..=owners).map(|id| connect_owner(&gateway, id)).collect();
    let crowd: Vec<TcpStream> = gateway.while_stopped(|| {
        (1..=clients)
            .map(|client| {
                let mut stream = gateway.connect();
                stream.write_all(&messages(client << 16)).unwrap();
                stream
            })
            .collect()
    });
    owners[0].write_all(&health_check()).unwrap();
    while read_message(&mut owners[0]).0 != HEALTH_CHECK_REPLY {}
    drop((crowd, owners));
    assert!(
        passes_health_check(gateway.address),
        "a new client is served"
    );
}

/// Guards against an event loop that checks busy connections in turn for ever, for one that it can close.
#[test]
fn others_are_served_while_more_clients_than_are_kept_send_hundreds_of_requests() {
    for clients in [KEPT_CONNECTIONS + 1, 2 * KEPT_CONNECTIONS] {
        assert_serves_others("crowd-requests", 1, clients, |first| {
            (0..300).flat_map(|n| invalid_set_up(first + n)).collect()
        });
    }
}

/// Guards against the same loop over the newest connections alone: all others have an open request.
#[test]
fn others_are_served_while_more_clients_than_are_kept_have_an_open_request() {
    for clients in [1, KEPT_CONNECTIONS] {
        assert_serves_others("crowd-open", KEPT_CONNECTIONS, clients, set_up);
    }
}
