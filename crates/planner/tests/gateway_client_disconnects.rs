//! No attempt starts for a client that has disconnected. The gateway is stopped (SIGSTOP) while the client sends its
//! set-up and disconnects, so that both are pending at once when it continues. The test fails unless the next set-up
//! that a machine receives is that of another client.

mod common;

use common::machine::{Machine, SET_UP};
use common::{
    GatewayProcess, TEST_TIMEOUT, connect_client, connecting_sockets, connection_end, listen,
    message, pool_event, read_message, set_up, unresponsive_listener, wait_until,
};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

type Disconnect = fn(TcpStream);

/// Waits until the FIN or RST of a client has arrived at the gateway's socket. On a busy host the kernel may deliver it
/// late, and the order of events would not be enforced.
fn wait_for_close(gateway: &GatewayProcess, client: SocketAddr) {
    let established =
        || connection_end(gateway.child.id(), client).is_some_and(|end| end.state == "01");
    wait_until("the FIN or RST has arrived", || !established());
}

/// The ways in which a client disconnects.
const DISCONNECTS: [(&str, Disconnect); 3] = [
    ("closes", drop),
    ("half-closes", |stream| {
        stream.shutdown(Shutdown::Write).unwrap();
        // Keeps the socket open: only the write side is shut down.
        std::mem::forget(stream);
    }),
    ("resets", |stream| {
        let stream = socket2::Socket::from(stream);
        stream.set_linger(Some(std::time::Duration::ZERO)).unwrap();
    }),
];

/// A gateway, its only machine, a client whose task 5 is placed there, and the index of the offer's connection.
fn start_with_placed_task(test: &str) -> (GatewayProcess, Machine, TcpStream, usize) {
    let (mut machine, (_discovery, discovery_address)) = (Machine::new(), listen());
    let gateway = GatewayProcess::start(
        test,
        discovery_address,
        &pool_event(1, true, "s-1", machine.address),
    );
    let mut owner = connect_client(&gateway);
    let connection = machine.place_task(&mut owner, 5);
    (gateway, machine, owner, connection)
}

/// Asserts that the next set-up that reaches the machine is one that this client sends now.
fn assert_next_set_up_is_of(machine: &mut Machine, owner: &mut TcpStream) {
    owner.write_all(&set_up(9_999)).unwrap();
    assert_eq!(
        machine.wait_for_set_up().1,
        9_999,
        "an attempt was started for a disconnected client"
    );
}

#[test]
fn a_set_up_received_together_with_the_disconnect_starts_no_attempt() {
    for (name, disconnect) in DISCONNECTS {
        let (gateway, mut machine, mut owner, connection) =
            start_with_placed_task(&format!("gone-{name}"));
        let mut gone = connect_client(&gateway);
        let client = gone.local_addr().unwrap();
        gateway.while_stopped(|| {
            // A recent message of the machine makes the gateway select this connection for a set-up at once.
            machine.send(connection, &message(6, 5, &[]));
            gone.write_all(&set_up(6)).unwrap();
            disconnect(gone);
            wait_for_close(&gateway, client);
        });
        assert_next_set_up_is_of(&mut machine, &mut owner);
    }
}

#[test]
fn set_ups_cancelled_in_the_same_read_start_no_attempts() {
    let (gateway, mut machine, mut owner, connection) = start_with_placed_task("taken-back");
    let mut gone = connect_client(&gateway);
    gateway.while_stopped(|| {
        machine.send(connection, &message(6, 5, &[]));
        let set_ups: Vec<u8> = (100..170).flat_map(set_up).collect();
        let cancels: Vec<u8> = (100..170)
            .flat_map(|id| message(12, id, &[(222, &[16])]))
            .collect();
        let bytes = [set_ups, cancels].concat();
        gone.write_all(&bytes).unwrap();
        let client = gone.local_addr().unwrap();
        wait_until("all bytes have arrived", || {
            connection_end(gateway.child.id(), client)
                .is_some_and(|end| end.unread_bytes == bytes.len())
        });
    });
    assert_next_set_up_is_of(&mut machine, &mut owner);
}

#[test]
fn a_close_after_more_set_ups_than_one_read_takes_starts_no_attempts() {
    let (gateway, mut machine, mut owner, connection) = start_with_placed_task("flood-gone");
    let mut gone = connect_client(&gateway);
    gateway.while_stopped(|| {
        machine.send(connection, &message(6, 5, &[]));
        // More bytes than the gateway takes in one read.
        gone.write_all(&(100..400).flat_map(set_up).collect::<Vec<u8>>())
            .unwrap();
        let client = gone.local_addr().unwrap();
        drop(gone);
        wait_for_close(&gateway, client);
    });
    assert_next_set_up_is_of(&mut machine, &mut owner);
}

#[test]
fn a_rejection_received_together_with_the_disconnect_starts_no_second_attempt() {
    let (mut machines, (_discovery, discovery_address)) =
        ([Machine::new(), Machine::new()], listen());
    let known: Vec<String> = (0..2)
        .map(|n| pool_event(n as u64 + 1, n == 0, &format!("s-{n}"), machines[n].address))
        .collect();
    let gateway = GatewayProcess::start("between", discovery_address, &known.join(","));
    let mut owner = connect_client(&gateway);
    // Places tasks until the gateway has a connection to each machine.
    let mut id = 100;
    while machines
        .iter()
        .any(|machine| machine.connection_count() == 0)
    {
        owner.write_all(&set_up(id)).unwrap();
        let (n, connection, received) = wait_for_set_up_at_either(&mut machines);
        assert_eq!(received, id);
        machines[n].accept_task(connection, id);
        assert_eq!(read_message(&mut owner).1, id);
        id += 1;
        assert!(id < 200, "one machine is never selected");
    }
    let mut gone = connect_client(&gateway);
    gone.write_all(&set_up(6)).unwrap();
    let (n, connection, received) = wait_for_set_up_at_either(&mut machines);
    assert_eq!(received, 6);
    gateway.while_stopped(|| {
        for other in 0..machines[1 - n].connection_count() {
            machines[1 - n].send(other, &message(6, 6, &[]));
        }
        machines[n].send(
            connection,
            &message(12, 6, &[(222, &[34]), (201, b"lack_cpu")]),
        );
        let client = gone.local_addr().unwrap();
        drop(gone);
        wait_for_close(&gateway, client);
    });
    owner.write_all(&set_up(9_999)).unwrap();
    assert_eq!(
        wait_for_set_up_at_either(&mut machines).2,
        9_999,
        "a second attempt was started for a disconnected client"
    );
}

/// Waits for the next set-up at one of the machines: index of the machine, index of the connection, and id of the task.
fn wait_for_set_up_at_either(machines: &mut [Machine; 2]) -> (usize, usize, u64) {
    let start = std::time::Instant::now();
    loop {
        for (n, machine) in machines.iter_mut().enumerate() {
            if let Some((connection, SET_UP, id)) = machine.poll_message() {
                return (n, connection, id);
            }
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "no set-up arrived");
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
}

#[test]
fn a_set_up_that_waits_for_a_connection_is_dropped_when_its_client_disconnects() {
    let (_discovery, discovery_address) = listen();
    let (listener, queued, address) = unresponsive_listener();
    let gateway = GatewayProcess::start_with(
        "gone-dial",
        discovery_address,
        &pool_event(1, true, "s-1", address),
        |config| {
            config
                .replace(r#""connectTimeoutS":0.25"#, r#""connectTimeoutS":9"#)
                .replace(r#""safe""#, r#""unsafe""#)
        },
    );
    let mut gone = connect_client(&gateway);
    gone.write_all(&set_up(6)).unwrap();
    wait_until("a connection attempt", || {
        connecting_sockets(gateway.child.id()) == 1
    });
    let mut connection = gateway.while_stopped(|| {
        drop(queued);
        drop(listener.accept().unwrap());
        // The kernel sends the SYN again, and the connection is established while the gateway is stopped.
        let connection = listener.accept().unwrap().0;
        let client = gone.local_addr().unwrap();
        drop(gone);
        wait_for_close(&gateway, client);
        TcpStream::from(connection)
    });
    connection.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut received = Vec::new();
    connection.read_to_end(&mut received).unwrap();
    assert_eq!(
        received, b"",
        "an attempt was started for a disconnected client"
    );
}
