//! Faults played at the gateway, one a test.

mod common;

use common::*;
use std::collections::BTreeMap;
use tidespur_platform::message::{Id, Kind, Message, cause, code};
use tidespur_platform::pool::PoolAction;
use tidespur_platform::{DownstreamId, Input, Limits, Output, UpstreamId};

#[test]
fn a_task_is_offered_and_the_machines_description_passed_on_unchanged() {
    let mut p = Played::new(3);
    p.client_says(OWNER, set_up(5, "web"));
    let (line, _) = p.dials()[0].clone();
    p.step(Input::UpstreamOpened(line));
    let (on, offer) = p.written().remove(0);
    assert_eq!((on, offer.kind, offer.id), (line, Kind::SetUp, Id(5)));
    assert_eq!(offer.get(code::DESCRIPTION), Some(&b"v=0 \x00\xff"[..]));
    assert_eq!(offer.text(code::CLASS), Some("web"));
    assert!(offer.text(code::WAIT).unwrap().parse::<u64>().unwrap() > 0);
    p.machine_says(line, answer(5));
    let told = p.told(OWNER);
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].get(code::DESCRIPTION), answer(5).get(code::DESCRIPTION));
}

#[test]
fn a_full_machine_is_followed_by_another_and_one_attempt_is_out_at_a_time() {
    let mut p = Played::new(3);
    let (first, at) = p.offered(set_up(5, "slot"));
    let full = release(5, cause::FULL).with(code::WORD, b"lack_cpu");
    p.machine_says(first, full);
    let (second, to) = p.dials().pop().expect("another machine is tried");
    assert_ne!(at, to);
    // What the first says now is no answer any more.
    p.machine_says(first, answer(5));
    assert!(p.told(OWNER).is_empty());
    p.step(Input::UpstreamOpened(second));
    p.machine_says(second, answer(5));
    assert_eq!(p.told(OWNER).len(), 1);
}

#[test]
fn what_may_have_run_and_must_not_run_twice_fails_when_its_connection_breaks() {
    let mut p = Played::new(3);
    let (line, _) = p.offered(set_up(5, "slot"));
    p.step(Input::UpstreamEnded(line));
    assert!(p.dials().is_empty(), "never sent again");
    let told = p.told(OWNER);
    assert_eq!(told.len(), 1);
    assert!(
        ![Some(34), Some(42), Some(102)].contains(&told[0].cause()),
        "a refusal would claim it never ran"
    );
}

#[test]
fn what_never_left_is_sent_elsewhere_even_if_it_must_not_run_twice() {
    for unsent in [Input::UpstreamRefused, Input::UpstreamEnded] {
        let mut p = Played::new(3);
        p.client_says(OWNER, set_up(5, "slot"));
        let (line, _) = p.dials()[0].clone();
        p.step(unsent(line));
        assert_eq!(p.dials().len(), 1);
    }
    let mut p = Played::new(3);
    let (line, _) = p.offered(set_up(5, "slot"));
    p.step(Input::UpstreamUnwritten(line, Some(Id(5))));
    assert_eq!(p.dials().len(), 1);
}

#[test]
fn a_connection_that_does_not_come_up_proves_that_nothing_ran() {
    let mut p = Played::new(3);
    p.client_says(OWNER, set_up(5, "slot"));
    let (line, _) = p.dials()[0].clone();
    p.wait(0.5, None);
    assert!(p.closed_lines().contains(&line));
    assert!(!p.dials().is_empty(), "another machine is dialled");
}

#[test]
fn an_answer_after_its_time_is_no_second_answer() {
    let mut p = Played::new(2);
    let (first, _) = p.offered(set_up(5, "web"));
    p.wait(1.0, None);
    assert!(p.written().iter().any(|(line, m)| *line == first && m.cause() == Some(cause::NORMAL)));
    assert!(p.closed_lines().contains(&first), "a connection that was silent is used no more");
    let (second, _) = p.dials().first().cloned().expect("sent again");
    p.step(Input::UpstreamOpened(second));
    p.machine_says(first, answer(5));
    assert!(p.told(OWNER).is_empty());
}

#[test]
fn after_a_spoilt_answer_the_connection_carries_nothing_more() {
    let mut p = Played::new(2);
    let (line, _) = p.offered(set_up(5, "web"));
    p.step(Input::UpstreamMalformed(line));
    assert!(p.closed_lines().contains(&line));
    let (next, _) = p.dials().first().cloned().expect("sent again on another connection");
    assert_ne!(next, line);
    // An answer without a description is malformed too.
    p.step(Input::UpstreamOpened(next));
    p.machine_says(next, Message::new(Kind::Answer, Id(5)));
    assert!(p.told(OWNER).is_empty());
    assert!(p.closed_lines().contains(&next));
}

#[test]
fn second_copies_and_answers_under_unknown_ids_do_no_harm() {
    let mut p = Played::new(1);
    let (line, _) = p.offered(set_up(5, "web"));
    p.machine_says(line, answer(77));
    assert!(p.out.is_empty());
    p.machine_says(line, answer(5));
    p.machine_says(line, answer(5));
    assert!(p.out.is_empty());
    // The connection is still of use.
    p.client_says(OWNER, set_up(6, "web"));
    assert_eq!(p.written()[0].0, line);
}

#[test]
fn set_ups_that_cant_be_used_are_told_so_at_once_and_reach_no_machine() {
    let bad = |code: u8, value: &[u8]| {
        let mut message = set_up(5, "web");
        message.parameters.retain(|(c, _)| *c != code);
        if value.is_empty() { message } else { message.with(code, value) }
    };
    let asks = |text: &str| bad(code::ASKS, text.as_bytes());
    let cases = [
        bad(code::CLASS, b"nonsense"),
        bad(code::CLASS, b""),
        bad(code::NAME, b""),
        bad(code::WAIT, b""),
        bad(code::WAIT, b"-5"),
        bad(code::WAIT, b"nan"),
        bad(code::WAIT, b"1e99"),
        bad(code::HINT, b"inf"),
        bad(code::HINT, b"-1"),
        bad(code::HINT, b"\xff"),
        bad(code::ASKS, b""),
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
        assert_eq!((told[0].id, told[0].cause()), (Id(5), Some(cause::CONTENT)));
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
fn a_set_up_given_up_is_given_up_at_its_machine_and_not_answered() {
    for ends in [Input::DownstreamSaid(OWNER, release(5, cause::NORMAL)), Input::DownstreamClosed(OWNER)] {
        let mut p = Played::new(2);
        let (line, _) = p.offered(set_up(5, "web"));
        p.step(ends);
        assert_eq!(p.written(), [(line, release(5, cause::NORMAL))]);
        p.machine_says(line, answer(5));
        p.wait(7.0, None);
        assert!(p.told(OWNER).is_empty());
    }
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
        p.client_says(OTHER, Message::new(Kind::Progress, Id(1)));
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
fn the_end_of_a_standing_task_is_passed_on_from_any_connection_to_its_machine() {
    let mut p = Played::new(1);
    let (first, _) = p.standing(5, "web");
    let (second, _) = {
        p.wait(0.6, None);
        p.offered(set_up(6, "web"))
    };
    assert_ne!(first, second);
    p.machine_says(second, release(5, cause::NORMAL));
    assert_eq!(p.told(OWNER), [release(5, cause::NORMAL)]);
    assert_eq!(p.written(), [(second, Message::new(Kind::Heard, Id(5)))]);
    // Told twice, it is heard and not passed on again.
    p.machine_says(first, release(5, cause::NORMAL));
    assert!(p.told(OWNER).is_empty());
}

#[test]
fn an_owner_whose_connection_has_gone_is_told_by_another_of_its_own() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.step(Input::DownstreamClosed(OWNER));
    p.machine_says(line, release(5, cause::FAILED));
    assert!(p.out.iter().all(|o| !matches!(o, Output::Downstream(..))), "no way to it yet");
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
fn a_silent_machine_is_tested_and_lost_in_time() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.wait(2.0, None);
    assert!(p.written().iter().any(|(to, m)| *to == line && m.kind == Kind::Test));
    assert!(p.told(OWNER).is_empty(), "silence for two seconds proves nothing");
    p.wait(5.9, None);
    assert!(p.closed_lines().contains(&line));
    assert_eq!(p.told(OWNER), [release(5, cause::FAILED)]);
}

#[test]
fn a_machine_that_passes_its_tests_keeps_its_tasks() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    for _ in 0..20 {
        p.wait(0.5, None);
        assert!(p.told(OWNER).is_empty());
        if p.written().iter().any(|(_, m)| m.kind == Kind::Test) {
            p.machine_says(line, Message::new(Kind::Tested, Id(0)).with(code::CAUSE, &[1]));
        }
    }
}

#[test]
fn a_dead_process_loses_its_tasks_once_nobody_listens_there() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.step(Input::UpstreamEnded(line));
    assert!(p.told(OWNER).is_empty(), "a reset alone proves nothing");
    p.wait(1.0, Some(true));
    assert_eq!(p.told(OWNER), [release(5, cause::FAILED)]);
}

#[test]
fn tasks_of_before_a_machines_start_and_of_an_address_taken_over_are_lost() {
    let mut p = Played::new(1);
    p.standing(5, "web");
    let started = ((p.now + 1.0) * 1000.0) as u64;
    p.now += 2.0;
    p.step(notice(2, false, &[(1, "Ready", started)]));
    assert_eq!(p.told(OWNER), [release(5, cause::FAILED)]);

    let mut p = Played::new(1);
    p.standing(5, "web");
    p.step(notice(2, false, &[(1, "Gone", 0)]));
    assert!(p.told(OWNER).is_empty(), "it may still finish what it has");
    let text = r#"{"rev":3,"pool":{"reset":false,"instances":[{"instanceId":"new","hostPort":"127.0.1.1:9",
        "zone":"east","machineType":"std","cell":0,"lifecycle":"Ready","startedAtMs":5}]}}"#;
    p.step(Input::Delivered(tidespur_platform::discovery::event(&site(), text).unwrap()));
    assert_eq!(p.told(OWNER), [release(5, cause::FAILED)]);
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
fn an_address_taken_over_is_seen_in_whatever_order_it_is_told() {
    for new_first in [false, true] {
        let mut p = Played::new(1);
        p.standing(5, "web");
        let entry = |name: &str, state: &str| {
            format!(
                r#"{{"instanceId":"{name}","hostPort":"127.0.1.1:9","zone":"east","machineType":"std",
                "cell":0,"lifecycle":"{state}","startedAtMs":5}}"#
            )
        };
        let (old, new) = (entry("s-1", "Gone"), entry("new", "Ready"));
        let both = if new_first { [new, old] } else { [old, new] }.join(",");
        let text = format!(r#"{{"rev":3,"pool":{{"reset":false,"instances":[{both}]}}}}"#);
        p.step(Input::Delivered(tidespur_platform::discovery::event(&site(), &text).unwrap()));
        assert_eq!(p.told(OWNER), [release(5, cause::FAILED)], "new first: {new_first}");
    }
}

#[test]
fn an_end_that_came_before_a_write_failed_is_not_lost() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.client_says(OWNER, set_up(6, "web"));
    p.step(Input::UpstreamUnwritten(line, Some(Id(6))));
    p.machine_says(line, release(5, cause::NORMAL));
    assert_eq!(p.told(OWNER), [release(5, cause::NORMAL)]);
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
fn what_is_handed_over_ends_as_if_it_had_been_placed_here() {
    let mut p = Played::new(1);
    p.client_says(OWNER, handed(5, "s-1"));
    assert!(p.told(OWNER).is_empty(), "it wants no answer");
    p.wait(0.2, None);
    let (line, _) = p.dials()[0].clone();
    p.step(Input::UpstreamOpened(line));
    p.machine_says(line, release(5, cause::NORMAL));
    assert_eq!(p.told(OWNER), [release(5, cause::NORMAL)]);
    // Told of an end before it was handed over: with the machine's own cause.
    p.machine_says(line, release(6, cause::NORMAL));
    p.client_says(OWNER, handed(6, "s-1"));
    assert_eq!(p.told(OWNER), [release(6, cause::NORMAL)]);
}

#[test]
fn what_is_handed_over_at_a_machine_that_is_listed_a_moment_later_stands_on() {
    let mut p = Played::new(1);
    p.client_says(OWNER, handed(7, "s-2"));
    p.wait(1.0, None);
    assert!(p.told(OWNER).is_empty() && p.dials().is_empty(), "nobody knows yet where it stands");
    p.step(notice(2, false, &[(2, "Ready", 900_000)]));
    p.wait(0.3, None);
    let (line, address) = p.dials().pop().expect("its machine is called");
    assert!(address.starts_with("127.0.1.2:"));
    p.step(Input::UpstreamOpened(line));
    p.machine_says(line, release(7, cause::NORMAL));
    assert_eq!(p.told(OWNER), [release(7, cause::NORMAL)]);
}

#[test]
fn what_is_handed_over_at_a_machine_that_is_never_listed_is_over_within_eight_seconds() {
    let mut p = Played::new(1);
    p.client_says(OWNER, handed(7, "s-99"));
    // A whole list without it says nothing of one that was never listed.
    p.step(notice(2, true, &[(1, "Ready", 0)]));
    assert!(p.told(OWNER).is_empty());
    p.wait(7.9, None);
    assert_eq!(p.told(OWNER), [release(7, cause::FAILED)]);
    assert_eq!(p.gateway.sizes()[4], 1, "nothing is kept of it");
}

#[test]
fn an_event_told_twice_counts_once() {
    let mut p = Played::new(1);
    p.step(notice(2, false, &[(1, "Terminating", 0)]));
    p.step(notice(1, true, &[(1, "Ready", 0)]));
    p.client_says(OWNER, set_up(5, "web"));
    assert!(p.dials().is_empty(), "it still drains");
}

#[test]
fn told_to_end_it_answers_what_is_open_and_then_ends() {
    let mut p = Played::new(1);
    let (line, _) = p.offered(set_up(5, "slot"));
    p.step(Input::Leave);
    p.client_says(OWNER, set_up(6, "web"));
    p.machine_says(line, answer(5));
    assert_eq!(p.told(OWNER)[0].kind, Kind::Answer, "it goes on as before");
    p.step(notice(2, false, &[(1, "Terminating", 0)]));
    p.client_says(OWNER, set_up(7, "web"));
    p.wait(3.6, None);
    let answered = p.told(OWNER).iter().filter(|m| m.kind == Kind::Release && m.id == Id(7)).count();
    assert_eq!(answered, 1);
    assert!(p.out.iter().any(|o| matches!(o, Output::End(_))));
}

#[test]
fn told_to_end_it_passes_on_ends_as_long_as_it_may_and_ends_early_where_nothing_stands() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.step(Input::Leave);
    p.wait(2.0, None);
    assert!(!p.out.iter().any(|o| matches!(o, Output::End(_))));
    p.machine_says(line, release(5, cause::FAILED));
    assert_eq!(p.told(OWNER), [release(5, cause::FAILED)]);
    p.wait(0.2, None);
    assert!(p.out.iter().any(|o| matches!(o, Output::End(_))));
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
        p.client_says(OWNER, Message::new(Kind::Heard, Id(id)));
        assert!(p.closed_clients().is_empty(), "{id}");
    }
    // Where nothing was released, it means nothing, and is not listened to without end.
    let closed = (0..100).any(|_| {
        p.client_says(OWNER, Message::new(Kind::Heard, Id(1)));
        !p.closed_clients().is_empty()
    });
    assert!(closed);
}

#[test]
fn an_end_on_its_way_while_its_connection_is_finished_is_not_lost() {
    let mut p = Played::new(1);
    let (first, _) = p.standing(5, "web");
    p.now += 0.6;
    let (second, _) = p.standing(6, "web");
    assert_ne!(first, second);
    let mut finished = Vec::new();
    for _ in 0..40 {
        p.wait(0.5, None);
        finished.extend(p.closed_lines());
        let tests: Vec<_> = p.written().into_iter().filter(|(_, m)| m.kind == Kind::Test).collect();
        for (line, _) in tests {
            p.machine_says(line, Message::new(Kind::Tested, Id(0)).with(code::CAUSE, &[1]));
        }
        if !finished.is_empty() {
            break;
        }
    }
    // One of two idle connections goes, never both while tasks of ours stand there.
    assert_eq!(finished.len(), 1);
    let id = if finished[0] == first { 5 } else { 6 };
    p.machine_says(finished[0], release(id, cause::NORMAL));
    assert_eq!(p.told(OWNER), [release(id, cause::NORMAL)]);
}

/// With two descriptors for machines, set-ups 5 and 7 share a connection that is being dialled.
fn shared_dial() -> (Played, UpstreamId) {
    let mut p = Played::with(1, Limits { downstreams: 8, upstreams: 2, closing: 2 });
    let mut dials = Vec::new();
    for id in [5, 6, 7] {
        p.client_says(OWNER, set_up(id, "slot"));
        dials.extend(p.dials());
    }
    assert_eq!(dials.len(), 2, "the third set-up shares the connection of the first");
    (p, dials[0].0)
}

#[test]
fn a_set_up_given_up_while_its_shared_connection_is_dialled_never_leaves() {
    let (mut p, line) = shared_dial();
    p.client_says(OWNER, release(7, cause::NORMAL));
    assert!(p.closed_lines().is_empty(), "the other set-up still waits on it");
    p.step(Input::UpstreamOpened(line));
    let left: Vec<Id> = p.written().iter().map(|(_, m)| m.id).collect();
    assert_eq!(left, [Id(5)], "what was given up must not leave");
}

#[test]
fn a_write_that_fails_clears_no_other_set_up_on_the_connection() {
    let (mut p, line) = shared_dial();
    p.step(Input::UpstreamOpened(line));
    // It is the word that one is given up which could not be written: both set-ups have left.
    p.client_says(OWNER, release(7, cause::NORMAL));
    p.step(Input::UpstreamUnwritten(line, None));
    assert_eq!(
        p.told(OWNER).iter().map(|m| (m.id, m.cause())).collect::<Vec<_>>(),
        [(Id(5), Some(cause::FAILED))]
    );
    assert!(p.dials().is_empty(), "it may have run and must not run twice");
}

#[test]
fn a_connection_whose_writes_fail_twice_is_still_closed_in_the_end() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.client_says(OWNER, set_up(6, "web"));
    p.step(Input::UpstreamUnwritten(line, Some(Id(6))));
    p.step(Input::UpstreamUnwritten(line, None));
    p.wait(2.5, Some(true));
    assert!(p.closed_lines().contains(&line), "its descriptor would be held for good");
}

/// Lets time go on with machines that answer, but for those that are cut off. Tells whom was dialled, how often.
fn live(p: &mut Played, seconds: f64, cut: bool) -> BTreeMap<String, u32> {
    let (until, mut dialled) = (p.now + seconds, BTreeMap::new());
    let mut todo: Vec<Input> = Vec::new();
    let mut all = Vec::new();
    while p.now < until {
        p.now = p.gateway.next_wake().clamp(p.now + 0.001, until);
        todo.push(Input::Tick);
        for input in std::mem::take(&mut todo) {
            p.step(input);
            for (line, address) in p.dials() {
                *dialled.entry(address).or_default() += 1;
                todo.extend((!cut).then_some(Input::UpstreamOpened(line)));
            }
            for (line, message) in p.written() {
                let passes = message.kind == Kind::Test && !cut;
                let tested = Message::new(Kind::Tested, Id(0)).with(code::CAUSE, &[1]);
                todo.extend(passes.then_some(Input::UpstreamSaid(line, tested)));
            }
            let finished = |output: &Output| match output {
                Output::Upstream(PoolAction::HalfClose(line)) => Some(Input::UpstreamEnded(*line)),
                _ => None,
            };
            todo.extend(p.out.iter().filter_map(finished).filter(|_| !cut));
            all.append(&mut p.out);
        }
    }
    p.out = all;
    dialled
}

#[test]
fn without_room_for_a_connection_to_each_machine_they_take_turns_and_none_is_lost() {
    let mut p = Played::with(12, Limits { downstreams: 8, upstreams: 4, closing: 2 });
    for n in 1..=12 {
        p.client_says(OWNER, handed(n, &format!("s-{n}")));
    }
    let dialled = live(&mut p, 40.0, false);
    assert!(p.told(OWNER).is_empty(), "what stands there runs on: {:?}", p.told(OWNER));
    // An end that a machine could not tell for want of a connection is owed within 8 s: each is visited sooner.
    assert_eq!(dialled.len(), 12);
    assert!(dialled.values().all(|&times| times >= 5), "{dialled:?}");
}

#[test]
fn a_machine_that_is_cut_off_for_six_seconds_keeps_its_tasks() {
    let mut p = Played::new(1);
    p.standing(5, "web");
    live(&mut p, 1.5, false);
    live(&mut p, 6.0, true);
    assert!(p.told(OWNER).is_empty(), "it is only cut off");
    live(&mut p, 5.0, false);
    assert!(p.told(OWNER).is_empty());
    live(&mut p, 8.0, true);
    assert_eq!(p.told(OWNER), [release(5, cause::FAILED)], "one that does not come back is lost within 8 s");
}
