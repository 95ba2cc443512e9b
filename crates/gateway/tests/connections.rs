//! Connections to machines: faults, and behaviour at capacity.

mod common;

use common::*;
use std::collections::BTreeMap;
use tidespur_gateway::message::{Message, MessageKind, RequestId, cause, code};
use tidespur_gateway::pool::PoolAction;
use tidespur_gateway::{Input, Limits, Output, UpstreamId};

#[test]
fn a_release_that_arrives_before_a_failed_write_is_read() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, "web");
    harness.client_sends(OWNER, set_up(6, "web"));
    harness.step(Input::UpstreamWriteFailed(upstream, Some(RequestId(6))));
    harness.machine_sends(upstream, release(5, cause::NORMAL));
    assert_eq!(harness.sent_to(OWNER), [release(5, cause::NORMAL)]);
}

#[test]
fn a_failed_write_on_an_idle_connection_is_no_failure_of_the_machine() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, "web");
    harness.client_sends(OWNER, set_up(6, "slot"));
    harness.step(Input::UpstreamWriteFailed(upstream, Some(RequestId(6))));
    assert_eq!(
        harness.dials().len(),
        1,
        "the only machine is dialled again at once, even for a non-idempotent task"
    );
}

#[test]
fn a_release_in_transit_on_a_half_closed_connection_is_read() {
    let mut harness = Harness::new(1);
    let (first, _) = harness.place(5, "web");
    harness.now += 0.6;
    let (second, _) = harness.place(6, "web");
    assert_ne!(first, second);
    let mut closed = Vec::new();
    for _ in 0..40 {
        harness.advance(0.5, Dials::Unanswered);
        closed.extend(harness.closed_upstreams());
        let health_checks: Vec<_> = harness
            .sent_to_machines()
            .into_iter()
            .filter(|(_, m)| m.kind == MessageKind::HealthCheck)
            .collect();
        for (upstream, _) in health_checks {
            harness.machine_sends(
                upstream,
                Message::new(MessageKind::HealthCheckReply, RequestId(0)).with(code::CAUSE, &[1]),
            );
        }
        if !closed.is_empty() {
            break;
        }
    }
    // One of two idle connections is closed, never both while tasks are placed on the machine.
    assert_eq!(closed.len(), 1);
    let id = if closed[0] == first { 5 } else { 6 };
    harness.machine_sends(closed[0], release(id, cause::NORMAL));
    assert_eq!(harness.sent_to(OWNER), [release(id, cause::NORMAL)]);
}

/// With a limit of two connections to machines, set-ups 5 and 7 share a connection that is being dialled.
fn with_shared_dial() -> (Harness, UpstreamId) {
    let mut harness = Harness::with_limits(
        1,
        Limits {
            upstreams: 2,
            ..LIMITS
        },
    );
    let mut dials = Vec::new();
    for id in [5, 6, 7] {
        harness.client_sends(OWNER, set_up(id, "slot"));
        dials.extend(harness.dials());
    }
    assert_eq!(
        dials.len(),
        2,
        "the third set-up shares the connection of the first"
    );
    (harness, dials[0].0)
}

#[test]
fn a_set_up_cancelled_during_a_shared_dial_is_never_sent() {
    let (mut harness, upstream) = with_shared_dial();
    harness.client_sends(OWNER, release(7, cause::NORMAL));
    assert!(
        harness.closed_upstreams().is_empty(),
        "another offer is pending on the connection"
    );
    harness.step(Input::UpstreamOpened(upstream));
    let sent: Vec<RequestId> = harness
        .sent_to_machines()
        .iter()
        .map(|(_, m)| m.id)
        .collect();
    assert_eq!(sent, [RequestId(5)], "a cancelled offer is not sent");
}

#[test]
fn a_failed_write_of_a_cancel_does_not_mark_offers_as_unsent() {
    let (mut harness, upstream) = with_shared_dial();
    harness.step(Input::UpstreamOpened(upstream));
    // The write that fails is the cancel; both set-ups were sent.
    harness.client_sends(OWNER, release(7, cause::NORMAL));
    harness.step(Input::UpstreamWriteFailed(upstream, None));
    assert_eq!(
        harness
            .sent_to(OWNER)
            .iter()
            .map(|m| (m.id, m.cause()))
            .collect::<Vec<_>>(),
        [(RequestId(5), Some(cause::FAILED))]
    );
    assert!(
        harness.dials().is_empty(),
        "the task may have run and is not idempotent"
    );
}

#[test]
fn a_connection_with_two_failed_writes_is_closed() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, "web");
    harness.client_sends(OWNER, set_up(6, "web"));
    harness.step(Input::UpstreamWriteFailed(upstream, Some(RequestId(6))));
    harness.step(Input::UpstreamWriteFailed(upstream, None));
    harness.advance(2.5, Dials::Refused);
    assert!(
        harness.closed_upstreams().contains(&upstream),
        "otherwise its descriptor would leak"
    );
}

/// Advances the time with machines that accept dials and answer health checks, unless they are partitioned. Returns the
/// number of dials by address.
fn advance_with_machines(
    harness: &mut Harness,
    seconds: f64,
    is_partitioned: bool,
) -> BTreeMap<String, u32> {
    let (until, mut dialled) = (harness.now + seconds, BTreeMap::new());
    let mut inputs: Vec<Input> = Vec::new();
    let mut all_outputs = Vec::new();
    while harness.now < until {
        harness.now = harness
            .gateway
            .next_wake()
            .clamp(harness.now + 0.001, until);
        inputs.push(Input::Tick);
        for input in std::mem::take(&mut inputs) {
            harness.step(input);
            for (upstream, address) in harness.dials() {
                *dialled.entry(address).or_default() += 1;
                inputs.extend((!is_partitioned).then_some(Input::UpstreamOpened(upstream)));
            }
            for (upstream, message) in harness.sent_to_machines() {
                let is_answered = message.kind == MessageKind::HealthCheck && !is_partitioned;
                let reply = Message::new(MessageKind::HealthCheckReply, RequestId(0))
                    .with(code::CAUSE, &[1]);
                inputs.extend(is_answered.then_some(Input::UpstreamMessage(upstream, reply)));
            }
            let ended = |output: &Output| match output {
                Output::Upstream(PoolAction::HalfClose(upstream)) => {
                    Some(Input::UpstreamEnded(*upstream))
                }
                _ => None,
            };
            inputs.extend(
                harness
                    .outputs
                    .iter()
                    .filter_map(ended)
                    .filter(|_| !is_partitioned),
            );
            all_outputs.append(&mut harness.outputs);
        }
    }
    harness.outputs = all_outputs;
    dialled
}

#[test]
fn at_capacity_all_machines_are_visited_and_none_fails() {
    let mut harness = Harness::with_limits(
        12,
        Limits {
            upstreams: 4,
            ..LIMITS
        },
    );
    for n in 1..=12 {
        harness.client_sends(OWNER, handover(n, &format!("s-{n}")));
    }
    let dialled = advance_with_machines(&mut harness, 40.0, false);
    assert!(
        harness.sent_to(OWNER).is_empty(),
        "no task is lost: {:?}",
        harness.sent_to(OWNER)
    );
    // The platform allows 8 s until the end of a task is reported, so each machine must be visited more often than
    // that.
    assert_eq!(dialled.len(), 12);
    assert!(dialled.values().all(|&times| times >= 5), "{dialled:?}");
}

#[test]
fn a_machine_that_is_partitioned_for_six_seconds_keeps_its_tasks() {
    let mut harness = Harness::new(1);
    harness.place(5, "web");
    advance_with_machines(&mut harness, 1.5, false);
    advance_with_machines(&mut harness, 6.0, true);
    assert!(
        harness.sent_to(OWNER).is_empty(),
        "six seconds are not a failure"
    );
    advance_with_machines(&mut harness, 5.0, false);
    assert!(harness.sent_to(OWNER).is_empty());
    advance_with_machines(&mut harness, 8.0, true);
    assert_eq!(
        harness.sent_to(OWNER),
        [release(5, cause::FAILED)],
        "a machine that stays partitioned fails within 8 s"
    );
}
