//! A client that has gone while nobody looked: no attempt of its begins. The loop is held (SIGSTOP) while the client
//! leaves, so that it finds all at once; what a machine hears first afterwards is another's set-up, or the test fails.

mod common;

use common::machine::{Machine, SET_UP};
use common::{
    GatewayProcess, PATIENCE, connection_end, dials, event, greeted, listen, message, next, set_up,
    unreachable, until,
};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

type Leave = fn(TcpStream);

/// Waits until a close or a reset of a client has come to the program's socket: on a busy machine the system may carry it
/// there only later, and the order would not be forced.
fn wait_for_close(gateway: &GatewayProcess, client: SocketAddr) {
    let established =
        || connection_end(gateway.child.id(), client).is_some_and(|end| end.state == "01");
    until("its end has come", || !established());
}

/// However a client leaves.
const WAYS: [(&str, Leave); 3] = [
    ("closes", drop),
    ("half-closes", |stream| {
        stream.shutdown(Shutdown::Write).unwrap();
        // Held open: nobody reads it.
        std::mem::forget(stream);
    }),
    ("resets", |stream| {
        let stream = socket2::Socket::from(stream);
        stream.set_linger(Some(std::time::Duration::ZERO)).unwrap();
    }),
];

/// A gateway with one machine, to which a connection is open, and an owner.
fn fresh(test: &str) -> (GatewayProcess, Machine, TcpStream, usize) {
    let (mut machine, (_board, board_at)) = (Machine::new(), listen());
    let gateway = GatewayProcess::start(test, board_at, &event(1, true, "s-1", machine.at));
    let mut owner = greeted(&gateway);
    let connection = machine.places(&mut owner, 5);
    (gateway, machine, owner, connection)
}

/// The next set-up that reaches the machine is this owner's.
fn only(machine: &mut Machine, owner: &mut TcpStream) {
    owner.write_all(&set_up(9_999)).unwrap();
    assert_eq!(
        machine.next_set_up().1,
        9_999,
        "an attempt began for a client that has gone"
    );
}

#[test]
fn a_set_up_and_its_end_in_the_kernel_never_leave() {
    for (way, leave) in WAYS {
        let (gateway, mut machine, mut owner, connection) = fresh(&format!("gone-{way}"));
        let mut gone = greeted(&gateway);
        let client = gone.local_addr().unwrap();
        gateway.while_stopped(|| {
            // A word on it makes the connection one that carries a set-up at once.
            machine.says(connection, &message(6, 5, &[]));
            gone.write_all(&set_up(6)).unwrap();
            leave(gone);
            wait_for_close(&gateway, client);
        });
        only(&mut machine, &mut owner);
    }
}

#[test]
fn set_ups_taken_back_in_one_go_never_leave() {
    let (gateway, mut machine, mut owner, connection) = fresh("taken-back");
    let mut gone = greeted(&gateway);
    gateway.while_stopped(|| {
        machine.says(connection, &message(6, 5, &[]));
        let set_ups: Vec<u8> = (100..170).flat_map(set_up).collect();
        let cancels: Vec<u8> = (100..170)
            .flat_map(|id| message(12, id, &[(222, &[16])]))
            .collect();
        let all = [set_ups, cancels].concat();
        gone.write_all(&all).unwrap();
        let client = gone.local_addr().unwrap();
        until("all of it has come", || {
            connection_end(gateway.child.id(), client)
                .is_some_and(|end| end.unread_bytes == all.len())
        });
    });
    only(&mut machine, &mut owner);
}

#[test]
fn a_close_behind_a_flood_is_known_before_the_flood_leaves() {
    let (gateway, mut machine, mut owner, connection) = fresh("flood-gone");
    let mut gone = greeted(&gateway);
    gateway.while_stopped(|| {
        machine.says(connection, &message(6, 5, &[]));
        // More than one read takes in.
        gone.write_all(&(100..400).flat_map(set_up).collect::<Vec<u8>>())
            .unwrap();
        let client = gone.local_addr().unwrap();
        drop(gone);
        wait_for_close(&gateway, client);
    });
    only(&mut machine, &mut owner);
}

#[test]
fn no_second_attempt_begins_where_the_outcome_of_the_first_comes_before_the_close() {
    let (mut machines, (_board, board_at)) = ([Machine::new(), Machine::new()], listen());
    let known: Vec<String> = (0..2)
        .map(|n| event(n as u64 + 1, n == 0, &format!("s-{n}"), machines[n].at))
        .collect();
    let gateway = GatewayProcess::start("between", board_at, &known.join(","));
    let mut owner = greeted(&gateway);
    // Tasks are placed until both machines have a connection.
    let mut id = 100;
    while machines.iter().any(|machine| machine.connections() == 0) {
        owner.write_all(&set_up(id)).unwrap();
        let (n, connection, got) = either(&mut machines);
        assert_eq!(got, id);
        machines[n].accepts(connection, id);
        assert_eq!(next(&mut owner).1, id);
        id += 1;
        assert!(id < 200, "one machine is never chosen");
    }
    let mut gone = greeted(&gateway);
    gone.write_all(&set_up(6)).unwrap();
    let (n, connection, got) = either(&mut machines);
    assert_eq!(got, 6);
    gateway.while_stopped(|| {
        for other in 0..machines[1 - n].connections() {
            machines[1 - n].says(other, &message(6, 6, &[]));
        }
        machines[n].says(
            connection,
            &message(12, 6, &[(222, &[34]), (201, b"lack_cpu")]),
        );
        let client = gone.local_addr().unwrap();
        drop(gone);
        wait_for_close(&gateway, client);
    });
    owner.write_all(&set_up(9_999)).unwrap();
    assert_eq!(
        either(&mut machines).2,
        9_999,
        "a second attempt began for a client that has gone"
    );
}

/// The next set-up at one of the two: at which, on which connection, and its id.
fn either(machines: &mut [Machine; 2]) -> (usize, usize, u64) {
    let began = std::time::Instant::now();
    loop {
        for (n, machine) in machines.iter_mut().enumerate() {
            if let Some((connection, SET_UP, id)) = machine.hears() {
                return (n, connection, id);
            }
        }
        assert!(began.elapsed() < PATIENCE, "no set-up came");
        std::thread::sleep(std::time::Duration::from_millis(1));
    }
}

#[test]
fn a_set_up_behind_a_dial_never_leaves_once_its_client_has_gone() {
    let (_board, board_at) = listen();
    let (listener, taken, at) = unreachable();
    let gateway = GatewayProcess::start_with(
        "gone-dial",
        board_at,
        &event(1, true, "s-1", at),
        |config| {
            config
                .replace(r#""connectTimeoutS":0.25"#, r#""connectTimeoutS":9"#)
                .replace(r#""safe""#, r#""unsafe""#)
        },
    );
    let mut gone = greeted(&gateway);
    gone.write_all(&set_up(6)).unwrap();
    until("a dial", || dials(gateway.child.id()) == 1);
    let mut dialled = gateway.while_stopped(|| {
        drop(taken);
        drop(listener.accept().unwrap());
        // The system tries again, and the connection is made while the loop is held.
        let dialled = listener.accept().unwrap().0;
        let client = gone.local_addr().unwrap();
        drop(gone);
        wait_for_close(&gateway, client);
        TcpStream::from(dialled)
    });
    dialled.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut heard = Vec::new();
    dialled.read_to_end(&mut heard).unwrap();
    assert_eq!(heard, b"", "an attempt began for a client that has gone");
}
