//! Race conditions between two events on real connections. The gateway is stopped (SIGSTOP) while both happen, so that
//! it finds them pending in the order that leads to the failure.

mod common;

use common::machine::{Machine, RELEASE};
use common::{
    GatewayProcess, TEST_TIMEOUT, accept_discovery, config, connect_client, connecting_sockets,
    listen, message, passes_health_check, pool_event, read_message, reserve_address, send_event,
    set_up, unresponsive_listener, wait_until,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

fn rejection(id: u64) -> (u8, u64, Vec<u8>) {
    (RELEASE, id, vec![222, 0, 1, 42])
}

/// Reads the remaining bytes until the end of the stream. A reset is an error.
fn read_to_end(mut stream: TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    stream
        .read_to_end(&mut bytes)
        .expect("the connection ends without a reset");
    bytes
}

#[test]
fn messages_that_arrive_at_the_end_of_the_shutdown_are_answered() {
    let (mut machine, (_discovery, discovery_address)) = (Machine::new(), listen());
    let mut gateway = GatewayProcess::start(
        "moment",
        discovery_address,
        &pool_event(1, true, "s-1", machine.address),
    );
    let mut owner = connect_client(&gateway);
    owner.write_all(&set_up(5)).unwrap();
    let (connection, _) = machine.wait_for_set_up();
    gateway.signal("-TERM");
    gateway.wait_for_log("told to end");
    // The line is written before the shutdown begins, both at once for the event loop: it answers this check after that.
    owner.write_all(&message(52, 9, &[(222, &[0])])).unwrap();
    assert_eq!(read_message(&mut owner).0, 53);
    let mut new = gateway.while_stopped(|| {
        // The gateway takes requests for 0.7 s after SIGTERM. It is stopped for longer, and then finds all of these
        // messages at once.
        std::thread::sleep(Duration::from_secs(1));
        machine.accept_task(connection, 5);
        machine.send(connection, &message(12, 5, &[(222, &[16])]));
        owner.write_all(&set_up(8)).unwrap();
        let mut new = gateway.connect();
        new.write_all(&set_up(7)).unwrap();
        new
    });
    let mut received: Vec<(u8, u64)> = (0..3)
        .map(|_| read_message(&mut owner))
        .map(|m| (m.0, m.1))
        .collect();
    received.sort_unstable();
    assert_eq!(received, [(9, 5), (RELEASE, 5), (RELEASE, 8)]);
    assert_eq!(read_message(&mut new), rejection(7));
    assert_eq!((read_to_end(owner), read_to_end(new)), (vec![], vec![]));
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn a_connection_selected_for_eviction_is_kept_if_its_set_up_has_arrived() {
    let (mut machine, (_discovery, discovery_address)) = (Machine::new(), listen());
    let limit_sockets = |config: String| config.replace(r#""sockets":256"#, r#""sockets":48"#);
    let gateway = GatewayProcess::start_with(
        "room",
        discovery_address,
        &pool_event(1, true, "s-1", machine.address),
        limit_sockets,
    );
    // The gateway keeps 22 connections. For another one it closes the oldest that never sent a valid set-up.
    let mut oldest = connect_client(&gateway);
    let _others: Vec<TcpStream> = (0..21).map(|_| connect_client(&gateway)).collect();
    let _one_more = gateway.while_stopped(|| {
        let one_more = gateway.connect();
        oldest.write_all(&set_up(5)).unwrap();
        one_more
    });
    let (connection, id) = machine.wait_for_set_up();
    assert_eq!(id, 5);
    machine.accept_task(connection, 5);
    assert_eq!(read_message(&mut oldest).0, 9);
}

#[test]
fn an_owner_that_reconnects_before_its_close_is_handled_receives_the_end_of_its_task() {
    let (mut machine, (_discovery, discovery_address)) = (Machine::new(), listen());
    let gateway = GatewayProcess::start(
        "back",
        discovery_address,
        &pool_event(1, true, "s-1", machine.address),
    );
    let mut first = connect_client(&gateway);
    let connection = machine.place_task(&mut first, 5);
    let mut second = connect_client(&gateway);
    gateway.while_stopped(|| {
        let requirements = b"cores:1;memory:2;service:00000000b4d65521;at:s-1";
        let name = b"0000000000000005";
        second
            .write_all(&message(
                1,
                5,
                &[(180, b"web"), (192, name), (195, requirements)],
            ))
            .unwrap();
        drop(first);
    });
    // Messages of a connection are handled in order, so the set-up was handled before the health check was answered.
    second.write_all(&message(52, 9, &[(222, &[0])])).unwrap();
    assert_eq!(read_message(&mut second).0, 53);
    machine.send(connection, &message(12, 5, &[(222, &[16])]));
    assert_eq!(read_message(&mut second), (RELEASE, 5, vec![222, 0, 1, 16]));
}

#[test]
fn a_set_up_sent_again_before_the_first_close_is_handled_starts_an_attempt() {
    let (mut machine, (_discovery, discovery_address)) = (Machine::new(), listen());
    let gateway = GatewayProcess::start(
        "again",
        discovery_address,
        &pool_event(1, true, "s-1", machine.address),
    );
    let mut first = connect_client(&gateway);
    first.write_all(&set_up(5)).unwrap();
    machine.wait_for_set_up();
    let mut second = connect_client(&gateway);
    gateway.while_stopped(|| {
        second.write_all(&set_up(5)).unwrap();
        drop(first);
    });
    let (connection, id) = machine.wait_for_set_up();
    assert_eq!(id, 5);
    machine.accept_task(connection, 5);
    assert_eq!(read_message(&mut second).0, 9);
}

#[test]
fn an_idle_connection_closed_while_the_event_loop_was_stopped_carries_no_set_up() {
    let (mut machine, (_discovery, discovery_address)) = (Machine::new(), listen());
    // A task of an unsafe service that may have run is not retried, and would fail.
    let unsafe_service = |config: String| config.replace(r#""safe""#, r#""unsafe""#);
    let known = pool_event(1, true, "s-1", machine.address);
    let gateway =
        GatewayProcess::start_with("idle-close", discovery_address, &known, unsafe_service);
    let mut owner = connect_client(&gateway);
    let connection = machine.place_task(&mut owner, 5);
    gateway.while_stopped(|| {
        // A recent message of the machine makes the gateway select this connection for a set-up. The connection is then
        // idle for longer than this lasts.
        machine.send(connection, &message(6, 5, &[]));
        std::thread::sleep(Duration::from_millis(600));
        machine.close(connection);
        owner.write_all(&set_up(6)).unwrap();
    });
    let (connection, id) = machine.wait_for_set_up();
    assert_eq!(id, 6);
    machine.accept_task(connection, 6);
    assert_eq!(
        read_message(&mut owner),
        (9, 6, vec![225, 0, 3, b'o', b'w', b'n'])
    );
}

#[test]
fn a_set_up_that_waits_for_a_connection_is_withdrawn_when_its_machine_drains() {
    let ((discovery_listener, discovery_address), mut other) = (listen(), Machine::new());
    let (_listener, _queued, address) = unresponsive_listener();
    let gateway = GatewayProcess::start_with(
        "drain-dial",
        discovery_address,
        &pool_event(1, true, "s-1", address),
        |config| {
            config
                .replace(r#""connectTimeoutS":0.25"#, r#""connectTimeoutS":9"#)
                .replace(r#""safe""#, r#""unsafe""#)
        },
    );
    let (_, mut stream) = accept_discovery(&discovery_listener);
    let mut owner = connect_client(&gateway);
    owner.write_all(&set_up(5)).unwrap();
    wait_until("a connection attempt", || {
        connecting_sockets(gateway.child.id()) == 1
    });
    send_event(&mut stream, 2, &pool_event(2, false, "s-2", other.address));
    send_event(
        &mut stream,
        3,
        &pool_event(3, false, "s-1", address).replace("Ready", "Terminating"),
    );
    let (connection, id) = other.wait_for_set_up();
    assert_eq!(
        (id, connecting_sockets(gateway.child.id())),
        (5, 0),
        "the connection attempt is aborted"
    );
    other.accept_task(connection, 5);
    assert_eq!(read_message(&mut owner).0, 9);
}

#[test]
fn with_all_descriptors_used_by_idle_clients_tasks_are_placed_and_discovery_reconnects() {
    let mut machine = Machine::new();
    let discovery_address = reserve_address();
    let limit_sockets = |config: String| config.replace(r#""sockets":256"#, r#""sockets":64"#);
    let gateway = GatewayProcess::start_with(
        "full",
        discovery_address,
        &pool_event(1, true, "s-1", machine.address),
        limit_sockets,
    );
    let mut owner = connect_client(&gateway);
    machine.place_task(&mut owner, 5);
    // Twice the gateway's limit of descriptors, which is also set as the limit of its process.
    let _idle: Vec<TcpStream> = (0..128).map(|_| gateway.connect()).collect();
    machine.place_task(&mut owner, 7);
    let discovery_listener = bind_when_free(discovery_address);
    let (last_event_id, mut stream) = accept_discovery(&discovery_listener);
    assert_eq!(last_event_id, 1, "it resumes after the last known event");
    let mut new = Machine::new();
    send_event(&mut stream, 2, &pool_event(2, true, "s-2", new.address));
    // Until the event is handled, the first machine may be selected. It is closed, so it refuses connections.
    drop(machine);
    owner.write_all(&set_up(6)).unwrap();
    let (connection, id) = new.wait_for_set_up();
    assert_eq!(id, 6);
    new.accept_task(connection, 6);
    while read_message(&mut owner).1 != 6 {}
}

/// Listens at an address of [`reserve_address`]. A child process that another test starts at this moment may hold the
/// address until it executes its program.
fn bind_when_free(address: SocketAddr) -> TcpListener {
    let start = Instant::now();
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(error) => assert!(start.elapsed() < TEST_TIMEOUT, "{address}: {error}"),
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn an_address_in_use_is_retried_until_it_is_free() {
    let (machine, (_discovery, discovery_address)) = (Machine::new(), listen());
    let address = reserve_address();
    let previous = bind_when_free(address);
    let known = pool_event(1, true, "s-1", machine.address);
    let mut gateway = GatewayProcess::start_with("taken", discovery_address, &known, |_| {
        config(address, discovery_address, &known)
    });
    gateway.wait_for_log("waits for its address");
    drop(previous);
    gateway.address = address;
    // A child process that another test starts at this moment may hold the listener for longer, and accept connections
    // that nobody serves.
    wait_until("the gateway answers health checks", || {
        passes_health_check(gateway.address)
    });
}
