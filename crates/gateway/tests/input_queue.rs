//! The order in which what came is taken in.

mod common;

use common::*;
use tidespur_gateway::input_queue::{InputQueue, Sequence};
use tidespur_gateway::message::{Id, Kind, cause};
use tidespur_gateway::{Input, UpstreamId};

fn is_asked(input: &Input) -> bool {
    matches!(
        input,
        Input::DownstreamSaid(..) | Input::DownstreamClosed(_)
    )
}

#[test]
fn ends_and_answers_go_before_a_flood_of_set_ups_that_came_first() {
    let mut queue = InputQueue::default();
    for id in 1..=1_000 {
        queue.put(Input::DownstreamSaid(OWNER, set_up(id, "web")));
    }
    queue.put(Input::UpstreamSaid(UpstreamId(1), answer(5)));
    assert!(matches!(queue.take()[..], [Input::UpstreamSaid(..)]));
    // And what comes while the flood is taken in waits for a bounded part of it only.
    let first = queue.take();
    assert!(first.len() < 100 && first.iter().all(is_asked));
    queue.put(Input::UpstreamEnded(UpstreamId(1)));
    assert!(matches!(queue.take()[..], [Input::UpstreamEnded(_)]));
}

#[test]
fn messages_of_one_client_keep_their_order_and_none_is_lost() {
    let mut queue = InputQueue::default();
    let mut last = Sequence::default();
    for id in 1..=200 {
        last = queue.put(Input::DownstreamSaid(OWNER, set_up(id, "web")));
    }
    queue.put(Input::DownstreamClosed(OWNER));
    let mut seen = Vec::new();
    while !queue.is_empty() {
        assert!(
            !queue.taken(OWNER, last),
            "it is read on only once all that it said was taken"
        );
        seen.extend(queue.take());
    }
    assert!(queue.taken(OWNER, last));
    let ids = seen.iter().filter_map(|input| match input {
        Input::DownstreamSaid(_, message) => Some(message.id.0),
        _ => None,
    });
    assert!(ids.eq(1..=200));
    assert!(matches!(seen.last(), Some(Input::DownstreamClosed(_))));
}

#[test]
fn connections_take_turns_so_that_a_flood_on_one_holds_up_no_other() {
    let mut queue = InputQueue::default();
    for id in 1..=1_000 {
        queue.put(Input::DownstreamSaid(OWNER, set_up(id, "web")));
    }
    queue.put(Input::DownstreamSaid(OTHER, set_up(2_000, "web")));
    assert!(
        queue
            .take()
            .iter()
            .any(|input| matches!(input, Input::DownstreamSaid(OTHER, _)))
    );
}

#[test]
fn a_cancel_whose_set_up_was_taken_goes_before_a_flood_and_one_whose_set_up_waits_stays_beside_it()
{
    let mut queue = InputQueue::default();
    queue.put(Input::DownstreamSaid(OWNER, set_up(1, "web")));
    assert_eq!(queue.take().len(), 1);
    for id in 2..=200 {
        queue.put(Input::DownstreamSaid(OWNER, set_up(id, "web")));
    }
    queue.put(Input::DownstreamSaid(OWNER, release(1, cause::NORMAL)));
    queue.put(Input::DownstreamSaid(OWNER, release(100, cause::NORMAL)));
    let first = queue.take();
    assert!(
        matches!(&first[..], [Input::DownstreamSaid(_, message)] if message.id == Id(1)),
        "{first:?}"
    );
    let mut rest = Vec::new();
    while !queue.is_empty() {
        rest.push(queue.take());
    }
    let of = |input: &Input| match input {
        Input::DownstreamSaid(_, message) => Some((message.id.0, message.kind)),
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
    assert_eq!(both, [(100, Kind::SetUp), (100, Kind::Release)]);
}

#[test]
fn that_a_client_has_gone_goes_before_all_that_it_asked_for() {
    let mut queue = InputQueue::default();
    for id in 1..=500 {
        queue.put(Input::DownstreamSaid(OWNER, set_up(id, "web")));
    }
    queue.put(Input::DownstreamGone(OWNER));
    queue.put(Input::DownstreamClosed(OWNER));
    assert!(matches!(queue.take()[..], [Input::DownstreamGone(OWNER)]));
}

#[test]
fn requests_are_taken_in_however_much_goes_before_them() {
    let mut queue = InputQueue::default();
    queue.put(Input::DownstreamSaid(OWNER, set_up(1, "web")));
    let mut steps = 0;
    while !queue.is_empty() {
        queue.put(Input::DownstreamSaid(OTHER, release(2, cause::NORMAL)));
        steps += 1;
        if queue
            .take()
            .iter()
            .any(|input| matches!(input, Input::DownstreamSaid(OWNER, _)))
        {
            return;
        }
        assert!(steps < 3, "a flood of cancels holds up what is asked");
    }
}
