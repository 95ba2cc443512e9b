//! Releases that machines have to receive: sent again where a connection may have lost them, and bounded.

mod common;

use common::*;
use tidespur_gateway::message::{Message, MessageKind, RequestId, cause, code};
use tidespur_gateway::{Input, UpstreamId};

/// Ends the placed task 5 of the owner.
fn end_task(harness: &mut Harness, upstream: UpstreamId) {
    harness.client_sends(OWNER, release(5, cause::NORMAL));
    assert_eq!(
        harness.sent_to_machines(),
        [(upstream, release(5, cause::ENDED))]
    );
}

/// Releases of task 5 that were written to machines, with their connections.
fn releases_sent(harness: &Harness) -> Vec<UpstreamId> {
    let messages = harness.sent_to_machines().into_iter();
    messages
        .filter(|(_, message)| message.kind == MessageKind::Release && message.id == RequestId(5))
        .map(|(upstream, _)| upstream)
        .collect()
}

/// The connection that maintenance dials next, once it is open. The outputs are those of its opening.
fn next_connection(harness: &mut Harness) -> UpstreamId {
    harness.advance(0.3, Dials::Unanswered);
    let (upstream, _) = harness.dials().pop().expect("the machine is dialled");
    harness.step(Input::UpstreamOpened(upstream));
    upstream
}

fn health_check_reply() -> Message {
    Message::new(MessageKind::HealthCheckReply, RequestId(0)).with(code::CAUSE, &[1])
}

/// Guards against a task that runs on beside its second start, as its end was lost with a reset connection.
#[test]
fn the_end_of_a_task_is_sent_again_when_its_connection_is_reset() {
    let mut harness = Harness::new(1);
    let (first, _) = harness.place(5, "slot");
    end_task(&mut harness, first);
    harness.step(Input::UpstreamEnded(first));
    let second = next_connection(&mut harness);
    assert_eq!(releases_sent(&harness), [second]);
    // The second connection is reset too.
    harness.step(Input::UpstreamEnded(second));
    let third = next_connection(&mut harness);
    assert_eq!(releases_sent(&harness), [third]);
}

/// Guards against an end that is lost as the system does not take its bytes.
#[test]
fn the_end_of_a_task_is_sent_again_when_its_write_fails() {
    let mut harness = Harness::new(1);
    let (first, _) = harness.place(5, "slot");
    end_task(&mut harness, first);
    harness.step(Input::UpstreamWriteFailed(first, None));
    let second = next_connection(&mut harness);
    assert_eq!(releases_sent(&harness), [second]);
}

/// Guards against an end that waits for a dial although another connection is open.
#[test]
fn the_end_of_a_task_is_sent_again_on_another_open_connection() {
    let mut harness = Harness::new(1);
    let (first, _) = harness.place(5, "slot");
    harness.now += 0.6;
    let (second, _) = harness.place(6, "slot");
    harness.client_sends(OWNER, release(5, cause::NORMAL));
    assert_eq!(releases_sent(&harness), [second]);
    harness.step(Input::UpstreamEnded(second));
    harness.advance(0.2, Dials::Unanswered);
    assert_eq!(releases_sent(&harness), [first]);
}

/// Guards against an end that is lost in a partition, which resets no connection.
#[test]
fn the_end_of_a_task_is_sent_again_when_its_connection_is_silent() {
    let mut harness = Harness::new(1);
    let (first, _) = harness.place(5, "slot");
    end_task(&mut harness, first);
    harness.advance(2.4, Dials::Unanswered);
    assert!(harness.closed_upstreams().is_empty());
    harness.advance(0.4, Dials::Unanswered);
    assert_eq!(harness.closed_upstreams(), [first]);
    let (second, _) = harness.dials().pop().expect("the machine is dialled");
    harness.step(Input::UpstreamOpened(second));
    assert_eq!(releases_sent(&harness), [second]);
}

/// Guards against releases that are repeated for ever, and connections that are dialled for them.
#[test]
fn the_end_of_a_task_is_not_sent_again_once_the_machine_has_released_it() {
    let mut harness = Harness::new(1);
    let (first, _) = harness.place(5, "slot");
    end_task(&mut harness, first);
    harness.machine_sends(first, release(5, cause::ENDED));
    harness.step(Input::UpstreamEnded(first));
    harness.advance(5.0, Dials::Unanswered);
    assert!(harness.dials().is_empty());
}

/// Guards against a health check that proves too much: its answer shows only that what was sent before was read.
#[test]
fn only_a_health_check_after_the_end_of_a_task_shows_that_it_was_received() {
    let mut harness = Harness::new(1);
    let (first, _) = harness.place(5, "slot");
    harness.advance(1.2, Dials::Unanswered);
    let checked = |harness: &Harness| {
        let messages = harness.sent_to_machines().into_iter();
        messages
            .filter(|(_, message)| message.kind == MessageKind::HealthCheck)
            .count()
    };
    assert_eq!(checked(&harness), 1);
    // Any message shows that the connection works; the check itself is answered only after the end was sent.
    harness.machine_sends(first, Message::new(MessageKind::Progress, RequestId(5)));
    end_task(&mut harness, first);
    harness.machine_sends(first, health_check_reply());
    harness.advance(1.2, Dials::Unanswered);
    assert_eq!(checked(&harness), 1, "another check follows the end");
    harness.machine_sends(first, health_check_reply());
    harness.step(Input::UpstreamEnded(first));
    harness.advance(5.0, Dials::Unanswered);
    assert!(harness.dials().is_empty(), "the end was received");
}

/// Guards against a task that runs without an owner, as the machine accepted it while its cancel was lost.
#[test]
fn the_cancel_of_an_offer_is_sent_again_when_its_connection_is_reset() {
    let mut harness = Harness::new(1);
    let (first, _) = harness.offer(set_up(5, "slot"));
    harness.client_sends(OWNER, release(5, cause::NORMAL));
    assert_eq!(releases_sent(&harness), [first]);
    harness.step(Input::UpstreamEnded(first));
    let second = next_connection(&mut harness);
    assert_eq!(releases_sent(&harness), [second]);
}

/// Guards against a release of an earlier offer that ends a task which the machine got anew.
#[test]
fn a_release_is_not_sent_again_once_its_task_is_offered_again() {
    let mut harness = Harness::new(1);
    let (first, _) = harness.offer(set_up(5, "slot"));
    harness.client_sends(OWNER, release(5, cause::NORMAL));
    harness.step(Input::UpstreamEnded(first));
    harness.client_sends(OWNER, set_up(5, "slot"));
    let (second, _) = harness.dials().pop().expect("the machine is dialled");
    harness.step(Input::UpstreamOpened(second));
    assert!(releases_sent(&harness).is_empty());
    harness.advance(0.3, Dials::Unanswered);
    assert!(releases_sent(&harness).is_empty());
}

/// Guards against a task that runs on at the successor, as its end waited for the machine that is gone.
#[test]
fn the_end_of_a_task_goes_to_the_machine_that_has_the_address_now() {
    let mut harness = Harness::new(1);
    let (first, _) = harness.place(5, "slot");
    end_task(&mut harness, first);
    harness.step(Input::UpstreamEnded(first));
    let successor = watch_event(2, false, &[(1, "Gone", 0), (2, "Ready", 990_000)]);
    let Input::EndpointsDelivered(mut event) = successor else {
        unreachable!("a watch event")
    };
    event.endpoints[1].address = "127.0.1.1:9".to_owned();
    harness.step(Input::EndpointsDelivered(event));
    let second = next_connection(&mut harness);
    assert_eq!(releases_sent(&harness), [second]);
}

/// Guards against releases that are kept for ever for a machine that is out of reach.
#[test]
fn releases_that_cannot_be_delivered_are_given_up_and_counted() {
    let mut harness = Harness::new(1);
    let (first, _) = harness.place(5, "slot");
    end_task(&mut harness, first);
    harness.step(Input::UpstreamEnded(first));
    harness.advance(59.0, Dials::Refused);
    assert_eq!(harness.gateway.counts().releases_given_up, 0);
    harness.advance(2.0, Dials::Refused);
    assert_eq!(harness.gateway.counts().releases_given_up, 1);
    harness.advance(5.0, Dials::Refused);
    assert!(harness.dials().is_empty());
}
