//! Client connections: invalid messages, closing, and routing of releases to owners.

mod common;

use common::*;
use tidespur_gateway::message::{Message, MessageKind, RequestId, cause, code};
use tidespur_gateway::{DownstreamId, Input, Limits, Output, PeerCheck};

#[test]
fn invalid_set_ups_are_rejected_and_reach_no_machine() {
    let with_value = |code: u8, value: &[u8]| {
        let mut message = set_up(5, "web");
        message.parameters.retain(|c| c != code);
        if value.is_empty() {
            message
        } else {
            message.with(code, value)
        }
    };
    let with_requested = |text: &str| with_value(code::REQUESTED, text.as_bytes());
    let cases = [
        with_value(code::CLASS, b"nonsense"),
        with_value(code::CLASS, b""),
        with_value(code::NAME, b""),
        with_value(code::TIMEOUT, b""),
        with_value(code::TIMEOUT, b"-5"),
        with_value(code::TIMEOUT, b"nan"),
        with_value(code::TIMEOUT, b"1e99"),
        with_value(code::EXPECTED_DURATION, b"inf"),
        with_value(code::EXPECTED_DURATION, b"-1"),
        with_value(code::EXPECTED_DURATION, b"\xff"),
        with_value(code::REQUESTED, b""),
        with_requested("cores:-1;memory:2;service:a"),
        with_requested("cores:NaN;memory:2;service:a"),
        with_requested("cores:1e9;memory:2;service:a"),
        with_requested("cores:1;memory:1e9;service:a"),
        with_requested("cores:1;memory:x;service:a"),
        with_requested("cores:1;memory:2"),
        with_requested("cores:1;memory:2;service:"),
    ];
    for message in cases {
        let mut harness = Harness::new(2);
        harness.client_sends(OWNER, message.clone());
        let sent = harness.sent_to(OWNER);
        assert_eq!(sent.len(), 1, "{message:?}");
        assert_eq!(
            (sent[0].id, sent[0].cause()),
            (RequestId(5), Some(cause::INVALID_CONTENT))
        );
        assert!(harness.dials().is_empty(), "{message:?}");
    }
}

#[test]
fn a_set_up_without_an_id_closes_its_connection() {
    let mut harness = Harness::new(2);
    harness.client_sends(OTHER, set_up(0, "web"));
    assert_eq!(harness.closed_clients(), [OTHER]);
    assert!(harness.dials().is_empty());
}

#[test]
fn a_duplicate_id_does_not_affect_the_pending_request() {
    let mut harness = Harness::new(2);
    let (upstream, _) = harness.offer(set_up(5, "web"));
    harness.client_sends(OTHER, set_up(5, "slot"));
    assert_eq!(harness.closed_clients(), [OTHER]);
    harness.step(Input::DownstreamOpened(DownstreamId(3), address(2)));
    harness.client_sends(DownstreamId(3), release(5, cause::NORMAL));
    assert!(
        harness.sent_to_machines().is_empty(),
        "the request is not cancelled either"
    );
    harness.machine_sends(upstream, accepted(5));
    assert_eq!(harness.sent_to(OWNER).len(), 1);
}

#[test]
fn connections_without_a_valid_set_up_are_closed() {
    let mut harness = Harness::new(1);
    harness.advance(2.5, Dials::Unanswered);
    assert_eq!(harness.closed_clients(), [OWNER, OTHER]);
    // A connection with a valid set-up stays.
    let mut harness = Harness::new(1);
    harness.place(5, "web");
    harness.advance(2.5, Dials::Unanswered);
    assert_eq!(harness.closed_clients(), [OTHER]);
    // Too many messages that are ignored.
    let mut harness = Harness::new(1);
    for _ in 0..1000 {
        harness.client_sends(OTHER, Message::new(MessageKind::Progress, RequestId(1)));
        if !harness.closed_clients().is_empty() {
            return;
        }
    }
    panic!("the connection is still open");
}

#[test]
fn at_capacity_connections_without_a_valid_set_up_are_closed_first() {
    let mut harness = Harness::new(1);
    harness.place(5, "web");
    let mut closed = Vec::new();
    for n in 10..40 {
        harness.step(Input::DownstreamOpened(DownstreamId(n), address(9)));
        closed.extend(harness.closed_clients());
    }
    assert_eq!(closed.len(), 30 + 2 - 8);
    assert!(!closed.contains(&OWNER));
}

#[test]
fn a_release_is_sent_on_another_connection_of_the_owner() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, "web");
    harness.step(Input::DownstreamClosed(OWNER));
    harness.machine_sends(upstream, release(5, cause::FAILED));
    assert!(
        harness
            .outputs
            .iter()
            .all(|o| !matches!(o, Output::WriteDownstream(..))),
        "there is no connection to the owner yet"
    );
    harness.step(Input::DownstreamOpened(DownstreamId(3), address(1)));
    harness.client_sends(DownstreamId(3), handover(9, "s-1"));
    harness.advance(0.2, Dials::Unanswered);
    assert_eq!(
        harness.sent_to(DownstreamId(3)),
        [release(5, cause::FAILED)]
    );
}

#[test]
fn an_owner_releases_a_placed_task_on_any_connection_and_gets_no_release() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, "web");
    harness.client_sends(OTHER, release(5, cause::NORMAL));
    assert_eq!(
        harness.sent_to_machines(),
        [(upstream, release(5, cause::ENDED))]
    );
    harness.machine_sends(upstream, release(5, cause::ENDED));
    assert!(harness.sent_to(OWNER).is_empty());
}

#[test]
fn a_handover_does_not_divert_the_release_of_another_owners_task() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, "web");
    harness.client_sends(OTHER, handover(5, "s-1"));
    harness.machine_sends(upstream, release(5, cause::NORMAL));
    assert_eq!(
        (harness.sent_to(OWNER).len(), harness.sent_to(OTHER).len()),
        (1, 0)
    );
    // If the owner's connection is closed, the hand-over makes its sender the owner.
    harness.now += 0.6;
    let (upstream, _) = harness.place(6, "web");
    harness.step(Input::DownstreamClosed(OWNER));
    harness.client_sends(OTHER, handover(6, "s-1"));
    harness.machine_sends(upstream, release(6, cause::NORMAL));
    assert_eq!(harness.sent_to(OTHER).len(), 1);
}

#[test]
fn a_release_is_never_sent_to_a_client_without_placed_tasks() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, "web");
    harness.step(Input::DownstreamClosed(OWNER));
    harness.step(Input::DownstreamOpened(DownstreamId(3), address(1)));
    harness.client_sends(DownstreamId(3), set_up(9, "web"));
    harness.machine_sends(upstream, release(5, cause::NORMAL));
    assert!(harness.sent_to(DownstreamId(3)).is_empty());
}

#[test]
fn acknowledged_releases_are_not_malformed() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(1000, "web");
    for id in 1..200 {
        harness.client_sends(OWNER, handover(id, "s-1"));
    }
    for id in 1..200 {
        harness.machine_sends(upstream, release(id, cause::NORMAL));
        assert_eq!(harness.sent_to(OWNER).len(), 1, "{id}");
        harness.client_sends(OWNER, Message::new(MessageKind::ReleaseAck, RequestId(id)));
        assert!(harness.closed_clients().is_empty(), "{id}");
    }
    // Acknowledgements without a release are malformed, and too many of them close the connection.
    let closed = (0..100).any(|_| {
        harness.client_sends(OWNER, Message::new(MessageKind::ReleaseAck, RequestId(1)));
        !harness.closed_clients().is_empty()
    });
    assert!(closed);
}

#[test]
fn a_reconnected_owner_is_not_closed_for_want_of_a_set_up() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, "web");
    harness.step(Input::DownstreamClosed(OWNER));
    harness.client_sends(OTHER, handover(5, "s-1"));
    harness.advance(2.5, Dials::Unanswered);
    assert!(harness.closed_clients().is_empty());
    harness.machine_sends(upstream, release(5, cause::NORMAL));
    assert_eq!(harness.sent_to(OTHER), [release(5, cause::NORMAL)]);
}

/// Guards against an event loop that checks busy connections in turn for ever: none of them can be closed.
#[test]
fn checks_for_a_surplus_connection_end_when_all_clients_are_busy() {
    let limits = Limits {
        downstreams: 2,
        ..LIMITS
    };
    let mut harness = Harness::with_limits(1, limits);
    assert!(harness.gateway.may_accept());
    let mut inputs = vec![Input::DownstreamOpened(DownstreamId(3), address(3))];
    let mut checks = 0;
    while !inputs.is_empty() && checks < 1_000 {
        harness.now += 0.001;
        let mut outputs = Vec::new();
        harness.gateway.step(harness.now, inputs, &mut outputs);
        inputs = outputs
            .iter()
            .filter_map(|output| match output {
                Output::CheckDownstream(client) => {
                    Some(Input::DownstreamChecked(*client, PeerCheck::Queued))
                }
                _ => None,
            })
            .collect();
        checks += inputs.len();
    }
    assert!(checks < 1_000, "the checks have no end");
    assert!(!harness.gateway.may_accept(), "no client was closed");
    // A later maintenance finds an idle one.
    harness.advance(0.2, Dials::Unanswered);
    assert_eq!(harness.closed_clients().len(), 1);
    assert!(harness.gateway.may_accept());
}
