//! Tasks that stand: handed over, ended, lost with their machine.

mod common;

use common::*;
use tidespur_gateway::Input;
use tidespur_gateway::message::{Message, MessageKind, RequestId, cause, code};

#[test]
fn the_end_of_a_standing_task_is_passed_on_from_any_connection_to_its_machine() {
    let mut p = Played::new(1);
    let (first, _) = p.standing(5, "web");
    let (second, _) = {
        p.wait(0.6, None);
        p.offered(set_up(6, "web"))
    };
    assert_ne!(first, second);
    p.machine_says(second, release(5, cause::NORMAL));
    assert_eq!(p.told(OWNER), [release(5, cause::NORMAL)]);
    assert_eq!(
        p.written(),
        [(second, Message::new(MessageKind::ReleaseAck, RequestId(5)))]
    );
    // Told twice, it is heard and not passed on again.
    p.machine_says(first, release(5, cause::NORMAL));
    assert!(p.told(OWNER).is_empty());
}

#[test]
fn a_silent_machine_is_tested_and_lost_in_time() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.wait(2.0, None);
    assert!(
        p.written()
            .iter()
            .any(|(to, m)| *to == line && m.kind == MessageKind::HealthCheck)
    );
    assert!(
        p.told(OWNER).is_empty(),
        "silence for two seconds proves nothing"
    );
    p.wait(5.9, None);
    assert!(p.closed_lines().contains(&line));
    assert_eq!(p.told(OWNER), [release(5, cause::FAILED)]);
}

#[test]
fn a_machine_that_passes_its_tests_keeps_its_tasks() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    for _ in 0..20 {
        p.wait(0.5, None);
        assert!(p.told(OWNER).is_empty());
        if p.written()
            .iter()
            .any(|(_, m)| m.kind == MessageKind::HealthCheck)
        {
            p.machine_says(
                line,
                Message::new(MessageKind::HealthCheckReply, RequestId(0)).with(code::CAUSE, &[1]),
            );
        }
    }
}

#[test]
fn a_dead_process_loses_its_tasks_once_nobody_listens_there() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.step(Input::UpstreamEnded(line));
    assert!(p.told(OWNER).is_empty(), "a reset alone proves nothing");
    p.wait(1.0, Some(true));
    assert_eq!(p.told(OWNER), [release(5, cause::FAILED)]);
}

#[test]
fn tasks_of_before_a_machines_start_and_of_an_address_taken_over_are_lost() {
    let mut p = Played::new(1);
    p.standing(5, "web");
    let started = ((p.now + 1.0) * 1000.0) as u64;
    p.now += 2.0;
    p.step(notice(2, false, &[(1, "Ready", started)]));
    assert_eq!(p.told(OWNER), [release(5, cause::FAILED)]);

    let mut p = Played::new(1);
    p.standing(5, "web");
    p.step(notice(2, false, &[(1, "Gone", 0)]));
    assert!(p.told(OWNER).is_empty(), "it may still finish what it has");
    let text = r#"{"rev":3,"pool":{"reset":false,"instances":[{"instanceId":"new","hostPort":"127.0.1.1:9",
        "zone":"east","machineType":"std","cell":0,"lifecycle":"Ready","startedAtMs":5}]}}"#;
    p.step(Input::EndpointsDelivered(
        tidespur_gateway::discovery::parse_event(&site(), text).unwrap(),
    ));
    assert_eq!(p.told(OWNER), [release(5, cause::FAILED)]);
}

#[test]
fn an_address_taken_over_is_seen_in_whatever_order_it_is_told() {
    for new_first in [false, true] {
        let mut p = Played::new(1);
        p.standing(5, "web");
        let entry = |name: &str, state: &str| {
            format!(
                r#"{{"instanceId":"{name}","hostPort":"127.0.1.1:9","zone":"east","machineType":"std",
                "cell":0,"lifecycle":"{state}","startedAtMs":5}}"#
            )
        };
        let (old, new) = (entry("s-1", "Gone"), entry("new", "Ready"));
        let both = if new_first { [new, old] } else { [old, new] }.join(",");
        let text = format!(r#"{{"rev":3,"pool":{{"reset":false,"instances":[{both}]}}}}"#);
        p.step(Input::EndpointsDelivered(
            tidespur_gateway::discovery::parse_event(&site(), &text).unwrap(),
        ));
        assert_eq!(
            p.told(OWNER),
            [release(5, cause::FAILED)],
            "new first: {new_first}"
        );
    }
}

#[test]
fn what_is_handed_over_ends_as_if_it_had_been_placed_here() {
    let mut p = Played::new(1);
    p.client_says(OWNER, handed(5, "s-1"));
    assert!(p.told(OWNER).is_empty(), "it wants no answer");
    p.wait(0.2, None);
    let (line, _) = p.dials()[0].clone();
    p.step(Input::UpstreamOpened(line));
    p.machine_says(line, release(5, cause::NORMAL));
    assert_eq!(p.told(OWNER), [release(5, cause::NORMAL)]);
    // Told of an end before it was handed over: with the machine's own cause.
    p.machine_says(line, release(6, cause::NORMAL));
    p.client_says(OWNER, handed(6, "s-1"));
    assert_eq!(p.told(OWNER), [release(6, cause::NORMAL)]);
}

#[test]
fn what_is_handed_over_at_a_machine_that_is_listed_a_moment_later_stands_on() {
    let mut p = Played::new(1);
    p.client_says(OWNER, handed(7, "s-2"));
    p.wait(1.0, None);
    assert!(
        p.told(OWNER).is_empty() && p.dials().is_empty(),
        "nobody knows yet where it stands"
    );
    p.step(notice(2, false, &[(2, "Ready", 900_000)]));
    p.wait(0.3, None);
    let (line, address) = p.dials().pop().expect("its machine is called");
    assert!(address.starts_with("127.0.1.2:"));
    p.step(Input::UpstreamOpened(line));
    p.machine_says(line, release(7, cause::NORMAL));
    assert_eq!(p.told(OWNER), [release(7, cause::NORMAL)]);
}

#[test]
fn what_is_handed_over_at_a_machine_that_is_never_listed_is_over_within_eight_seconds() {
    let mut p = Played::new(1);
    p.client_says(OWNER, handed(7, "s-99"));
    // A whole list without it says nothing of one that was never listed.
    p.step(notice(2, true, &[(1, "Ready", 0)]));
    assert!(p.told(OWNER).is_empty());
    p.wait(7.9, None);
    assert_eq!(p.told(OWNER), [release(7, cause::FAILED)]);
    assert_eq!(p.gateway.sizes().machines, 1, "nothing is kept of it");
}

#[test]
fn a_client_that_names_tasks_without_end_is_told_so_in_the_end() {
    let mut p = Played::new(200);
    let all = (1..=40_000)
        .map(|id| Input::DownstreamMessage(OTHER, handed(id, &format!("s-{}", id % 200 + 1))));
    p.gateway.step(p.now, all, &mut p.out);
    assert_eq!(p.told(OTHER).len(), 40_000 - 32_768);
}
