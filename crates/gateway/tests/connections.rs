//! Connections to machines where there is little room, and faults of them.

mod common;

use common::*;
use std::collections::BTreeMap;
use tidespur_gateway::message::{Message, MessageKind, RequestId, cause, code};
use tidespur_gateway::pool::PoolAction;
use tidespur_gateway::{Input, Limits, Output, UpstreamId};

#[test]
fn an_end_that_came_before_a_write_failed_is_not_lost() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.client_says(OWNER, set_up(6, "web"));
    p.step(Input::UpstreamWriteFailed(line, Some(RequestId(6))));
    p.machine_says(line, release(5, cause::NORMAL));
    assert_eq!(p.told(OWNER), [release(5, cause::NORMAL)]);
}

#[test]
fn an_idle_connection_that_has_ended_counts_against_no_machine() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.client_says(OWNER, set_up(6, "slot"));
    p.step(Input::UpstreamWriteFailed(line, Some(RequestId(6))));
    assert_eq!(
        p.dials().len(),
        1,
        "the one machine is dialled at once, also for work that must not run twice"
    );
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
        let tests: Vec<_> = p
            .written()
            .into_iter()
            .filter(|(_, m)| m.kind == MessageKind::HealthCheck)
            .collect();
        for (line, _) in tests {
            p.machine_says(
                line,
                Message::new(MessageKind::HealthCheckReply, RequestId(0)).with(code::CAUSE, &[1]),
            );
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
    let mut p = Played::with(
        1,
        Limits {
            downstreams: 8,
            upstreams: 2,
            closing: 2,
        },
    );
    let mut dials = Vec::new();
    for id in [5, 6, 7] {
        p.client_says(OWNER, set_up(id, "slot"));
        dials.extend(p.dials());
    }
    assert_eq!(
        dials.len(),
        2,
        "the third set-up shares the connection of the first"
    );
    (p, dials[0].0)
}

#[test]
fn a_set_up_given_up_while_its_shared_connection_is_dialled_never_leaves() {
    let (mut p, line) = shared_dial();
    p.client_says(OWNER, release(7, cause::NORMAL));
    assert!(
        p.closed_lines().is_empty(),
        "the other set-up still waits on it"
    );
    p.step(Input::UpstreamOpened(line));
    let left: Vec<RequestId> = p.written().iter().map(|(_, m)| m.id).collect();
    assert_eq!(left, [RequestId(5)], "what was given up must not leave");
}

#[test]
fn a_write_that_fails_clears_no_other_set_up_on_the_connection() {
    let (mut p, line) = shared_dial();
    p.step(Input::UpstreamOpened(line));
    // It is the word that one is given up which could not be written: both set-ups have left.
    p.client_says(OWNER, release(7, cause::NORMAL));
    p.step(Input::UpstreamWriteFailed(line, None));
    assert_eq!(
        p.told(OWNER)
            .iter()
            .map(|m| (m.id, m.cause()))
            .collect::<Vec<_>>(),
        [(RequestId(5), Some(cause::FAILED))]
    );
    assert!(
        p.dials().is_empty(),
        "it may have run and must not run twice"
    );
}

#[test]
fn a_connection_whose_writes_fail_twice_is_still_closed_in_the_end() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.client_says(OWNER, set_up(6, "web"));
    p.step(Input::UpstreamWriteFailed(line, Some(RequestId(6))));
    p.step(Input::UpstreamWriteFailed(line, None));
    p.wait(2.5, Some(true));
    assert!(
        p.closed_lines().contains(&line),
        "its descriptor would be held for good"
    );
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
                let passes = message.kind == MessageKind::HealthCheck && !cut;
                let tested = Message::new(MessageKind::HealthCheckReply, RequestId(0))
                    .with(code::CAUSE, &[1]);
                todo.extend(passes.then_some(Input::UpstreamMessage(line, tested)));
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
    let mut p = Played::with(
        12,
        Limits {
            downstreams: 8,
            upstreams: 4,
            closing: 2,
        },
    );
    for n in 1..=12 {
        p.client_says(OWNER, handed(n, &format!("s-{n}")));
    }
    let dialled = live(&mut p, 40.0, false);
    assert!(
        p.told(OWNER).is_empty(),
        "what stands there runs on: {:?}",
        p.told(OWNER)
    );
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
    assert_eq!(
        p.told(OWNER),
        [release(5, cause::FAILED)],
        "one that does not come back is lost within 8 s"
    );
}
