//! Graceful shutdown, and the closing of client connections.

mod common;

use common::*;
use tidespur_gateway::message::{MessageKind, RequestId, cause};
use tidespur_gateway::{DownstreamId, Input, Output, PeerCheck};

fn exits(harness: &Harness) -> bool {
    harness
        .outputs
        .iter()
        .any(|output| matches!(output, Output::Exit(_)))
}

#[test]
fn shutdown_answers_pending_requests_before_the_exit() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.offer(set_up(5, "slot"));
    harness.step(Input::Shutdown);
    harness.client_sends(OWNER, set_up(6, "web"));
    harness.machine_sends(upstream, accepted(5));
    assert_eq!(
        harness.sent_to(OWNER)[0].kind,
        MessageKind::Accepted,
        "requests are served after the shutdown request"
    );
    harness.step(watch_event(2, false, &[(1, "Terminating", 0)]));
    harness.client_sends(OWNER, set_up(7, "web"));
    harness.advance(3.6, Dials::Unanswered);
    let answered = harness
        .sent_to(OWNER)
        .iter()
        .filter(|m| m.kind == MessageKind::Release && m.id == RequestId(7))
        .count();
    assert_eq!(answered, 1);
    assert!(exits(&harness));
}

#[test]
fn shutdown_forwards_ends_and_exits_early_without_placed_tasks() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, "web");
    harness.step(Input::Shutdown);
    harness.advance(2.0, Dials::Unanswered);
    assert!(!exits(&harness));
    harness.machine_sends(upstream, release(5, cause::FAILED));
    assert_eq!(harness.sent_to(OWNER), [release(5, cause::FAILED)]);
    let exits_immediately = exits(&harness);
    harness.advance(0.2, Dials::Unanswered);
    assert!(exits_immediately || exits(&harness));
}

/// The platform kills the process no earlier than the longest deadline, limited to 3 s, plus 0.7 s after the shutdown
/// request.
#[test]
fn shutdown_ends_before_the_platform_kills_the_process() {
    for (deadline, killed_after) in [(8.0, 3.7), (3.0, 3.7), (1.0, 1.7), (0.4, 1.1)] {
        let settings = SETTINGS.replace(r#""deadlineS":6"#, &format!(r#""deadlineS":{deadline}"#));
        let settings = settings.replace(r#""deadlineS":8"#, &format!(r#""deadlineS":{deadline}"#));
        let mut harness = Harness::with_settings(&settings, 1);
        harness.place(5, "web");
        harness.step(Input::Shutdown);
        let requested_at = harness.now;
        while !exits(&harness) {
            harness.advance(0.05, Dials::Unanswered);
            assert!(
                harness.now - requested_at < killed_after - 0.02 * deadline,
                "deadline {deadline} s: killed before the exit"
            );
        }
        assert!(
            harness.now - requested_at > 0.7,
            "clients send requests until then"
        );
    }
}

#[test]
fn set_ups_after_the_last_answer_are_rejected_and_their_connections_closed() {
    let mut harness = Harness::new(1);
    harness.place(5, "web");
    harness.client_sends(OWNER, release(5, cause::NORMAL));
    harness.step(Input::Shutdown);
    harness.now += 0.8;
    harness.outputs.clear();
    harness
        .gateway
        .step(harness.now, [Input::Tick], &mut harness.outputs);
    assert!(harness.outputs.contains(&Output::StopListening) && !exits(&harness));
    // A new connection was in the listener's backlog; a message on it is queued when it is checked.
    let new = DownstreamId(3);
    harness.gateway.step(
        harness.now,
        [
            Input::DownstreamOpened(new, address(3)),
            Input::ListeningStopped,
        ],
        &mut harness.outputs,
    );
    harness.gateway.step(
        harness.now,
        [
            Input::DownstreamChecked(OWNER, PeerCheck::Idle),
            Input::DownstreamChecked(new, PeerCheck::Queued),
        ],
        &mut harness.outputs,
    );
    assert_eq!(harness.closed_clients(), [OWNER]);
    harness.gateway.step(
        harness.now,
        [Input::DownstreamChecked(OTHER, PeerCheck::Idle)],
        &mut harness.outputs,
    );
    assert!(
        !exits(&harness),
        "one connection still has a queued message"
    );
    harness.gateway.step(
        harness.now,
        [Input::DownstreamMessage(new, set_up(9, "web"))],
        &mut harness.outputs,
    );
    assert_eq!(harness.sent_to(new), [release(9, cause::CONGESTED)]);
    harness.advance(0.3, Dials::Unanswered);
    assert!(harness.closed_clients().contains(&new) && exits(&harness));
}

#[test]
fn a_slow_first_message_is_interrupted_only_at_capacity() {
    let mut harness = Harness::new(1);
    harness.now += 2.2;
    harness.outputs.clear();
    harness
        .gateway
        .step(harness.now, [Input::Tick], &mut harness.outputs);
    assert!(harness.outputs.contains(&Output::CheckDownstream(OWNER)));
    harness.gateway.step(
        harness.now,
        [
            Input::DownstreamChecked(OWNER, PeerCheck::PartialMessage),
            Input::DownstreamChecked(OTHER, PeerCheck::Idle),
        ],
        &mut harness.outputs,
    );
    assert_eq!(
        harness.closed_clients(),
        [OTHER],
        "only the connection without an incomplete message is closed"
    );
    harness.outputs.clear();
    for n in 10..18 {
        harness.gateway.step(
            harness.now,
            [Input::DownstreamOpened(DownstreamId(n), address(9))],
            &mut harness.outputs,
        );
    }
    harness.now += 0.01;
    harness.gateway.step(
        harness.now,
        [Input::DownstreamOpened(DownstreamId(20), address(9))],
        &mut harness.outputs,
    );
    let checks = harness
        .outputs
        .iter()
        .filter(|o| matches!(o, Output::CheckDownstream(_)))
        .count();
    assert_eq!(checks, 2, "two connections over the limit");
}

#[test]
fn a_connection_with_a_new_message_is_kept_and_another_closed() {
    let mut harness = Harness::new(1);
    for n in 10..16 {
        harness.step(Input::DownstreamOpened(DownstreamId(n), address(9)));
    }
    harness.now += 0.01;
    harness.outputs.clear();
    harness.gateway.step(
        harness.now,
        [Input::DownstreamOpened(DownstreamId(20), address(9))],
        &mut harness.outputs,
    );
    assert_eq!(
        harness.outputs,
        [Output::CheckDownstream(OWNER)],
        "the oldest connection without a valid set-up"
    );
    harness.outputs.clear();
    harness.gateway.step(
        harness.now,
        [Input::DownstreamChecked(OWNER, PeerCheck::Queued)],
        &mut harness.outputs,
    );
    assert_eq!(harness.outputs, [Output::CheckDownstream(OTHER)]);
    harness.gateway.step(
        harness.now,
        [Input::DownstreamChecked(OTHER, PeerCheck::Idle)],
        &mut harness.outputs,
    );
    assert_eq!(harness.closed_clients(), [OTHER]);
}
