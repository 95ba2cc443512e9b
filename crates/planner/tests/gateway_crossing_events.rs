//! Two events that cross, on real connections: the loop is held (SIGSTOP) while both happen, in the bad order.

mod common;

use common::machine::{Machine, RELEASE};
use common::{
    GatewayProcess, PATIENCE, board, config, dials, event, greeted, listen, message, next,
    own_address, passes_health_check, set_up, tell, unreachable, until,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

fn refused(id: u64) -> (u8, u64, Vec<u8>) {
    (RELEASE, id, vec![222, 0, 1, 42])
}

/// Whatever is left on a connection until its plain end: a reset is an error.
fn rest(mut stream: TcpStream) -> Vec<u8> {
    let mut rest = Vec::new();
    stream
        .read_to_end(&mut rest)
        .expect("a plain end, no reset");
    rest
}

#[test]
fn what_comes_in_the_moment_of_the_end_is_answered_whole() {
    let (mut machine, (_board, board_at)) = (Machine::new(), listen());
    let mut gateway = GatewayProcess::start("moment", board_at, &event(1, true, "s-1", machine.at));
    let mut owner = greeted(&gateway);
    owner.write_all(&set_up(5)).unwrap();
    let (connection, _) = machine.next_set_up();
    gateway.signal("-TERM");
    gateway.wait_for_log("told to end");
    let mut new = gateway.while_stopped(|| {
        // Requests come for 0.7 s after the word; the loop is held beyond that, and then finds all of this at once.
        std::thread::sleep(Duration::from_secs(1));
        machine.accepts(connection, 5);
        machine.says(connection, &message(12, 5, &[(222, &[16])]));
        owner.write_all(&set_up(8)).unwrap();
        let mut new = gateway.connect();
        new.write_all(&set_up(7)).unwrap();
        new
    });
    let mut of_owner: Vec<(u8, u64)> = (0..3)
        .map(|_| next(&mut owner))
        .map(|m| (m.0, m.1))
        .collect();
    of_owner.sort_unstable();
    assert_eq!(of_owner, [(9, 5), (RELEASE, 5), (RELEASE, 8)]);
    assert_eq!(next(&mut new), refused(7));
    assert_eq!((rest(owner), rest(new)), (vec![], vec![]));
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn a_connection_closed_for_room_in_the_moment_of_its_set_up_keeps_it() {
    let (mut machine, (_board, board_at)) = (Machine::new(), listen());
    let few = |config: String| config.replace(r#""sockets":256"#, r#""sockets":48"#);
    let gateway =
        GatewayProcess::start_with("room", board_at, &event(1, true, "s-1", machine.at), few);
    // The oldest of those that never sent anything of use would give way: 22 may be there.
    let mut oldest = greeted(&gateway);
    let _others: Vec<TcpStream> = (0..21).map(|_| greeted(&gateway)).collect();
    let _one_more = gateway.while_stopped(|| {
        let one_more = gateway.connect();
        oldest.write_all(&set_up(5)).unwrap();
        one_more
    });
    let (connection, id) = machine.next_set_up();
    assert_eq!(id, 5);
    machine.accepts(connection, 5);
    assert_eq!(next(&mut oldest).0, 9);
}

#[test]
fn an_owner_who_comes_back_in_the_moment_of_his_close_hears_of_the_end() {
    let (mut machine, (_board, board_at)) = (Machine::new(), listen());
    let gateway = GatewayProcess::start("back", board_at, &event(1, true, "s-1", machine.at));
    let mut first = greeted(&gateway);
    let connection = machine.places(&mut first, 5);
    let mut second = greeted(&gateway);
    gateway.while_stopped(|| {
        let asks = b"cores:1;memory:2;service:00000000b4d65521;at:s-1";
        let name = b"0000000000000005";
        second
            .write_all(&message(1, 5, &[(180, b"web"), (192, name), (195, asks)]))
            .unwrap();
        drop(first);
    });
    // It was taken in before what comes after it on the same connection.
    second.write_all(&message(52, 9, &[(222, &[0])])).unwrap();
    assert_eq!(next(&mut second).0, 53);
    machine.says(connection, &message(12, 5, &[(222, &[16])]));
    assert_eq!(next(&mut second), (RELEASE, 5, vec![222, 0, 1, 16]));
}

#[test]
fn a_set_up_sent_again_in_the_moment_of_its_close_is_taken() {
    let (mut machine, (_board, board_at)) = (Machine::new(), listen());
    let gateway = GatewayProcess::start("again", board_at, &event(1, true, "s-1", machine.at));
    let mut first = greeted(&gateway);
    first.write_all(&set_up(5)).unwrap();
    machine.next_set_up();
    let mut second = greeted(&gateway);
    gateway.while_stopped(|| {
        second.write_all(&set_up(5)).unwrap();
        drop(first);
    });
    let (connection, id) = machine.next_set_up();
    assert_eq!(id, 5);
    machine.accepts(connection, 5);
    assert_eq!(next(&mut second).0, 9);
}

#[test]
fn an_idle_connection_closed_while_the_loop_stood_still_carries_no_set_up() {
    let (mut machine, (_board, board_at)) = (Machine::new(), listen());
    // What may have run could not go out again, and would fail.
    let unsafe_work = |config: String| config.replace(r#""safe""#, r#""unsafe""#);
    let known = event(1, true, "s-1", machine.at);
    let gateway = GatewayProcess::start_with("idle-close", board_at, &known, unsafe_work);
    let mut owner = greeted(&gateway);
    let connection = machine.places(&mut owner, 5);
    gateway.while_stopped(|| {
        // A word on it makes the connection one that carries a set-up at once; then it is idle for longer than that lasts.
        machine.says(connection, &message(6, 5, &[]));
        std::thread::sleep(Duration::from_millis(600));
        machine.closes(connection);
        owner.write_all(&set_up(6)).unwrap();
    });
    let (connection, id) = machine.next_set_up();
    assert_eq!(id, 6);
    machine.accepts(connection, 6);
    assert_eq!(next(&mut owner), (9, 6, vec![225, 0, 3, b'o', b'w', b'n']));
}

#[test]
fn a_set_up_behind_a_dial_is_taken_back_when_its_machine_drains() {
    let ((board_in, board_at), mut other) = (listen(), Machine::new());
    let (_listener, _taken, at) = unreachable();
    let gateway = GatewayProcess::start_with(
        "drain-dial",
        board_at,
        &event(1, true, "s-1", at),
        |config| {
            config
                .replace(r#""connectTimeoutS":0.25"#, r#""connectTimeoutS":9"#)
                .replace(r#""safe""#, r#""unsafe""#)
        },
    );
    let (_, mut stream) = board(&board_in);
    let mut owner = greeted(&gateway);
    owner.write_all(&set_up(5)).unwrap();
    until("a dial", || dials(gateway.child.id()) == 1);
    tell(&mut stream, 2, &event(2, false, "s-2", other.at));
    tell(
        &mut stream,
        3,
        &event(3, false, "s-1", at).replace("Ready", "Terminating"),
    );
    let (connection, id) = other.next_set_up();
    assert_eq!(
        (id, dials(gateway.child.id())),
        (5, 0),
        "and it is not dialled any more"
    );
    other.accepts(connection, 5);
    assert_eq!(next(&mut owner).0, 9);
}

#[test]
fn with_its_descriptors_full_of_idle_clients_and_discovery_down_it_serves_and_follows_again() {
    let mut machine = Machine::new();
    let board_at = own_address();
    let few = |config: String| config.replace(r#""sockets":256"#, r#""sockets":64"#);
    let gateway =
        GatewayProcess::start_with("full", board_at, &event(1, true, "s-1", machine.at), few);
    let mut owner = greeted(&gateway);
    machine.places(&mut owner, 5);
    // Twice as many as it may have descriptors; the process's own limit is set to these.
    let _idle: Vec<TcpStream> = (0..128).map(|_| gateway.connect()).collect();
    machine.places(&mut owner, 7);
    let board_in = bind_when_free(board_at);
    let (from, mut stream) = board(&board_in);
    assert_eq!(from, 1, "it goes on from what it knows");
    let mut new = Machine::new();
    tell(&mut stream, 2, &event(2, true, "s-2", new.at));
    // Until that is taken in, the first machine may be chosen: it refuses for good by closing.
    drop(machine);
    owner.write_all(&set_up(6)).unwrap();
    let (connection, id) = new.next_set_up();
    assert_eq!(id, 6);
    new.accepts(connection, 6);
    while next(&mut owner).1 != 6 {}
}

/// Listens at an address of [`own_address`]. A process that another test starts at this moment may hold the address until
/// it executes its program.
fn bind_when_free(at: SocketAddr) -> TcpListener {
    let began = Instant::now();
    loop {
        match TcpListener::bind(at) {
            Ok(listener) => return listener,
            Err(error) => assert!(began.elapsed() < PATIENCE, "{at}: {error}"),
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn an_address_that_the_one_before_still_holds_is_waited_for() {
    let (machine, (_board, board_at)) = (Machine::new(), listen());
    let at = own_address();
    let before = bind_when_free(at);
    let known = event(1, true, "s-1", machine.at);
    let mut gateway =
        GatewayProcess::start_with("taken", board_at, &known, |_| config(at, board_at, &known));
    gateway.wait_for_log("waits for its address");
    drop(before);
    gateway.at = at;
    // A process that another test is starting may hold the listener for a moment yet, and take connections to their end.
    until("it serves there", || passes_health_check(gateway.at));
}
