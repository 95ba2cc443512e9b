//! A machine is gone, and another one has its address: tasks and connections are the successor's.

mod common;

use common::*;
use tidespur_gateway::message::{Message, MessageKind, RequestId, cause, code};
use tidespur_gateway::{Input, UpstreamId, discovery};

/// Entry of the endpoint list, for a machine at the address of machine 1.
fn entry(name: &str, lifecycle: &str, started_at: f64) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"127.0.1.1:9","zone":"east","machineType":"std","cell":0,
        "lifecycle":"{lifecycle}","startedAtMs":{},"left_over":[30,60]}}"#,
        (started_at * 1000.0) as u64
    )
}

fn listed(revision: u64, entries: &[String]) -> Input {
    let entries = entries.join(",");
    let text = format!(r#"{{"rev":{revision},"pool":{{"reset":false,"instances":[{entries}]}}}}"#);
    Input::EndpointsDelivered(discovery::parse_event(&site(), &text).unwrap())
}

/// Machine 1 is gone, and `s-9`, which started at this time, has its address.
fn replaced(started_at: f64) -> Input {
    listed(
        2,
        &[entry("s-1", "Gone", 0.0), entry("s-9", "Ready", started_at)],
    )
}

fn health_checked(harness: &Harness) -> Vec<UpstreamId> {
    harness
        .sent_to_machines()
        .into_iter()
        .filter(|(_, message)| message.kind == MessageKind::HealthCheck)
        .map(|(upstream, _)| upstream)
        .collect()
}

fn answer_health_check(harness: &mut Harness, upstream: UpstreamId) {
    let reply = Message::new(MessageKind::HealthCheckReply, RequestId(0)).with(code::CAUSE, &[1]);
    harness.machine_sends(upstream, reply);
}

/// Guards against tasks that are reported as failed, and whose ends are dropped, while they run at the successor.
#[test]
fn a_task_accepted_after_the_successor_started_stays_placed_and_its_end_is_forwarded() {
    let mut harness = Harness::new(1);
    let successor_started_at = harness.now - 0.3;
    let (upstream, _) = harness.place(5, "slot");
    harness.now += 1.0;
    harness.step(replaced(successor_started_at));
    assert!(
        harness.sent_to(OWNER).is_empty(),
        "the task runs at the successor"
    );
    assert_eq!(harness.gateway.counts().moved, 1);
    harness.machine_sends(upstream, release(5, cause::NORMAL));
    assert_eq!(harness.sent_to(OWNER), [release(5, cause::NORMAL)]);
    assert_eq!(
        harness.sent_to_machines(),
        [(
            upstream,
            Message::new(MessageKind::ReleaseAck, RequestId(5))
        )]
    );
}

/// Guards against ends that are dropped because their connection was dialled under the id of the machine before.
#[test]
fn the_end_of_a_task_handed_over_at_the_successor_is_forwarded_from_the_old_connection() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, "slot");
    harness.now += 1.0;
    // The successor's start is not known, so the task may have been lost with the machine before.
    harness.step(replaced(0.0));
    assert_eq!(harness.sent_to(OWNER), [release(5, cause::FAILED)]);
    harness.client_sends(OWNER, handover(5, "s-9"));
    harness.machine_sends(upstream, release(5, cause::NORMAL));
    assert_eq!(harness.sent_to(OWNER), [release(5, cause::NORMAL)]);
}

/// Guards against the same loss while the list still contains the machine before.
#[test]
fn an_end_is_forwarded_from_the_connection_of_a_machine_with_the_same_address() {
    let mut harness = Harness::new(1);
    let (upstream, _) = harness.place(5, "slot");
    harness.step(listed(2, &[entry("s-9", "Ready", harness.now)]));
    harness.client_sends(OWNER, handover(6, "s-9"));
    harness.machine_sends(upstream, release(6, cause::NORMAL));
    assert_eq!(harness.sent_to(OWNER), [release(6, cause::NORMAL)]);
}

#[test]
fn an_end_is_forwarded_from_a_half_closed_connection_that_leads_to_the_successor() {
    let mut harness = Harness::new(1);
    let successor_started_at = harness.now - 0.3;
    let (upstream, _) = harness.place(5, "slot");
    harness.step(Input::UpstreamWriteFailed(upstream, None));
    harness.step(replaced(successor_started_at));
    harness.machine_sends(upstream, release(5, cause::NORMAL));
    assert_eq!(harness.sent_to(OWNER), [release(5, cause::NORMAL)]);
}

/// Guards against ends that were dropped before the address of their machine was listed.
#[test]
fn a_machine_whose_address_becomes_known_gets_a_new_connection_on_which_it_repeats_ends() {
    let mut harness = Harness::new(1);
    let successor_started_at = harness.now - 0.3;
    let (old, _) = harness.place(5, "slot");
    harness.client_sends(OWNER, handover(6, "s-9"));
    harness.machine_sends(old, release(6, cause::NORMAL));
    assert!(
        harness.sent_to(OWNER).is_empty(),
        "the list does not tell yet that the connection leads to s-9"
    );
    assert_eq!(harness.gateway.counts().unmatched_ends, 1);
    harness.step(replaced(successor_started_at));
    harness.advance(0.2, Dials::Unanswered);
    let (new, address) = harness.dials().pop().expect("s-9 is dialled");
    assert_eq!(address, "127.0.1.1:9");
    harness.step(Input::UpstreamOpened(new));
    harness.machine_sends(new, release(6, cause::NORMAL));
    assert_eq!(harness.sent_to(OWNER), [release(6, cause::NORMAL)]);
}

#[test]
fn an_offer_that_is_pending_when_the_successor_is_listed_is_placed_there() {
    let mut harness = Harness::new(1);
    let successor_started_at = harness.now - 0.3;
    let (upstream, _) = harness.offer(set_up(5, "slot"));
    harness.step(replaced(successor_started_at));
    harness.machine_sends(upstream, accepted(5));
    assert_eq!(harness.sent_to(OWNER)[0].kind, MessageKind::Accepted);
    // The successor restarts, so that its tasks are lost.
    let restarted = entry("s-9", "Ready", harness.now + 1.0);
    harness.step(listed(3, &[restarted]));
    assert_eq!(harness.sent_to(OWNER), [release(5, cause::FAILED)]);
}

#[test]
fn a_silent_connection_to_a_reused_address_is_closed_and_a_working_one_is_kept() {
    let mut harness = Harness::new(1);
    let (silent, _) = harness.place(5, "slot");
    harness.now += 0.6;
    let (working, _) = harness.place(6, "slot");
    harness.now += 0.1;
    harness.step(replaced(harness.now));
    let checked = health_checked(&harness);
    assert_eq!(checked, [silent, working]);
    answer_health_check(&mut harness, working);
    harness.advance(1.7, Dials::Unanswered);
    let closed = harness.closed_upstreams();
    assert!(closed.contains(&silent));
    assert!(!closed.contains(&working));
}

#[test]
fn an_end_from_a_machine_at_another_address_is_ignored_and_counted() {
    let mut harness = Harness::new(2);
    let (upstream, address) = harness.place(5, "slot");
    let other = if address == "127.0.1.1:9" {
        "s-2"
    } else {
        "s-1"
    };
    harness.client_sends(OWNER, handover(6, other));
    harness.machine_sends(upstream, release(6, cause::NORMAL));
    assert!(harness.sent_to(OWNER).is_empty());
    assert_eq!(harness.gateway.counts().unmatched_ends, 1);
}
