//! Order in which the queue returns its inputs.

mod common;

use common::*;
use tidespur_gateway::input_queue::{InputQueue, StepNumber};
use tidespur_gateway::message::{MessageKind, RequestId, cause};
use tidespur_gateway::{Input, UpstreamId};

fn is_request(input: &Input) -> bool {
    matches!(
        input,
        Input::DownstreamMessage(..) | Input::DownstreamClosed(_)
    )
}

#[test]
fn completions_are_taken_before_earlier_set_ups() {
    let mut queue = InputQueue::default();
    for id in 1..=1_000 {
        queue.push(Input::DownstreamMessage(OWNER, set_up(id, "web")));
    }
    queue.push(Input::UpstreamMessage(UpstreamId(1), accepted(5)));
    assert!(matches!(
        queue.take_batch()[..],
        [Input::UpstreamMessage(..)]
    ));
    // A completion that arrives while the set-ups are taken waits for one bounded batch only.
    let first = queue.take_batch();
    assert!(first.len() < 100 && first.iter().all(is_request));
    queue.push(Input::UpstreamEnded(UpstreamId(1)));
    assert!(matches!(queue.take_batch()[..], [Input::UpstreamEnded(_)]));
}

#[test]
fn messages_of_one_client_keep_their_order_and_none_is_lost() {
    let mut queue = InputQueue::default();
    let mut last = StepNumber::default();
    for id in 1..=200 {
        last = queue.push(Input::DownstreamMessage(OWNER, set_up(id, "web")));
    }
    queue.push(Input::DownstreamClosed(OWNER));
    let mut seen = Vec::new();
    while !queue.is_empty() {
        assert!(
            !queue.is_drained(OWNER, last),
            "the connection is drained only once all of its messages were taken"
        );
        seen.extend(queue.take_batch());
    }
    assert!(queue.is_drained(OWNER, last));
    let ids = seen.iter().filter_map(|input| match input {
        Input::DownstreamMessage(_, message) => Some(message.id.0),
        _ => None,
    });
    assert!(ids.eq(1..=200));
    assert!(matches!(seen.last(), Some(Input::DownstreamClosed(_))));
}

#[test]
fn a_burst_on_one_connection_does_not_delay_another() {
    let mut queue = InputQueue::default();
    for id in 1..=1_000 {
        queue.push(Input::DownstreamMessage(OWNER, set_up(id, "web")));
    }
    queue.push(Input::DownstreamMessage(OTHER, set_up(2_000, "web")));
    assert!(
        queue
            .take_batch()
            .iter()
            .any(|input| matches!(input, Input::DownstreamMessage(OTHER, _)))
    );
}

#[test]
fn a_cancel_is_a_completion_unless_its_set_up_is_queued() {
    let mut queue = InputQueue::default();
    queue.push(Input::DownstreamMessage(OWNER, set_up(1, "web")));
    assert_eq!(queue.take_batch().len(), 1);
    for id in 2..=200 {
        queue.push(Input::DownstreamMessage(OWNER, set_up(id, "web")));
    }
    queue.push(Input::DownstreamMessage(OWNER, release(1, cause::NORMAL)));
    queue.push(Input::DownstreamMessage(OWNER, release(100, cause::NORMAL)));
    let first = queue.take_batch();
    assert!(
        matches!(&first[..], [Input::DownstreamMessage(_, message)] if message.id == RequestId(1)),
        "{first:?}"
    );
    let mut rest = Vec::new();
    while !queue.is_empty() {
        rest.push(queue.take_batch());
    }
    let id_and_kind = |input: &Input| match input {
        Input::DownstreamMessage(_, message) => Some((message.id.0, message.kind)),
        _ => None,
    };
    // The queued cancel is in the same step as its set-up, so that no attempt begins between the two.
    let step = rest.iter().find(|step| {
        step.iter()
            .any(|input| id_and_kind(input).is_some_and(|m| m.0 == 100))
    });
    let both: Vec<_> = step
        .expect("the set-up is taken")
        .iter()
        .filter_map(id_and_kind)
        .filter(|m| m.0 == 100)
        .collect();
    assert_eq!(
        both,
        [(100, MessageKind::SetUp), (100, MessageKind::Release)]
    );
}

#[test]
fn a_close_by_the_client_is_taken_before_its_set_ups() {
    let mut queue = InputQueue::default();
    for id in 1..=500 {
        queue.push(Input::DownstreamMessage(OWNER, set_up(id, "web")));
    }
    queue.push(Input::DownstreamPeerClosed(OWNER));
    queue.push(Input::DownstreamClosed(OWNER));
    assert!(matches!(
        queue.take_batch()[..],
        [Input::DownstreamPeerClosed(OWNER)]
    ));
}

#[test]
fn requests_are_taken_even_if_each_step_has_completions() {
    let mut queue = InputQueue::default();
    queue.push(Input::DownstreamMessage(OWNER, set_up(1, "web")));
    let mut steps = 0;
    while !queue.is_empty() {
        queue.push(Input::DownstreamMessage(OTHER, release(2, cause::NORMAL)));
        steps += 1;
        if queue
            .take_batch()
            .iter()
            .any(|input| matches!(input, Input::DownstreamMessage(OWNER, _)))
        {
            return;
        }
        assert!(steps < 3, "completions must not block requests");
    }
}
