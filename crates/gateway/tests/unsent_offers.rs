//! Offers that are not sent yet: why they wait, and how they are withdrawn.

mod common;

use common::*;
use tidespur_gateway::message::{MessageKind, RequestId, cause};
use tidespur_gateway::pool::PoolAction;
use tidespur_gateway::{Input, Output, PeerCheck, UpstreamId};

/// Handles one input and leaves the checks of clients unanswered; returns the clients to check.
fn step_without_answers(
    harness: &mut Harness,
    input: Input,
) -> Vec<tidespur_gateway::DownstreamId> {
    harness.outputs.clear();
    harness
        .gateway
        .step(harness.now, [input], &mut harness.outputs);
    let checks = |output: &Output| match output {
        Output::CheckDownstream(client) => Some(*client),
        _ => None,
    };
    harness.outputs.iter().filter_map(checks).collect()
}

/// The offer that was written: connection, id and bytes.
fn written_offer(harness: &Harness) -> Option<(UpstreamId, RequestId, Vec<u8>)> {
    harness.outputs.iter().find_map(|output| match output {
        Output::Upstream(PoolAction::Offer(upstream, id, bytes)) => {
            Some((*upstream, *id, bytes.clone()))
        }
        _ => None,
    })
}

/// One machine with one idle connection, on which a message was just received.
fn with_fresh_connection(class: &str) -> (Harness, UpstreamId) {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, class);
    (harness, upstream)
}

#[test]
fn an_offer_is_sent_only_after_a_check_of_its_client() {
    let (mut harness, upstream) = with_fresh_connection("web");
    assert_eq!(
        step_without_answers(
            &mut harness,
            Input::DownstreamMessage(OWNER, set_up(6, "web"))
        ),
        [OWNER]
    );
    assert_eq!(written_offer(&harness), None);
    // The close that the check finds is handled before its result.
    step_without_answers(&mut harness, Input::DownstreamPeerClosed(OWNER));
    step_without_answers(
        &mut harness,
        Input::DownstreamChecked(OWNER, PeerCheck::Queued),
    );
    assert_eq!(written_offer(&harness), None);
    assert!(
        harness.sent_to_machines().is_empty(),
        "an offer that was never sent is not cancelled at its machine"
    );
    // An offer of another client is sent after the check of that client.
    assert_eq!(
        step_without_answers(
            &mut harness,
            Input::DownstreamMessage(OTHER, set_up(7, "web"))
        ),
        [OTHER]
    );
    step_without_answers(
        &mut harness,
        Input::DownstreamChecked(OTHER, PeerCheck::Idle),
    );
    assert_eq!(
        written_offer(&harness).map(|o| (o.0, o.1)),
        Some((upstream, RequestId(7)))
    );
}

#[test]
fn offers_of_a_client_with_unread_bytes_wait_until_all_is_read() {
    let (mut harness, _) = with_fresh_connection("web");
    step_without_answers(
        &mut harness,
        Input::DownstreamMessage(OWNER, set_up(6, "web")),
    );
    step_without_answers(
        &mut harness,
        Input::DownstreamChecked(OWNER, PeerCheck::MoreUnread),
    );
    assert_eq!(written_offer(&harness), None);
    let recheck_at = harness.gateway.next_wake();
    assert!(recheck_at - harness.now < 0.05, "the next check is soon");
    harness.now = recheck_at;
    assert_eq!(step_without_answers(&mut harness, Input::Tick), [OWNER]);
    step_without_answers(
        &mut harness,
        Input::DownstreamChecked(OWNER, PeerCheck::Queued),
    );
    assert_eq!(written_offer(&harness).map(|o| o.1), Some(RequestId(6)));
}

#[test]
fn an_offer_on_a_blocked_connection_is_queued_and_can_be_cancelled() {
    let (mut harness, upstream) = with_fresh_connection("web");
    for is_cancelled in [false, true] {
        let id = 6 + u64::from(is_cancelled);
        harness.client_sends(OWNER, set_up(id, "web"));
        let (sent_on, _, bytes) = written_offer(&harness).expect("the offer is written");
        assert_eq!(sent_on, upstream);
        harness.step(Input::UpstreamBlocked(upstream, RequestId(id), bytes));
        if is_cancelled {
            harness.client_sends(OWNER, release(id, cause::NORMAL));
            assert!(
                harness.sent_to_machines().is_empty(),
                "no byte of the offer was sent"
            );
        }
        harness.step(Input::UpstreamDrained(upstream));
        assert_eq!(
            written_offer(&harness).map(|o| o.1),
            (!is_cancelled).then_some(RequestId(id))
        );
        if !is_cancelled {
            harness.machine_sends(upstream, accepted(id));
        }
    }
}

#[test]
fn cancelling_a_partially_written_offer_closes_its_connection() {
    let (mut harness, upstream) = with_fresh_connection("web");
    harness.client_sends(OWNER, set_up(6, "web"));
    harness.step(Input::UpstreamPartiallyWritten(upstream, RequestId(6)));
    harness.client_sends(OWNER, release(6, cause::NORMAL));
    // Otherwise the rest of the offer would be sent as soon as the machine reads.
    assert!(
        harness
            .outputs
            .contains(&Output::Upstream(PoolAction::Close(upstream))),
        "{:?}",
        harness.outputs
    );
    assert!(harness.sent_to_machines().is_empty());
}

#[test]
fn an_unsent_offer_that_times_out_has_not_run() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.offer(set_up(6, "slot"));
    let (_, _, bytes) = written_offer(&harness).expect("the offer is written");
    harness.step(Input::UpstreamBlocked(upstream, RequestId(6), bytes));
    harness.advance(6.5, Dials::Refused);
    let sent: Vec<_> = harness
        .sent_to(OWNER)
        .into_iter()
        .map(|m| m.cause())
        .collect();
    assert_eq!(
        sent,
        [Some(cause::FULL)],
        "the task is not idempotent, but never ran"
    );
}

#[test]
fn a_drain_withdraws_offers_that_wait_for_a_dial() {
    let mut harness = Harness::new(1);
    harness.client_sends(OWNER, set_up(5, "slot"));
    let (upstream, _) = harness.dials().pop().expect("the machine is dialled");
    harness.step(watch_event(
        2,
        false,
        &[(1, "Terminating", 0), (2, "Ready", 0)],
    ));
    assert!(harness.closed_upstreams().contains(&upstream));
    let (_, address) = harness
        .dials()
        .pop()
        .expect("the task is offered elsewhere, as it has not run");
    assert!(address.starts_with("127.0.1.2:"));
    // A complete list without the machine withdraws them too.
    harness.step(watch_event(3, true, &[(3, "Ready", 0)]));
    assert!(
        harness
            .dials()
            .pop()
            .expect("another machine is dialled")
            .1
            .starts_with("127.0.1.3:")
    );
}

#[test]
fn a_retry_past_the_window_of_its_idempotency_key_is_not_sent() {
    for is_late in [false, true] {
        let mut harness = Harness::with_idempotency_keys(2);
        let (first, _) = harness.offer(set_up(5, "web"));
        harness.now += 0.9;
        harness.step(Input::UpstreamEnded(first));
        // The policy decides on the retry within the window of a second; the connection opens within or after it.
        let (upstream, _) = harness.dials().pop().expect("the task is retried");
        harness.now += if is_late { 0.12 } else { 0.08 };
        harness.step(Input::UpstreamOpened(upstream));
        assert_eq!(
            written_offer(&harness).is_some(),
            !is_late,
            "{:?}",
            harness.outputs
        );
        let sent_at_once = harness.sent_to(OWNER).len();
        assert_eq!(sent_at_once, usize::from(is_late));
        harness.advance(6.5, Dials::Refused);
        let sent = sent_at_once + harness.sent_to(OWNER).len();
        assert_eq!(sent, 1, "one answer");
    }
}

#[test]
fn an_answer_that_is_unread_at_the_attempts_deadline_counts() {
    let (mut harness, upstream) = with_fresh_connection("web");
    harness.client_sends(OWNER, set_up(6, "web"));
    harness.now += 5.0;
    step_without_answers(&mut harness, Input::Tick);
    assert!(
        harness
            .outputs
            .contains(&Output::Upstream(PoolAction::CheckPeer(upstream))),
        "{:?}",
        harness.outputs
    );
    harness.outputs.clear();
    harness.gateway.step(
        harness.now,
        [
            Input::UpstreamMessage(upstream, accepted(6)),
            Input::UpstreamChecked(upstream),
        ],
        &mut harness.outputs,
    );
    let sent: Vec<_> = harness
        .sent_to(OWNER)
        .iter()
        .map(|m| (m.id, m.kind))
        .collect();
    assert_eq!(sent, [(RequestId(6), MessageKind::Accepted)]);
    assert!(
        harness.sent_to_machines().is_empty(),
        "the attempt is not cancelled"
    );
}
