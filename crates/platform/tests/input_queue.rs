//! The order in which what came is taken in.

mod common;

use common::*;
use tidespur_platform::input_queue::InputQueue;
use tidespur_platform::{Input, UpstreamId};

fn is_asked(input: &Input) -> bool {
    matches!(input, Input::DownstreamSaid(..) | Input::DownstreamClosed(_))
}

#[test]
fn ends_and_answers_go_before_a_flood_of_set_ups_that_came_first() {
    let mut turn = InputQueue::default();
    for id in 1..=1_000 {
        turn.put(Input::DownstreamSaid(OWNER, set_up(id, "web")));
    }
    turn.put(Input::UpstreamSaid(UpstreamId(1), answer(5)));
    assert!(matches!(turn.take()[..], [Input::UpstreamSaid(..)]));
    // And what comes while the flood is taken in waits for a bounded part of it only.
    let first = turn.take();
    assert!(first.len() < 100 && first.iter().all(is_asked));
    turn.put(Input::UpstreamEnded(UpstreamId(1)));
    assert!(matches!(turn.take()[..], [Input::UpstreamEnded(_)]));
}

#[test]
fn words_of_one_client_keep_their_order_and_none_is_lost() {
    let mut turn = InputQueue::default();
    let mut sequences = Vec::new();
    for id in 1..=200 {
        sequences.push(turn.put(Input::DownstreamSaid(OWNER, set_up(id, "web"))));
    }
    sequences.push(turn.put(Input::DownstreamClosed(OWNER)));
    let mut seen = Vec::new();
    while !turn.is_empty() {
        assert!(sequences.iter().enumerate().all(|(n, &sequence)| turn.taken(sequence) == (n < seen.len())));
        seen.extend(turn.take());
    }
    let ids = seen.iter().filter_map(|input| match input {
        Input::DownstreamSaid(_, message) => Some(message.id.0),
        _ => None,
    });
    assert!(ids.eq(1..=200));
    assert!(matches!(seen.last(), Some(Input::DownstreamClosed(_))));
}
