//! Limit on malformed messages of a client: what an owner may send doesn't count, however much of it arrives at once.

mod common;

use common::*;
use tidespur_gateway::DownstreamId;
use tidespur_gateway::message::{Message, MessageKind, RequestId, cause};

/// Requests of one connection that the gateway keeps; further ones are rejected.
const MAX_PENDING: u64 = 256;

fn ack(id: u64) -> Message {
    Message::new(MessageKind::ReleaseAck, RequestId(id))
}

/// Sends a message for each id, and asserts that no connection is closed.
fn assert_not_closed(
    harness: &mut Harness,
    client: DownstreamId,
    ids: std::ops::Range<u64>,
    message: impl Fn(u64) -> Message,
) {
    for id in ids {
        harness.client_sends(client, message(id));
        assert!(harness.closed_clients().is_empty(), "{id}");
    }
}

/// Sends a message for each id; returns whether a connection is closed.
fn is_closed(
    harness: &mut Harness,
    client: DownstreamId,
    ids: std::ops::Range<u64>,
    message: impl Fn(u64) -> Message,
) -> bool {
    ids.into_iter().any(|id| {
        harness.client_sends(client, message(id));
        !harness.closed_clients().is_empty()
    })
}

/// Guards against a connection that is closed over accepted set-ups, as its owner acknowledged rejections.
#[test]
fn acknowledged_rejections_are_not_malformed() {
    let mut harness = Harness::new(1);
    let rejected = MAX_PENDING + 1..MAX_PENDING + 101;
    for id in 1..rejected.end {
        harness.client_sends(OWNER, set_up(id, "slot"));
    }
    assert_eq!(harness.gateway.counts().rejected, 100);
    assert_not_closed(&mut harness, OWNER, rejected.clone(), ack);
    assert_eq!(harness.gateway.sizes().pending, 256);
    assert!(
        is_closed(&mut harness, OWNER, rejected, ack),
        "each counts once"
    );
}

/// Guards against the same for set-ups that owners give up in the moment in which they are rejected.
#[test]
fn releases_that_cross_rejections_are_not_malformed() {
    let mut harness = Harness::new(1);
    for id in 1..101 {
        harness.client_sends(OWNER, set_up(id, "web"));
    }
    harness.advance(7.0, Dials::Unanswered);
    assert_eq!(harness.gateway.sizes().pending, 0, "all were rejected");
    harness.client_sends(OWNER, set_up(1_000, "slot"));
    let give_up = |id| release(id, cause::NORMAL);
    assert_not_closed(&mut harness, OWNER, 1..101, give_up);
    assert_eq!(harness.gateway.sizes().pending, 1);
    assert!(
        is_closed(&mut harness, OWNER, 1..101, give_up),
        "each counts once"
    );
}

/// Guards against the same for tasks that owners end in the moment in which they end by themselves, on another
/// connection than that of their set-up.
#[test]
fn ends_that_cross_the_ends_of_tasks_are_not_malformed() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(1_000, "web");
    for id in 1..101 {
        harness.client_sends(OWNER, handover(id, "s-1"));
    }
    for id in 1..101 {
        harness.machine_sends(upstream, release(id, cause::NORMAL));
    }
    let end = |id| release(id, cause::NORMAL);
    assert_not_closed(&mut harness, OTHER, 1..101, end);
    assert!(
        is_closed(&mut harness, OTHER, 1..101, end),
        "each counts once"
    );
}
