//! A discovery service that is slow or crowded, or that moves while a call to it hangs.

mod common;

use common::machine::Machine;
use common::{
    GatewayProcess, accept, accept_discovery, connect_client, listen, pool_event,
    read_discovery_call, send_event, set_up, write_config,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// How long the service takes to answer a call. The platform gives it 2 s.
const SLOW_ANSWER: Duration = Duration::from_millis(1500);
/// Changes of the address after which the open streams are counted, and the most in a test.
const MIN_ADDRESS_CHANGES: usize = 12;
const MAX_ADDRESS_CHANGES: usize = 60;
const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n: here\n\n";
const UNAVAILABLE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

/// Starts a gateway whose only machine is draining. Event 2 of a test lists a usable one.
fn start_with_draining_machine(
    test: &str,
    discovery: SocketAddr,
    change: impl Fn(String) -> String,
) -> GatewayProcess {
    let draining = pool_event(1, true, "s-1", listen().1).replace("Ready", "Terminating");
    GatewayProcess::start_with(test, discovery, &draining, change)
}

/// Accepts a call and answers it late.
fn answer_slowly(listener: &TcpListener) -> (u64, TcpStream) {
    let mut stream = accept(listener);
    let last_event_id = read_discovery_call(&stream);
    std::thread::sleep(SLOW_ANSWER);
    stream.write_all(OK).unwrap();
    (last_event_id, stream)
}

/// Sends event 2 and expects that a set-up reaches the machine that the event lists.
fn assert_event_is_applied(gateway: &GatewayProcess, stream: &mut TcpStream) {
    let mut machine = Machine::new();
    send_event(stream, 2, &pool_event(2, false, "s-2", machine.address));
    machine.place_task(&mut connect_client(gateway), 5);
}

/// Waits until the gateway has closed the connection.
fn assert_closed(mut stream: TcpStream) {
    assert_eq!(stream.read(&mut [0]).expect("the end of the stream"), 0);
}

fn assert_no_call(listener: &TcpListener) {
    listener.set_nonblocking(true).unwrap();
    let error = listener.accept().expect_err("there is no further call");
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
}

// Guards against a time limit for calls that is below what the platform gives the discovery service.
#[test]
fn a_call_that_is_answered_within_the_time_that_the_platform_allows_is_followed() {
    let (discovery_listener, discovery_address) = listen();
    let gateway = start_with_draining_machine("slow-answer", discovery_address, |c| c);
    let (last_event_id, mut stream) = answer_slowly(&discovery_listener);
    assert_eq!(last_event_id, 1);
    assert_event_is_applied(&gateway, &mut stream);
    assert_no_call(&discovery_listener);
}

#[test]
fn an_event_cut_off_by_a_slow_service_is_read_again_from_its_beginning() {
    let (discovery_listener, discovery_address) = listen();
    let gateway = start_with_draining_machine("slow-cut", discovery_address, |c| c);
    let (_, mut stream) = answer_slowly(&discovery_listener);
    stream.write_all(b"id: 2\ndata: {\"rev\":2,").unwrap();
    drop(stream);
    let (last_event_id, mut stream) = answer_slowly(&discovery_listener);
    assert_eq!(
        last_event_id, 1,
        "the event that was cut off does not count"
    );
    assert_event_is_applied(&gateway, &mut stream);
}

#[test]
fn a_call_that_hangs_is_closed_and_repeated_after_the_last_event() {
    let (discovery_listener, discovery_address) = listen();
    let gateway = start_with_draining_machine("hanging-call", discovery_address, |c| c);
    let hanging = accept(&discovery_listener);
    assert_eq!(read_discovery_call(&hanging), 1);
    assert_closed(hanging);
    gateway.wait_for_log("no discovery stream");
    let (last_event_id, mut stream) = accept_discovery(&discovery_listener);
    assert_eq!(last_event_id, 1);
    assert_event_is_applied(&gateway, &mut stream);
}

#[test]
fn a_new_address_takes_effect_while_a_call_to_the_old_one_hangs() {
    let ((old_listener, old_address), (new_listener, new_address)) = (listen(), listen());
    let gateway = start_with_draining_machine("moved-call", old_address, |c| c);
    let hanging = accept(&old_listener);
    read_discovery_call(&hanging);
    let first = pool_event(1, true, "s-1", listen().1);
    write_config(&gateway.config, gateway.address, new_address, &first);
    gateway.signal("-HUP");
    let (last_event_id, mut stream) = accept_discovery(&new_listener);
    assert_eq!(last_event_id, 1);
    gateway.wait_for_log("discovery call cancelled");
    assert_closed(hanging);
    assert_event_is_applied(&gateway, &mut stream);
    assert_no_call(&old_listener);
}

// Guards against streams that pile up: each change of the address used to prolong the reading of all earlier streams.
#[test]
fn changes_of_the_address_in_quick_succession_leave_two_streams_open() {
    let (first_address, second_address) = (listen(), listen());
    let first_event = pool_event(1, true, "s-1", listen().1);
    let gateway = GatewayProcess::start("moves", first_address.1, &first_event);
    let mut streams = vec![accept_discovery(&first_address.0).1];
    drop(connect_client(&gateway));
    let before = gateway.descriptor_count();
    for change in 1..=MAX_ADDRESS_CHANGES {
        let (listener, address) = [&first_address, &second_address][change % 2];
        write_config(&gateway.config, gateway.address, *address, &first_event);
        gateway.signal("-HUP");
        streams.push(accept_discovery(listener).1);
        // One stream more than before; others may be about to be closed, so a later look counts as well.
        if change >= MIN_ADDRESS_CHANGES && gateway.descriptor_count() <= before + 1 {
            return assert_event_is_applied(&gateway, streams.last_mut().unwrap());
        }
    }
    let after = gateway.descriptor_count();
    panic!("{after} descriptors, {before} before");
}

#[test]
fn a_crowded_service_is_followed_once_it_answers_though_clients_hold_all_descriptors() {
    let (discovery_listener, discovery_address) = listen();
    let few_sockets = |config: String| config.replace(r#""sockets":256"#, r#""sockets":48"#);
    let gateway = start_with_draining_machine("crowded", discovery_address, few_sockets);
    let _idle_clients: Vec<TcpStream> = (0..60).map(|_| gateway.connect()).collect();
    for _ in 0..3 {
        let mut call = accept(&discovery_listener);
        assert_eq!(read_discovery_call(&call), 1);
        call.write_all(UNAVAILABLE).unwrap();
        assert_closed(call);
    }
    let (last_event_id, mut stream) = accept_discovery(&discovery_listener);
    assert_eq!(last_event_id, 1);
    let mut machine = Machine::new();
    send_event(
        &mut stream,
        2,
        &pool_event(2, false, "s-2", machine.address),
    );
    let mut owner = gateway.connect();
    owner.write_all(&set_up(5)).unwrap();
    assert_eq!(machine.wait_for_set_up().1, 5);
}
