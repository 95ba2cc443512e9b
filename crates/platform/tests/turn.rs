//! The order in which what came is taken in.

mod common;

use common::*;
use tidespur_platform::turn::Turn;
use tidespur_platform::{Input, LineId};

fn is_asked(input: &Input) -> bool {
    matches!(input, Input::ClientSaid(..) | Input::ClientClosed(_))
}

#[test]
fn ends_and_answers_go_before_a_flood_of_set_ups_that_came_first() {
    let mut turn = Turn::default();
    for id in 1..=1_000 {
        turn.put(Input::ClientSaid(OWNER, set_up(id, "web")));
    }
    turn.put(Input::LineSaid(LineId(1), answer(5)));
    assert!(matches!(turn.take()[..], [Input::LineSaid(..)]));
    // And what comes while the flood is taken in waits for a bounded part of it only.
    let first = turn.take();
    assert!(first.len() < 100 && first.iter().all(is_asked));
    turn.put(Input::LineEnded(LineId(1)));
    assert!(matches!(turn.take()[..], [Input::LineEnded(_)]));
}

#[test]
fn words_of_one_client_keep_their_order_and_none_is_lost() {
    let mut turn = Turn::default();
    let mut tickets = Vec::new();
    for id in 1..=200 {
        tickets.push(turn.put(Input::ClientSaid(OWNER, set_up(id, "web"))));
    }
    tickets.push(turn.put(Input::ClientClosed(OWNER)));
    let mut seen = Vec::new();
    while !turn.is_empty() {
        assert!(tickets.iter().enumerate().all(|(n, &ticket)| turn.taken(ticket) == (n < seen.len())));
        seen.extend(turn.take());
    }
    let ids = seen.iter().filter_map(|input| match input {
        Input::ClientSaid(_, message) => Some(message.id.0),
        _ => None,
    });
    assert!(ids.eq(1..=200));
    assert!(matches!(seen.last(), Some(Input::ClientClosed(_))));
}
