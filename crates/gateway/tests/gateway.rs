//! Faults played at the gateway, one a test.

mod common;

use common::*;
use tidespur_gateway::Input;
use tidespur_gateway::message::{Message, MessageKind, RequestId, cause, code};

#[test]
fn a_task_is_offered_and_the_machines_description_passed_on_unchanged() {
    let mut p = Played::new(3);
    p.client_says(OWNER, set_up(5, "web"));
    let (line, _) = p.dials()[0].clone();
    p.step(Input::UpstreamOpened(line));
    let (on, offer) = p.written().remove(0);
    assert_eq!(
        (on, offer.kind, offer.id),
        (line, MessageKind::SetUp, RequestId(5))
    );
    assert_eq!(offer.get(code::DESCRIPTION), Some(&b"v=0 \x00\xff"[..]));
    assert_eq!(offer.text(code::CLASS), Some("web"));
    assert!(offer.text(code::TIMEOUT).unwrap().parse::<u64>().unwrap() > 0);
    p.machine_says(line, answer(5));
    let told = p.told(OWNER);
    assert_eq!(told.len(), 1);
    assert_eq!(
        told[0].get(code::DESCRIPTION),
        answer(5).get(code::DESCRIPTION)
    );
}

#[test]
fn a_full_machine_is_followed_by_another_and_one_attempt_is_out_at_a_time() {
    let mut p = Played::new(3);
    let (first, at) = p.offered(set_up(5, "slot"));
    let full = release(5, cause::FULL).with(code::REASON, b"lack_cpu");
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
    for unsent in [Input::UpstreamConnectRefused, Input::UpstreamEnded] {
        let mut p = Played::new(3);
        p.client_says(OWNER, set_up(5, "slot"));
        let (line, _) = p.dials()[0].clone();
        p.step(unsent(line));
        assert_eq!(p.dials().len(), 1);
    }
    let mut p = Played::new(3);
    let (line, _) = p.offered(set_up(5, "slot"));
    p.step(Input::UpstreamWriteFailed(line, Some(RequestId(5))));
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
    assert!(
        p.written()
            .iter()
            .any(|(line, m)| *line == first && m.cause() == Some(cause::NORMAL))
    );
    assert!(
        p.closed_lines().contains(&first),
        "a connection that was silent is used no more"
    );
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
    let (next, _) = p
        .dials()
        .first()
        .cloned()
        .expect("sent again on another connection");
    assert_ne!(next, line);
    // An answer without a description is malformed too.
    p.step(Input::UpstreamOpened(next));
    p.machine_says(next, Message::new(MessageKind::Accepted, RequestId(5)));
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
fn a_set_up_given_up_is_given_up_at_its_machine_and_not_answered() {
    for ends in [
        Input::DownstreamMessage(OWNER, release(5, cause::NORMAL)),
        Input::DownstreamClosed(OWNER),
    ] {
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
fn an_event_told_twice_counts_once() {
    let mut p = Played::new(1);
    p.step(notice(2, false, &[(1, "Terminating", 0)]));
    p.step(notice(1, true, &[(1, "Ready", 0)]));
    p.client_says(OWNER, set_up(5, "web"));
    assert!(p.dials().is_empty(), "it still drains");
}

#[test]
fn all_that_is_not_for_schedulers_alone_goes_on_to_the_machine_in_its_order() {
    let mut p = Played::new(1);
    let extra = set_up(5, "web")
        .with(219, b"a key")
        .with(code::RETRY, b"1")
        .with(250, b"new to us");
    p.client_says(OWNER, extra);
    let (line, _) = p.dials()[0].clone();
    p.step(Input::UpstreamOpened(line));
    let (_, offer) = p.written().remove(0);
    let codes: Vec<u8> = offer.parameters.iter().map(|(code, _)| *code).collect();
    assert_eq!(
        codes,
        [
            code::CLASS,
            code::TIMEOUT,
            code::NAME,
            code::DESCRIPTION,
            219,
            250
        ]
    );
    assert_eq!(
        (offer.get(219), offer.get(250)),
        (Some(&b"a key"[..]), Some(&b"new to us"[..]))
    );
}

#[test]
fn where_the_settings_have_tenants_a_set_up_names_one_of_them() {
    let info = INFO.replace(
        r#""odd":[1]"#,
        r#""realms":[{"name":"a","share":0.5},{"name":"b","share":0.5}]"#,
    );
    let tenant = |name: &[u8]| set_up(5, "web").with(code::TENANT, name);
    for (message, taken) in [
        (tenant(b"b"), true),
        (tenant(b"c"), false),
        (set_up(5, "web"), false),
    ] {
        let mut p = Played::of(&info, 1);
        p.client_says(OWNER, message);
        assert_eq!(
            p.told(OWNER),
            if taken {
                vec![]
            } else {
                vec![release(5, cause::INVALID_CONTENT)]
            }
        );
        let dialled = p.dials();
        assert_eq!(dialled.len(), usize::from(taken));
        if let Some((line, _)) = dialled.first() {
            p.step(Input::UpstreamOpened(*line));
            assert_eq!(p.written()[0].1.text(code::TENANT), Some("b"));
        }
    }
}
