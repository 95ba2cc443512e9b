//! Changes of the discovery stream and of the configuration while tasks are in progress, on real connections.

mod common;

use common::machine::{Machine, RELEASE};
use common::{
    GatewayProcess, accept_discovery, config, connect_client, listen, message, pool_event,
    read_message, send_event, set_up,
};
use std::io::Write;

#[test]
fn a_configuration_that_is_half_written_at_the_signal_is_applied_once_it_is_complete() {
    let ((old_listener, old_address), (new_listener, new_address)) = (listen(), listen());
    let mut machine = Machine::new();
    let first = pool_event(1, true, "s-1", machine.address);
    let gateway = GatewayProcess::start("signals", old_address, &first);
    let (_, mut old) = accept_discovery(&old_listener);
    let new_config = config(gateway.address, new_address, &first);
    gateway.while_stopped(|| {
        std::fs::write(&gateway.config, &new_config[..new_config.len() / 2]).unwrap();
        gateway.signal("-HUP");
        gateway.signal("-HUP");
    });
    gateway.wait_for_log("the old settings hold");
    // The file is written in place, as an operator might do; another signal arrives while the file is read again.
    std::fs::write(&gateway.config, &new_config).unwrap();
    gateway.signal("-HUP");
    let (last_event_id, mut new) = accept_discovery(&new_listener);
    assert_eq!(last_event_id, 1);
    // Both streams send the same event. It is applied once, and the old stream is still read.
    let other = Machine::new();
    for stream in [&mut old, &mut new] {
        send_event(
            stream,
            2,
            &pool_event(2, false, "s-2", other.address).replace("Ready", "Terminating"),
        );
    }
    let mut owner = connect_client(&gateway);
    machine.place_task(&mut owner, 5);
}

#[test]
fn offers_and_tasks_on_a_machine_removed_from_the_list_run_to_their_end() {
    let ((discovery_listener, discovery_address), mut machine) = (listen(), Machine::new());
    let gateway = GatewayProcess::start(
        "shrinks",
        discovery_address,
        &pool_event(1, true, "s-1", machine.address),
    );
    let (_, mut stream) = accept_discovery(&discovery_listener);
    let mut owner = connect_client(&gateway);
    owner.write_all(&set_up(5)).unwrap();
    let (connection, _) = machine.wait_for_set_up();
    let other = Machine::new();
    gateway.while_stopped(|| {
        send_event(&mut stream, 2, &pool_event(2, true, "s-2", other.address));
        machine.accept_task(connection, 5);
    });
    assert_eq!(
        read_message(&mut owner).0,
        9,
        "the answer of a machine that is no longer listed counts"
    );
    machine.send(connection, &message(12, 5, &[(222, &[16])]));
    assert_eq!(read_message(&mut owner), (RELEASE, 5, vec![222, 0, 1, 16]));
}

#[test]
fn an_id_that_is_reused_after_the_end_of_its_task_is_a_new_task() {
    let (mut machine, (_discovery, discovery_address)) = (Machine::new(), listen());
    let gateway = GatewayProcess::start(
        "id-again",
        discovery_address,
        &pool_event(1, true, "s-1", machine.address),
    );
    let mut owner = connect_client(&gateway);
    for _ in 0..3 {
        let connection = machine.place_task(&mut owner, 5);
        // Sent twice: the second copy arrives when the task is no longer known, or when the next one is in progress.
        let release = message(12, 5, &[(222, &[16])]);
        gateway.while_stopped(|| {
            machine.send(connection, &release);
            machine.send(connection, &release);
        });
        assert_eq!(read_message(&mut owner), (RELEASE, 5, vec![222, 0, 1, 16]));
    }
}
