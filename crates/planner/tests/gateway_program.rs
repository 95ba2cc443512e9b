//! The gateway program end to end on loopback: placement, discovery, reload, shutdown and limits of descriptors.

mod common;

use common::{
    GatewayProcess, TEST_TIMEOUT, accept, accept_discovery, listen, message, place_task,
    pool_event, read_message, send_event, set_up, unresponsive_listener, write_config,
};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[test]
fn the_placement_and_the_end_of_a_task_are_reported_to_its_owner() {
    let ((_discovery, discovery_address), (machine, machine_address)) = (listen(), listen());
    let gateway = GatewayProcess::start(
        "placed",
        discovery_address,
        &pool_event(1, true, "s-1", machine_address),
    );
    let mut owner = gateway.connect();
    owner.write_all(&message(52, 9, &[(222, &[0])])).unwrap();
    assert_eq!(read_message(&mut owner), (53, 9, vec![222, 0, 1, 1]));
    owner.write_all(&set_up(5)).unwrap();
    let mut offer = accept(&machine);
    let (kind, id, body) = read_message(&mut offer);
    assert_eq!((kind, id), (1, 5));
    assert!(
        body.ends_with(b"\xe1\x00\x03v=0"),
        "the description is forwarded unchanged"
    );
    offer
        .write_all(&message(9, 5, &[(225, b"\x00own")]))
        .unwrap();
    assert_eq!(
        read_message(&mut owner),
        (9, 5, b"\xe1\x00\x04\x00own".to_vec())
    );
    offer.write_all(&message(12, 5, &[(222, &[16])])).unwrap();
    assert_eq!(read_message(&mut owner), (12, 5, vec![222, 0, 1, 16]));
    assert_eq!(
        read_message(&mut offer).0,
        16,
        "the release is acknowledged to the machine"
    );
}

#[test]
fn a_truncated_event_is_dropped_and_discovery_resumes_after_the_last_complete_one() {
    let ((discovery_listener, discovery_address), (machine, machine_address)) =
        (listen(), listen());
    let terminating = pool_event(1, true, "s-1", listen().1).replace("Ready", "Terminating");
    let gateway = GatewayProcess::start("cut", discovery_address, &terminating);
    let mut owner = gateway.connect();
    let (last_event_id, mut stream) = accept_discovery(&discovery_listener);
    assert_eq!(last_event_id, 1);
    let second = pool_event(2, false, "s-2", machine_address);
    stream
        .write_all(format!("id: 2\ndata: {}", &second[..second.len() / 2]).as_bytes())
        .unwrap();
    drop(stream);
    let (last_event_id, mut stream) = accept_discovery(&discovery_listener);
    assert_eq!(last_event_id, 1, "the truncated event does not count");
    send_event(&mut stream, 2, &second);
    owner.write_all(&set_up(5)).unwrap();
    assert_eq!(read_message(&mut accept(&machine)).1, 5);
}

#[test]
fn a_new_discovery_address_is_used_once_the_configuration_is_valid_and_tasks_continue() {
    let ((old_listener, old_address), (new_listener, new_address)) = (listen(), listen());
    let (machine, machine_address) = listen();
    let first = pool_event(1, true, "s-1", machine_address);
    let gateway = GatewayProcess::start("reload", old_address, &first);
    let mut owner = gateway.connect();
    let (_, _old) = accept_discovery(&old_listener);
    let mut offer = place_task(&mut owner, &machine);
    std::fs::write(&gateway.config, "{\"name\":").unwrap();
    gateway.signal("-HUP");
    std::thread::sleep(Duration::from_millis(150));
    write_config(&gateway.config, gateway.address, new_address, &first);
    let (last_event_id, mut stream) = accept_discovery(&new_listener);
    assert_eq!(last_event_id, 1, "event ids continue");
    offer.write_all(&message(12, 5, &[(222, &[16])])).unwrap();
    assert_eq!(
        read_message(&mut owner).1,
        5,
        "the placed task is not affected"
    );
    let (other, other_address) = listen();
    send_event(&mut stream, 2, &pool_event(2, true, "s-2", other_address));
    // Until the event is handled, the first machine may be selected. It is closed, so it refuses connections.
    drop((machine, offer));
    owner.write_all(&set_up(6)).unwrap();
    assert_eq!(read_message(&mut accept(&other)).1, 6);
}

#[test]
fn a_shutdown_with_open_tasks_answers_them_and_exits_successfully() {
    let ((_discovery, discovery_address), (machine, machine_address)) = (listen(), listen());
    let mut gateway = GatewayProcess::start(
        "end",
        discovery_address,
        &pool_event(1, true, "s-1", machine_address),
    );
    let mut owner = gateway.connect();
    owner.write_all(&set_up(5)).unwrap();
    let mut offer = accept(&machine);
    assert_eq!(read_message(&mut offer).1, 5);
    gateway.signal("-TERM");
    owner.write_all(&set_up(6)).unwrap();
    let mut second = accept(&machine);
    assert_eq!(
        read_message(&mut second).1,
        6,
        "a set-up after SIGTERM is accepted"
    );
    for (stream, id) in [(&mut offer, 5), (&mut second, 6)] {
        stream.write_all(&message(9, id, &[(225, b"own")])).unwrap();
        assert_eq!((read_message(&mut owner).0, id), (9, id));
        stream.write_all(&message(12, id, &[(222, &[16])])).unwrap();
        assert_eq!(read_message(&mut owner).0, 12);
    }
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn idle_and_malformed_connections_do_not_prevent_a_placement() {
    let ((_discovery, discovery_address), (machine, machine_address)) = (listen(), listen());
    let gateway = GatewayProcess::start(
        "flood",
        discovery_address,
        &pool_event(1, true, "s-1", machine_address),
    );
    // More connections than the gateway may have descriptors. Every fourth sends a malformed message.
    let mut others = Vec::new();
    for n in 0..400 {
        let mut other = gateway.connect();
        if n % 4 == 0 {
            let _ = other.write_all(&[0xff; 64]);
        }
        others.push(other);
    }
    let mut owner = gateway.connect();
    let _offer = place_task(&mut owner, &machine);
    // All other connections are closed eventually.
    for mut other in others {
        let mut received = Vec::new();
        let _ = other.read_to_end(&mut received);
        assert!(received.is_empty());
    }
}

#[test]
fn a_client_that_sends_an_incomplete_message_is_disconnected_even_after_a_placement() {
    let ((_discovery, discovery_address), (machine, machine_address)) = (listen(), listen());
    let gateway = GatewayProcess::start(
        "half",
        discovery_address,
        &pool_event(1, true, "s-1", machine_address),
    );
    let mut owner = gateway.connect();
    let _offer = place_task(&mut owner, &machine);
    owner.write_all(&set_up(6)[..20]).unwrap();
    assert_eq!(
        owner.read(&mut [0; 16]).expect("the connection is closed"),
        0
    );
}

#[test]
fn a_connection_attempt_that_timed_out_holds_no_descriptor() {
    let (_discovery, discovery_address) = listen();
    let machines: Vec<_> = (1..=12).map(|_| unresponsive_listener()).collect();
    let instance = |(n, machine): (usize, &(_, _, SocketAddr))| {
        pool_event(n as u64 + 1, n == 0, &format!("s-{n}"), machine.2)
    };
    let known: Vec<String> = machines.iter().enumerate().map(instance).collect();
    let gateway = GatewayProcess::start("dials", discovery_address, &known.join(","));
    let mut owner = gateway.connect();
    owner.write_all(&message(52, 9, &[(222, &[0])])).unwrap();
    assert_eq!(read_message(&mut owner).0, 53);
    let before = gateway.descriptor_count();
    for id in 1..=6 {
        let mut set_up = set_up(id);
        let timeout = set_up
            .windows(4)
            .position(|w| w == b"6000")
            .expect("the timeout of the task");
        set_up[timeout..timeout + 4].copy_from_slice(b"0700");
        owner.write_all(&set_up).unwrap();
    }
    // A connection to each of the twelve machines is attempted and times out after 0.25 s. Each request gets one
    // answer.
    let mut answered: Vec<u64> = (1..=6).map(|_| read_message(&mut owner).1).collect();
    answered.sort_unstable();
    assert_eq!(answered, [1, 2, 3, 4, 5, 6]);
    // The kernel's own timeout for such a connection is minutes. A connection to discovery may or may not be counted.
    let start = Instant::now();
    while gateway.descriptor_count() > before + 1 {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "{} descriptors, {before} before",
            gateway.descriptor_count()
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}
