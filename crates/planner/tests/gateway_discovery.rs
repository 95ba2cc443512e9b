//! The discovery stream and the configuration while work is under way, on real connections.

mod common;

use common::machine::{Machine, RELEASE};
use common::{GatewayProcess, board, config, event, greeted, listen, message, next, set_up, tell};
use std::io::Write;

#[test]
fn two_signals_over_half_a_configuration_lead_to_the_new_stream_once_it_is_whole() {
    let ((old_in, old_at), (new_in, new_at)) = (listen(), listen());
    let mut machine = Machine::new();
    let first = event(1, true, "s-1", machine.at);
    let gateway = GatewayProcess::start("signals", old_at, &first);
    let (_, mut old) = board(&old_in);
    let whole = config(gateway.at, new_at, &first);
    gateway.while_stopped(|| {
        std::fs::write(&gateway.config, &whole[..whole.len() / 2]).unwrap();
        gateway.signal("-HUP");
        gateway.signal("-HUP");
    });
    gateway.wait_for_log("the old settings hold");
    // Written in place, as an operator might: a second signal while the first is still read.
    std::fs::write(&gateway.config, &whole).unwrap();
    gateway.signal("-HUP");
    let (from, mut new) = board(&new_in);
    assert_eq!(from, 1);
    // Both streams tell the same event: it counts once, and what the old one still tells is read.
    let other = Machine::new();
    for stream in [&mut old, &mut new] {
        tell(
            stream,
            2,
            &event(2, false, "s-2", other.at).replace("Ready", "Terminating"),
        );
    }
    let mut owner = greeted(&gateway);
    machine.places(&mut owner, 5);
}

#[test]
fn a_list_that_shrinks_at_once_leaves_what_is_out_and_what_stands_to_its_end() {
    let ((board_in, board_at), mut machine) = (listen(), Machine::new());
    let gateway = GatewayProcess::start("shrinks", board_at, &event(1, true, "s-1", machine.at));
    let (_, mut stream) = board(&board_in);
    let mut owner = greeted(&gateway);
    owner.write_all(&set_up(5)).unwrap();
    let (connection, _) = machine.next_set_up();
    let other = Machine::new();
    gateway.while_stopped(|| {
        tell(&mut stream, 2, &event(2, true, "s-2", other.at));
        machine.accepts(connection, 5);
    });
    assert_eq!(
        next(&mut owner).0,
        9,
        "its answer counts though its machine is listed no more"
    );
    machine.says(connection, &message(12, 5, &[(222, &[16])]));
    assert_eq!(next(&mut owner), (RELEASE, 5, vec![222, 0, 1, 16]));
}

#[test]
fn an_id_that_comes_again_right_after_its_end_is_a_task_of_its_own() {
    let (mut machine, (_board, board_at)) = (Machine::new(), listen());
    let gateway = GatewayProcess::start("id-again", board_at, &event(1, true, "s-1", machine.at));
    let mut owner = greeted(&gateway);
    for _ in 0..3 {
        let connection = machine.places(&mut owner, 5);
        // Told twice: the second copy comes when nothing of it is known any more, or when the next is under way.
        let over = message(12, 5, &[(222, &[16])]);
        gateway.while_stopped(|| {
            machine.says(connection, &over);
            machine.says(connection, &over);
        });
        assert_eq!(next(&mut owner), (RELEASE, 5, vec![222, 0, 1, 16]));
    }
}
