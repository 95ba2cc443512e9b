//! The program on loopback, with a machine, a discovery stream and an owner scripted here.

mod common;

use common::{
    GatewayProcess, PATIENCE, accept, board, event, listen, message, next, placed, set_up, tell,
    unreachable, write_config,
};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[test]
fn a_task_is_placed_ends_and_both_are_told_to_its_owner() {
    let (board_at, (machine, machine_at)) = (listen(), listen());
    let gateway = GatewayProcess::start("placed", board_at.1, &event(1, true, "s-1", machine_at));
    let mut owner = gateway.connect();
    owner.write_all(&message(52, 9, &[(222, &[0])])).unwrap();
    assert_eq!(next(&mut owner), (53, 9, vec![222, 0, 1, 1]));
    owner.write_all(&set_up(5)).unwrap();
    let mut offer = accept(&machine);
    let (kind, id, body) = next(&mut offer);
    assert_eq!((kind, id), (1, 5));
    assert!(
        body.ends_with(b"\xe1\x00\x03v=0"),
        "the description as it came"
    );
    offer
        .write_all(&message(9, 5, &[(225, b"\x00own")]))
        .unwrap();
    assert_eq!(next(&mut owner), (9, 5, b"\xe1\x00\x04\x00own".to_vec()));
    offer.write_all(&message(12, 5, &[(222, &[16])])).unwrap();
    assert_eq!(next(&mut owner), (12, 5, vec![222, 0, 1, 16]));
    assert_eq!(
        next(&mut offer).0,
        16,
        "the machine is told that it was heard"
    );
}

#[test]
fn an_event_cut_in_half_is_none_and_the_board_is_asked_again_from_the_last_whole_one() {
    let ((board_in, board_at), (machine, machine_at)) = (listen(), listen());
    let gone = event(1, true, "s-1", listen().1).replace("Ready", "Terminating");
    let gateway = GatewayProcess::start("cut", board_at, &gone);
    let mut owner = gateway.connect();
    let (from, mut stream) = board(&board_in);
    assert_eq!(from, 1);
    let second = event(2, false, "s-2", machine_at);
    stream
        .write_all(format!("id: 2\ndata: {}", &second[..second.len() / 2]).as_bytes())
        .unwrap();
    drop(stream);
    let (from, mut stream) = board(&board_in);
    assert_eq!(from, 1, "the half event was none");
    tell(&mut stream, 2, &second);
    owner.write_all(&set_up(5)).unwrap();
    assert_eq!(next(&mut accept(&machine)).1, 5);
}

#[test]
fn another_board_is_followed_after_a_file_that_can_be_read_and_work_goes_on_meanwhile() {
    let ((old_in, old_at), (new_in, new_at)) = (listen(), listen());
    let (machine, machine_at) = listen();
    let first = event(1, true, "s-1", machine_at);
    let gateway = GatewayProcess::start("reload", old_at, &first);
    let mut owner = gateway.connect();
    let (_, _old) = board(&old_in);
    let mut offer = placed(&mut owner, &machine);
    std::fs::write(&gateway.config, "{\"name\":").unwrap();
    gateway.signal("-HUP");
    std::thread::sleep(Duration::from_millis(150));
    write_config(&gateway.config, gateway.at, new_at, &first);
    let (from, mut stream) = board(&new_in);
    assert_eq!(from, 1, "the numbers go on");
    offer.write_all(&message(12, 5, &[(222, &[16])])).unwrap();
    assert_eq!(next(&mut owner).1, 5, "what stood is untouched");
    let (other, other_at) = listen();
    tell(&mut stream, 2, &event(2, true, "s-2", other_at));
    // Until the event is taken in, the first machine may be chosen: it refuses for good by closing.
    drop((machine, offer));
    owner.write_all(&set_up(6)).unwrap();
    assert_eq!(next(&mut accept(&other)).1, 6);
}

#[test]
fn told_to_end_with_open_work_it_answers_it_and_ends_well() {
    let ((_board, board_at), (machine, machine_at)) = (listen(), listen());
    let mut gateway = GatewayProcess::start("end", board_at, &event(1, true, "s-1", machine_at));
    let mut owner = gateway.connect();
    owner.write_all(&set_up(5)).unwrap();
    let mut offer = accept(&machine);
    assert_eq!(next(&mut offer).1, 5);
    gateway.signal("-TERM");
    owner.write_all(&set_up(6)).unwrap();
    let mut second = accept(&machine);
    assert_eq!(
        next(&mut second).1,
        6,
        "what comes after the word is taken too"
    );
    for (stream, id) in [(&mut offer, 5), (&mut second, 6)] {
        stream.write_all(&message(9, id, &[(225, b"own")])).unwrap();
        assert_eq!((next(&mut owner).0, id), (9, id));
        stream.write_all(&message(12, id, &[(222, &[16])])).unwrap();
        assert_eq!(next(&mut owner).0, 12);
    }
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn floods_and_silence_leave_room_for_an_owner() {
    let ((_board, board_at), (machine, machine_at)) = (listen(), listen());
    let gateway = GatewayProcess::start("flood", board_at, &event(1, true, "s-1", machine_at));
    // More than it may have descriptors, some of them saying what can't be read.
    let mut others = Vec::new();
    for n in 0..400 {
        let mut other = gateway.connect();
        if n % 4 == 0 {
            let _ = other.write_all(&[0xff; 64]);
        }
        others.push(other);
    }
    let mut owner = gateway.connect();
    let _offer = placed(&mut owner, &machine);
    // Each of the others is closed in the end.
    for mut other in others {
        let mut rest = Vec::new();
        let _ = other.read_to_end(&mut rest);
        assert!(rest.is_empty());
    }
}

#[test]
fn one_that_sends_half_a_message_and_stays_is_closed_even_if_it_has_asked_before() {
    let ((_board, board_at), (machine, machine_at)) = (listen(), listen());
    let gateway = GatewayProcess::start("half", board_at, &event(1, true, "s-1", machine_at));
    let mut owner = gateway.connect();
    let _offer = placed(&mut owner, &machine);
    owner.write_all(&set_up(6)[..20]).unwrap();
    assert_eq!(owner.read(&mut [0; 16]).expect("a close, not silence"), 0);
}

#[test]
fn a_dial_that_is_given_up_holds_no_descriptor() {
    let (_board, board_at) = listen();
    let machines: Vec<_> = (1..=12).map(|_| unreachable()).collect();
    let told = |(n, machine): (usize, &(_, _, SocketAddr))| {
        event(n as u64 + 1, n == 0, &format!("s-{n}"), machine.2)
    };
    let known: Vec<String> = machines.iter().enumerate().map(told).collect();
    let gateway = GatewayProcess::start("dials", board_at, &known.join(","));
    let mut owner = gateway.connect();
    owner.write_all(&message(52, 9, &[(222, &[0])])).unwrap();
    assert_eq!(next(&mut owner).0, 53);
    let before = gateway.descriptors();
    for id in 1..=6 {
        let mut set_up = set_up(id);
        let wait = set_up
            .windows(4)
            .position(|w| w == b"6000")
            .expect("the wait");
        set_up[wait..wait + 4].copy_from_slice(b"0700");
        owner.write_all(&set_up).unwrap();
    }
    // All twelve are dialled, each is given up after a quarter second, and each request gets its one answer.
    let mut answered: Vec<u64> = (1..=6).map(|_| next(&mut owner).1).collect();
    answered.sort_unstable();
    assert_eq!(answered, [1, 2, 3, 4, 5, 6]);
    // The system itself gives such a connection up after minutes only. One to the board may be counted or not.
    let began = Instant::now();
    while gateway.descriptors() > before + 1 {
        assert!(
            began.elapsed() < PATIENCE,
            "{} descriptors, {before} before",
            gateway.descriptors()
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}
