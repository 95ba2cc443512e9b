//! Attempts and offers under faults, one fault per test.

mod common;

use common::*;
use tidespur_gateway::Input;
use tidespur_gateway::message::{Message, MessageKind, RequestId, cause, code};

#[test]
fn a_task_is_offered_and_the_machines_description_forwarded_unchanged() {
    let mut harness = Harness::new(3);
    harness.client_sends(OWNER, set_up(5, "web"));
    let (upstream, _) = harness.dials()[0].clone();
    harness.step(Input::UpstreamOpened(upstream));
    let (sent_on, offer) = harness.sent_to_machines().remove(0);
    assert_eq!(
        (sent_on, offer.kind, offer.id),
        (upstream, MessageKind::SetUp, RequestId(5))
    );
    assert_eq!(offer.get(code::DESCRIPTION), Some(&b"v=0 \x00\xff"[..]));
    assert_eq!(offer.text(code::CLASS), Some("web"));
    assert!(offer.text(code::TIMEOUT).unwrap().parse::<u64>().unwrap() > 0);
    harness.machine_sends(upstream, accepted(5));
    let sent = harness.sent_to(OWNER);
    assert_eq!(sent.len(), 1);
    assert_eq!(
        sent[0].get(code::DESCRIPTION),
        accepted(5).get(code::DESCRIPTION)
    );
}

#[test]
fn after_a_rejection_another_machine_is_tried_and_only_its_answer_counts() {
    let mut harness = Harness::new(3);
    let (first, first_address) = harness.offer(set_up(5, "slot"));
    let full = release(5, cause::FULL).with(code::REASON, b"lack_cpu");
    harness.machine_sends(first, full);
    let (second, second_address) = harness.dials().pop().expect("another machine is tried");
    assert_ne!(first_address, second_address);
    // A late answer of the first machine is ignored.
    harness.machine_sends(first, accepted(5));
    assert!(harness.sent_to(OWNER).is_empty());
    harness.step(Input::UpstreamOpened(second));
    harness.machine_sends(second, accepted(5));
    assert_eq!(harness.sent_to(OWNER).len(), 1);
}

#[test]
fn a_non_idempotent_task_that_may_have_run_fails_when_its_connection_ends() {
    let mut harness = Harness::new(3);
    let (upstream, _) = harness.offer(set_up(5, "slot"));
    harness.step(Input::UpstreamEnded(upstream));
    assert!(harness.dials().is_empty(), "the task is not offered again");
    let sent = harness.sent_to(OWNER);
    assert_eq!(sent.len(), 1);
    assert!(
        ![
            Some(cause::FULL),
            Some(cause::CONGESTED),
            Some(cause::NEVER_SENT)
        ]
        .contains(&sent[0].cause()),
        "a rejection would claim that the task never ran"
    );
}

#[test]
fn a_non_idempotent_task_that_was_never_sent_is_offered_again() {
    for unsent in [Input::UpstreamConnectRefused, Input::UpstreamEnded] {
        let mut harness = Harness::new(3);
        harness.client_sends(OWNER, set_up(5, "slot"));
        let (upstream, _) = harness.dials()[0].clone();
        harness.step(unsent(upstream));
        assert_eq!(harness.dials().len(), 1);
    }
    let mut harness = Harness::new(3);
    let (upstream, _) = harness.offer(set_up(5, "slot"));
    harness.step(Input::UpstreamWriteFailed(upstream, Some(RequestId(5))));
    assert_eq!(harness.dials().len(), 1);
}

#[test]
fn after_a_dial_timeout_a_non_idempotent_task_is_offered_again() {
    let mut harness = Harness::new(3);
    harness.client_sends(OWNER, set_up(5, "slot"));
    let (upstream, _) = harness.dials()[0].clone();
    harness.advance(0.5, Dials::Unanswered);
    assert!(harness.closed_upstreams().contains(&upstream));
    assert!(!harness.dials().is_empty(), "another machine is dialled");
}

#[test]
fn an_answer_after_the_attempts_timeout_is_ignored() {
    let mut harness = Harness::new(2);
    let (first, _) = harness.offer(set_up(5, "web"));
    harness.advance(1.0, Dials::Unanswered);
    assert!(
        harness
            .sent_to_machines()
            .iter()
            .any(|(upstream, m)| *upstream == first && m.cause() == Some(cause::NORMAL))
    );
    assert!(
        harness.closed_upstreams().contains(&first),
        "a connection on which an offer timed out is not reused"
    );
    let (second, _) = harness
        .dials()
        .first()
        .cloned()
        .expect("the task is offered again");
    harness.step(Input::UpstreamOpened(second));
    harness.machine_sends(first, accepted(5));
    assert!(harness.sent_to(OWNER).is_empty());
}

#[test]
fn a_malformed_answer_closes_its_connection() {
    let mut harness = Harness::new(2);
    let (upstream, _) = harness.offer(set_up(5, "web"));
    harness.step(Input::UpstreamMalformed(upstream));
    assert!(harness.closed_upstreams().contains(&upstream));
    let (next, _) = harness
        .dials()
        .first()
        .cloned()
        .expect("the task is offered on another connection");
    assert_ne!(next, upstream);
    // An answer without a description is malformed too.
    harness.step(Input::UpstreamOpened(next));
    harness.machine_sends(next, Message::new(MessageKind::Accepted, RequestId(5)));
    assert!(harness.sent_to(OWNER).is_empty());
    assert!(harness.closed_upstreams().contains(&next));
}

#[test]
fn duplicate_answers_and_answers_with_unknown_ids_are_ignored() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.offer(set_up(5, "web"));
    harness.machine_sends(upstream, accepted(77));
    assert!(harness.outputs.is_empty());
    harness.machine_sends(upstream, accepted(5));
    harness.machine_sends(upstream, accepted(5));
    assert!(harness.outputs.is_empty());
    // The connection is still used.
    harness.client_sends(OWNER, set_up(6, "web"));
    assert_eq!(harness.sent_to_machines()[0].0, upstream);
}

#[test]
fn a_cancelled_set_up_is_cancelled_at_its_machine_and_not_answered() {
    for cancel in [
        Input::DownstreamMessage(OWNER, release(5, cause::NORMAL)),
        Input::DownstreamClosed(OWNER),
    ] {
        let mut harness = Harness::new(2);
        let (upstream, _) = harness.offer(set_up(5, "web"));
        harness.step(cancel);
        assert_eq!(
            harness.sent_to_machines(),
            [(upstream, release(5, cause::NORMAL))]
        );
        harness.machine_sends(upstream, accepted(5));
        harness.advance(7.0, Dials::Unanswered);
        assert!(harness.sent_to(OWNER).is_empty());
    }
}

#[test]
fn a_repeated_watch_event_is_ignored() {
    let mut harness = Harness::new(1);
    harness.step(watch_event(2, false, &[(1, "Terminating", 0)]));
    harness.step(watch_event(1, true, &[(1, "Ready", 0)]));
    harness.client_sends(OWNER, set_up(5, "web"));
    assert!(harness.dials().is_empty(), "the machine is still draining");
}

#[test]
fn all_parameters_except_those_for_schedulers_are_forwarded_in_order() {
    let mut harness = Harness::new(1);
    let extra = set_up(5, "web")
        .with(219, b"a key")
        .with(code::RETRY, b"1")
        .with(250, b"unknown code");
    harness.client_sends(OWNER, extra);
    let (upstream, _) = harness.dials()[0].clone();
    harness.step(Input::UpstreamOpened(upstream));
    let (_, offer) = harness.sent_to_machines().remove(0);
    let codes: Vec<u8> = offer.parameters.iter().map(|(code, _)| code).collect();
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
        (Some(&b"a key"[..]), Some(&b"unknown code"[..]))
    );
}

#[test]
fn a_set_up_must_name_a_tenant_of_the_settings() {
    let settings = SETTINGS.replace(
        r#""odd":[1]"#,
        r#""realms":[{"name":"a","share":0.5},{"name":"b","share":0.5}]"#,
    );
    let tenant = |name: &[u8]| set_up(5, "web").with(code::TENANT, name);
    for (message, is_accepted) in [
        (tenant(b"b"), true),
        (tenant(b"c"), false),
        (set_up(5, "web"), false),
    ] {
        let mut harness = Harness::with_settings(&settings, 1);
        harness.client_sends(OWNER, message);
        assert_eq!(
            harness.sent_to(OWNER),
            if is_accepted {
                vec![]
            } else {
                vec![release(5, cause::INVALID_CONTENT)]
            }
        );
        let dialled = harness.dials();
        assert_eq!(dialled.len(), usize::from(is_accepted));
        if let Some((upstream, _)) = dialled.first() {
            harness.step(Input::UpstreamOpened(*upstream));
            assert_eq!(
                harness.sent_to_machines()[0].1.text(code::TENANT),
                Some("b")
            );
        }
    }
}
