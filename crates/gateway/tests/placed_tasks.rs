//! Placed tasks: hand-overs, ends, and failures of their machines.

mod common;

use common::*;
use tidespur_gateway::Input;
use tidespur_gateway::message::{Message, MessageKind, RequestId, cause, code};

#[test]
fn the_end_of_a_placed_task_is_forwarded_from_any_connection_of_its_machine() {
    let mut harness = Harness::new(1);
    let (first, _) = harness.place(5, "web");
    let (second, _) = {
        harness.advance(0.6, Dials::Unanswered);
        harness.offer(set_up(6, "web"))
    };
    assert_ne!(first, second);
    harness.machine_sends(second, release(5, cause::NORMAL));
    assert_eq!(harness.sent_to(OWNER), [release(5, cause::NORMAL)]);
    assert_eq!(
        harness.sent_to_machines(),
        [(second, Message::new(MessageKind::ReleaseAck, RequestId(5)))]
    );
    // A repeated release is acknowledged and not forwarded again.
    harness.machine_sends(first, release(5, cause::NORMAL));
    assert!(harness.sent_to(OWNER).is_empty());
}

#[test]
fn a_silent_machine_is_health_checked_and_then_fails() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, "web");
    harness.advance(2.0, Dials::Unanswered);
    assert!(
        harness
            .sent_to_machines()
            .iter()
            .any(|(to, m)| *to == upstream && m.kind == MessageKind::HealthCheck)
    );
    assert!(
        harness.sent_to(OWNER).is_empty(),
        "two seconds of silence are not a failure"
    );
    harness.advance(5.9, Dials::Unanswered);
    assert!(harness.closed_upstreams().contains(&upstream));
    assert_eq!(harness.sent_to(OWNER), [release(5, cause::FAILED)]);
}

#[test]
fn a_machine_that_answers_health_checks_keeps_its_tasks() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, "web");
    for _ in 0..20 {
        harness.advance(0.5, Dials::Unanswered);
        assert!(harness.sent_to(OWNER).is_empty());
        if harness
            .sent_to_machines()
            .iter()
            .any(|(_, m)| m.kind == MessageKind::HealthCheck)
        {
            harness.machine_sends(
                upstream,
                Message::new(MessageKind::HealthCheckReply, RequestId(0)).with(code::CAUSE, &[1]),
            );
        }
    }
}

#[test]
fn a_machine_fails_once_its_address_refuses_connections() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, "web");
    harness.step(Input::UpstreamEnded(upstream));
    assert!(
        harness.sent_to(OWNER).is_empty(),
        "a reset alone is not a failure"
    );
    harness.advance(1.0, Dials::Refused);
    assert_eq!(harness.sent_to(OWNER), [release(5, cause::FAILED)]);
}

#[test]
fn tasks_are_lost_when_their_machine_restarts_or_its_address_is_reused() {
    let mut harness = Harness::new(1);
    harness.place(5, "web");
    let started = ((harness.now + 1.0) * 1000.0) as u64;
    harness.now += 2.0;
    harness.step(watch_event(2, false, &[(1, "Ready", started)]));
    assert_eq!(harness.sent_to(OWNER), [release(5, cause::FAILED)]);

    let mut harness = Harness::new(1);
    harness.place(5, "web");
    harness.step(watch_event(2, false, &[(1, "Gone", 0)]));
    assert!(
        harness.sent_to(OWNER).is_empty(),
        "a gone machine may still finish its tasks"
    );
    let text = r#"{"rev":3,"pool":{"reset":false,"instances":[{"instanceId":"new","hostPort":"127.0.1.1:9",
        "zone":"east","machineType":"std","cell":0,"lifecycle":"Ready","startedAtMs":1000500}]}}"#;
    harness.step(Input::EndpointsDelivered(
        tidespur_gateway::discovery::parse_event(&site(), text).unwrap(),
    ));
    assert_eq!(harness.sent_to(OWNER), [release(5, cause::FAILED)]);
}

#[test]
fn a_reused_address_is_detected_in_any_order_of_the_endpoints() {
    for new_first in [false, true] {
        let mut harness = Harness::new(1);
        harness.place(5, "web");
        let entry = |name: &str, lifecycle: &str| {
            format!(
                r#"{{"instanceId":"{name}","hostPort":"127.0.1.1:9","zone":"east","machineType":"std",
                "cell":0,"lifecycle":"{lifecycle}","startedAtMs":1000500}}"#
            )
        };
        let (old, new) = (entry("s-1", "Gone"), entry("new", "Ready"));
        let both = if new_first { [new, old] } else { [old, new] }.join(",");
        let text = format!(r#"{{"rev":3,"pool":{{"reset":false,"instances":[{both}]}}}}"#);
        harness.step(Input::EndpointsDelivered(
            tidespur_gateway::discovery::parse_event(&site(), &text).unwrap(),
        ));
        assert_eq!(
            harness.sent_to(OWNER),
            [release(5, cause::FAILED)],
            "new first: {new_first}"
        );
    }
}

#[test]
fn the_end_of_an_adopted_task_is_forwarded() {
    let mut harness = Harness::new(1);
    harness.client_sends(OWNER, handover(5, "s-1"));
    assert!(
        harness.sent_to(OWNER).is_empty(),
        "a hand-over is not answered"
    );
    harness.advance(0.2, Dials::Unanswered);
    let (upstream, _) = harness.dials()[0].clone();
    harness.step(Input::UpstreamOpened(upstream));
    harness.machine_sends(upstream, release(5, cause::NORMAL));
    assert_eq!(harness.sent_to(OWNER), [release(5, cause::NORMAL)]);
    // An end that arrives before the hand-over is sent with the machine's cause.
    harness.machine_sends(upstream, release(6, cause::NORMAL));
    harness.client_sends(OWNER, handover(6, "s-1"));
    assert_eq!(harness.sent_to(OWNER), [release(6, cause::NORMAL)]);
}

#[test]
fn a_task_adopted_before_its_machine_is_listed_is_kept() {
    let mut harness = Harness::new(1);
    harness.client_sends(OWNER, handover(7, "s-2"));
    harness.advance(1.0, Dials::Unanswered);
    assert!(
        harness.sent_to(OWNER).is_empty() && harness.dials().is_empty(),
        "the address of its machine is not known yet"
    );
    harness.step(watch_event(2, false, &[(2, "Ready", 900_000)]));
    harness.advance(0.3, Dials::Unanswered);
    let (upstream, address) = harness.dials().pop().expect("its machine is dialled");
    assert!(address.starts_with("127.0.1.2:"));
    harness.step(Input::UpstreamOpened(upstream));
    harness.machine_sends(upstream, release(7, cause::NORMAL));
    assert_eq!(harness.sent_to(OWNER), [release(7, cause::NORMAL)]);
}

#[test]
fn a_task_adopted_on_a_machine_that_is_never_listed_fails_within_8_s() {
    let mut harness = Harness::new(1);
    harness.client_sends(OWNER, handover(7, "s-99"));
    // A complete list without the machine is no evidence, as it was never listed.
    harness.step(watch_event(2, true, &[(1, "Ready", 0)]));
    assert!(harness.sent_to(OWNER).is_empty());
    harness.advance(7.9, Dials::Unanswered);
    assert_eq!(harness.sent_to(OWNER), [release(7, cause::FAILED)]);
    assert_eq!(
        harness.gateway.sizes().machines,
        1,
        "the machine is removed"
    );
}

#[test]
fn handovers_beyond_the_limit_of_requests_fail() {
    let mut harness = Harness::new(200);
    let handovers = (1..=40_000)
        .map(|id| Input::DownstreamMessage(OTHER, handover(id, &format!("s-{}", id % 200 + 1))));
    harness
        .gateway
        .step(harness.now, handovers, &mut harness.outputs);
    assert_eq!(harness.sent_to(OTHER).len(), 40_000 - 32_768);
}
