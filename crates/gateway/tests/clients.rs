//! Clients: who is heard, who is closed, who is told.

mod common;

use common::*;
use tidespur_gateway::message::{Message, MessageKind, RequestId, cause, code};
use tidespur_gateway::{DownstreamId, Input, Output};

#[test]
fn set_ups_that_cant_be_used_are_told_so_at_once_and_reach_no_machine() {
    let bad = |code: u8, value: &[u8]| {
        let mut message = set_up(5, "web");
        message.parameters.retain(|(c, _)| *c != code);
        if value.is_empty() {
            message
        } else {
            message.with(code, value)
        }
    };
    let asks = |text: &str| bad(code::REQUESTED, text.as_bytes());
    let cases = [
        bad(code::CLASS, b"nonsense"),
        bad(code::CLASS, b""),
        bad(code::NAME, b""),
        bad(code::TIMEOUT, b""),
        bad(code::TIMEOUT, b"-5"),
        bad(code::TIMEOUT, b"nan"),
        bad(code::TIMEOUT, b"1e99"),
        bad(code::EXPECTED_DURATION, b"inf"),
        bad(code::EXPECTED_DURATION, b"-1"),
        bad(code::EXPECTED_DURATION, b"\xff"),
        bad(code::REQUESTED, b""),
        asks("cores:-1;memory:2;service:a"),
        asks("cores:NaN;memory:2;service:a"),
        asks("cores:1e9;memory:2;service:a"),
        asks("cores:1;memory:1e9;service:a"),
        asks("cores:1;memory:x;service:a"),
        asks("cores:1;memory:2"),
        asks("cores:1;memory:2;service:"),
    ];
    for message in cases {
        let mut p = Played::new(2);
        p.client_says(OWNER, message.clone());
        let told = p.told(OWNER);
        assert_eq!(told.len(), 1, "{message:?}");
        assert_eq!(
            (told[0].id, told[0].cause()),
            (RequestId(5), Some(cause::INVALID_CONTENT))
        );
        assert!(p.dials().is_empty(), "{message:?}");
    }
}

#[test]
fn a_set_up_without_an_id_is_answered_by_a_close() {
    let mut p = Played::new(2);
    p.client_says(OTHER, set_up(0, "web"));
    assert_eq!(p.closed_clients(), [OTHER]);
    assert!(p.dials().is_empty());
}

#[test]
fn the_id_of_anothers_open_request_does_not_touch_that_one() {
    let mut p = Played::new(2);
    let (line, _) = p.offered(set_up(5, "web"));
    p.client_says(OTHER, set_up(5, "slot"));
    assert_eq!(p.closed_clients(), [OTHER]);
    p.step(Input::DownstreamOpened(DownstreamId(3), address(2)));
    p.client_says(DownstreamId(3), release(5, cause::NORMAL));
    assert!(p.written().is_empty(), "it is not given up either");
    p.machine_says(line, answer(5));
    assert_eq!(p.told(OWNER).len(), 1);
}

#[test]
fn those_who_connect_and_say_nothing_of_use_are_closed() {
    let mut p = Played::new(1);
    p.wait(2.5, None);
    assert_eq!(p.closed_clients(), [OWNER, OTHER]);
    // One that has asked may stay.
    let mut p = Played::new(1);
    p.standing(5, "web");
    p.wait(2.5, None);
    assert_eq!(p.closed_clients(), [OTHER]);
    // Messages that mean nothing, without end.
    let mut p = Played::new(1);
    for _ in 0..1000 {
        p.client_says(OTHER, Message::new(MessageKind::Progress, RequestId(1)));
        if !p.closed_clients().is_empty() {
            return;
        }
    }
    panic!("still there");
}

#[test]
fn where_there_is_no_room_the_silent_give_way_first() {
    let mut p = Played::new(1);
    p.standing(5, "web");
    let mut closed = Vec::new();
    for n in 10..40 {
        p.step(Input::DownstreamOpened(DownstreamId(n), address(9)));
        closed.extend(p.closed_clients());
    }
    assert_eq!(closed.len(), 30 + 2 - 8);
    assert!(!closed.contains(&OWNER));
}

#[test]
fn an_owner_whose_connection_has_gone_is_told_by_another_of_its_own() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.step(Input::DownstreamClosed(OWNER));
    p.machine_says(line, release(5, cause::FAILED));
    assert!(
        p.out
            .iter()
            .all(|o| !matches!(o, Output::WriteDownstream(..))),
        "no way to it yet"
    );
    p.step(Input::DownstreamOpened(DownstreamId(3), address(1)));
    p.client_says(DownstreamId(3), handed(9, "s-1"));
    p.wait(0.2, None);
    assert_eq!(p.told(DownstreamId(3)), [release(5, cause::FAILED)]);
}

#[test]
fn an_owner_ends_a_standing_task_on_any_connection_and_is_owed_nothing() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.client_says(OTHER, release(5, cause::NORMAL));
    assert_eq!(p.written(), [(line, release(5, cause::ENDED))]);
    p.machine_says(line, release(5, cause::ENDED));
    assert!(p.told(OWNER).is_empty());
}

#[test]
fn who_names_a_standing_task_does_not_draw_its_end_to_himself() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.client_says(OTHER, handed(5, "s-1"));
    p.machine_says(line, release(5, cause::NORMAL));
    assert_eq!((p.told(OWNER).len(), p.told(OTHER).len()), (1, 0));
    // Where the owner's connection has gone, it is how the owner comes back.
    p.now += 0.6;
    let (line, _) = p.standing(6, "web");
    p.step(Input::DownstreamClosed(OWNER));
    p.client_says(OTHER, handed(6, "s-1"));
    p.machine_says(line, release(6, cause::NORMAL));
    assert_eq!(p.told(OTHER).len(), 1);
}

#[test]
fn a_release_never_goes_to_one_of_whom_no_task_stood() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.step(Input::DownstreamClosed(OWNER));
    p.step(Input::DownstreamOpened(DownstreamId(3), address(1)));
    p.client_says(DownstreamId(3), set_up(9, "web"));
    p.machine_says(line, release(5, cause::NORMAL));
    assert!(p.told(DownstreamId(3)).is_empty());
}

#[test]
fn an_owner_that_says_it_heard_each_end_stays_connected() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(1000, "web");
    for id in 1..200 {
        p.client_says(OWNER, handed(id, "s-1"));
    }
    for id in 1..200 {
        p.machine_says(line, release(id, cause::NORMAL));
        assert_eq!(p.told(OWNER).len(), 1, "{id}");
        p.client_says(OWNER, Message::new(MessageKind::ReleaseAck, RequestId(id)));
        assert!(p.closed_clients().is_empty(), "{id}");
    }
    // Where nothing was released, it means nothing, and is not listened to without end.
    let closed = (0..100).any(|_| {
        p.client_says(OWNER, Message::new(MessageKind::ReleaseAck, RequestId(1)));
        !p.closed_clients().is_empty()
    });
    assert!(closed);
}

#[test]
fn an_owner_who_came_back_is_not_closed_as_silent() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.step(Input::DownstreamClosed(OWNER));
    p.client_says(OTHER, handed(5, "s-1"));
    p.wait(2.5, None);
    assert!(p.closed_clients().is_empty());
    p.machine_says(line, release(5, cause::NORMAL));
    assert_eq!(p.told(OTHER), [release(5, cause::NORMAL)]);
}
