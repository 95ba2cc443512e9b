//! Messages of machines that a connection may have lost: machines send the ends of tasks again only on a new connection.

mod common;

use common::*;
use tidespur_gateway::message::{Message, MessageKind, RequestId, cause, code};
use tidespur_gateway::pool::PoolAction;
use tidespur_gateway::{Input, Output, UpstreamId};

/// A machine with tasks 5 and 6, each placed on a connection of its own.
fn with_two_connections() -> (Harness, UpstreamId, UpstreamId) {
    let mut harness = Harness::new(1);
    let (first, _) = harness.place(5, "web");
    harness.now += 0.6;
    let (second, _) = harness.place(6, "web");
    assert_ne!(first, second);
    (harness, first, second)
}

/// The machine shows that it is alive.
fn machine_answers(harness: &mut Harness, upstream: UpstreamId) {
    let reply = Message::new(MessageKind::HealthCheckReply, RequestId(0)).with(code::CAUSE, &[1]);
    harness.machine_sends(upstream, reply);
}

/// Advances by a second, in which the machine answers on a connection and accepts others. Returns those.
fn second_with_answers(harness: &mut Harness, upstream: UpstreamId) -> Vec<UpstreamId> {
    let mut opened = Vec::new();
    for _ in 0..10 {
        harness.advance(0.1, Dials::Unanswered);
        for (dialled, _) in harness.dials() {
            harness.step(Input::UpstreamOpened(dialled));
            opened.push(dialled);
        }
        machine_answers(harness, upstream);
    }
    opened
}

/// Guards against ends that are never told: a partition lost them with one connection, and another one is open after it.
#[test]
fn a_new_connection_is_dialled_after_a_silent_one_was_closed_while_another_works() {
    let (mut harness, first, second) = with_two_connections();
    harness.advance(2.7, Dials::Unanswered);
    let closed = harness.closed_upstreams();
    let working = if closed.contains(&first) {
        second
    } else {
        first
    };
    assert!(closed.contains(&first) || closed.contains(&second));
    // The partition ends while the dials made in it time out.
    machine_answers(&mut harness, working);
    let opened = second_with_answers(&mut harness, working);
    assert_eq!(opened.len(), 1, "once is enough");
    harness.machine_sends(opened[0], release(5, cause::NORMAL));
    assert_eq!(harness.sent_to(OWNER), [release(5, cause::NORMAL)]);
    assert!(second_with_answers(&mut harness, working).is_empty());
}

/// Guards against an end that is lost with the reset of one of two connections.
#[test]
fn a_new_connection_is_dialled_after_a_reset_while_another_works() {
    let (mut harness, first, second) = with_two_connections();
    harness.step(Input::UpstreamReset(first));
    assert_eq!(second_with_answers(&mut harness, second).len(), 1);
    assert!(second_with_answers(&mut harness, second).is_empty());
}

/// Guards against an end that is lost with a connection which the machine does not close.
#[test]
fn a_new_connection_is_dialled_after_a_half_closed_one_timed_out() {
    let (mut harness, first, second) = with_two_connections();
    // No byte of a message was sent: the connection is read until the machine closes it.
    harness.step(Input::UpstreamWriteFailed(first, None));
    assert!(second_with_answers(&mut harness, second).is_empty());
    let mut opened = second_with_answers(&mut harness, second);
    opened.extend(second_with_answers(&mut harness, second));
    assert_eq!(opened.len(), 1);
}

/// Guards against a dial for each connection that machines close as idle: all that they sent was read.
#[test]
fn no_connection_is_dialled_after_a_close_by_the_machine_while_another_works() {
    let (mut harness, first, second) = with_two_connections();
    harness.step(Input::UpstreamEnded(first));
    assert!(second_with_answers(&mut harness, second).is_empty());
}

/// Guards against a connection that the machine accepted before it wrote what was lost.
#[test]
fn a_connection_that_was_dialled_before_the_loss_is_not_enough() {
    let (mut harness, first, second) = with_two_connections();
    harness.now += 0.6;
    harness.client_sends(OWNER, set_up(7, "web"));
    let (earlier, _) = harness.dials().pop().expect("the machine is dialled");
    harness.now += 0.01;
    harness.step(Input::UpstreamReset(first));
    harness.step(Input::UpstreamOpened(earlier));
    harness.machine_sends(earlier, accepted(7));
    assert_eq!(second_with_answers(&mut harness, second).len(), 1);
}

/// Guards against ends that a machine writes to a connection in a partition, and that arrive after it was given up.
#[test]
fn a_silent_connection_is_read_until_its_machine_counts_as_failed() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, "web");
    harness.advance(2.7, Dials::Unanswered);
    let half_close = Output::Upstream(PoolAction::HalfClose(upstream));
    assert!(harness.outputs.contains(&half_close));
    harness.advance(4.0, Dials::Unanswered);
    harness.machine_sends(upstream, release(5, cause::NORMAL));
    assert_eq!(harness.sent_to(OWNER), [release(5, cause::NORMAL)]);
    harness.advance(4.0, Dials::Unanswered);
    let close = Output::Upstream(PoolAction::Close(upstream));
    assert!(harness.outputs.contains(&close), "its descriptor is freed");
}

/// Guards against an offer that was ended, and whose rest is sent before the half-close of its connection.
#[test]
fn a_silent_connection_with_a_part_of_an_offer_is_closed() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, "web");
    harness.client_sends(OWNER, set_up(6, "web"));
    harness.step(Input::UpstreamPartiallyWritten(upstream, RequestId(6)));
    harness.advance(2.7, Dials::Unanswered);
    let close = Output::Upstream(PoolAction::Close(upstream));
    assert!(harness.outputs.contains(&close));
}
