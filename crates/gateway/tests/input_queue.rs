//! The order in which what came is taken in.

mod common;

use common::*;
use tidespur_gateway::input_queue::{InputQueue, StepNumber};
use tidespur_gateway::message::{MessageKind, RequestId, cause};
use tidespur_gateway::{Input, UpstreamId};

fn is_asked(input: &Input) -> bool {
    matches!(
        input,
        Input::DownstreamMessage(..) | Input::DownstreamClosed(_)
    )
}

#[test]
fn ends_and_answers_go_before_a_flood_of_set_ups_that_came_first() {
    let mut queue = InputQueue::default();
    for id in 1..=1_000 {
        queue.push(Input::DownstreamMessage(OWNER, set_up(id, "web")));
    }
    queue.push(Input::UpstreamMessage(UpstreamId(1), answer(5)));
    assert!(matches!(
        queue.take_batch()[..],
        [Input::UpstreamMessage(..)]
    ));
    // And what comes while the flood is taken in waits for a bounded part of it only.
    let first = queue.take_batch();
    assert!(first.len() < 100 && first.iter().all(is_asked));
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
            "it is read on only once all that it said was taken"
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
fn connections_take_turns_so_that_a_flood_on_one_holds_up_no_other() {
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
fn a_cancel_whose_set_up_was_taken_goes_before_a_flood_and_one_whose_set_up_waits_stays_beside_it()
{
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
    let of = |input: &Input| match input {
        Input::DownstreamMessage(_, message) => Some((message.id.0, message.kind)),
        _ => None,
    };
    // In one step with its set-up, so that no attempt lies between the two.
    let step = rest.iter().find(|step| {
        step.iter()
            .any(|input| of(input).is_some_and(|m| m.0 == 100))
    });
    let both: Vec<_> = step
        .expect("it is taken")
        .iter()
        .filter_map(of)
        .filter(|m| m.0 == 100)
        .collect();
    assert_eq!(
        both,
        [(100, MessageKind::SetUp), (100, MessageKind::Release)]
    );
}

#[test]
fn that_a_client_has_gone_goes_before_all_that_it_asked_for() {
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
fn requests_are_taken_in_however_much_goes_before_them() {
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
        assert!(steps < 3, "a flood of cancels holds up what is asked");
    }
}
