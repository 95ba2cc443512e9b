//! Set-ups that have not left: what holds them back, and what takes them back.

mod common;

use common::*;
use tidespur_gateway::message::{MessageKind, RequestId, cause};
use tidespur_gateway::pool::PoolAction;
use tidespur_gateway::{Input, Output, PeerCheck, UpstreamId};

/// One input without the answers to looks; tells who is to be looked at.
fn plain(p: &mut Played, input: Input) -> Vec<tidespur_gateway::DownstreamId> {
    p.out.clear();
    p.gateway.step(p.now, [input], &mut p.out);
    let looks = |output: &Output| match output {
        Output::CheckDownstream(client) => Some(*client),
        _ => None,
    };
    p.out.iter().filter_map(looks).collect()
}

/// The set-up that is offered, with its bytes.
fn offer(p: &Played) -> Option<(UpstreamId, RequestId, Vec<u8>)> {
    p.out.iter().find_map(|output| match output {
        Output::Upstream(PoolAction::Offer(line, id, bytes)) => Some((*line, *id, bytes.clone())),
        _ => None,
    })
}

/// With one idle connection to its one machine, on which something was heard just now.
fn ready(class: &str) -> (Played, UpstreamId) {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, class);
    (p, line)
}

#[test]
fn no_attempt_begins_before_its_client_was_looked_at() {
    let (mut p, line) = ready("web");
    assert_eq!(
        plain(&mut p, Input::DownstreamMessage(OWNER, set_up(6, "web"))),
        [OWNER]
    );
    assert_eq!(offer(&p), None);
    // What the look finds comes first.
    plain(&mut p, Input::DownstreamPeerClosed(OWNER));
    plain(&mut p, Input::DownstreamChecked(OWNER, PeerCheck::Queued));
    assert_eq!(offer(&p), None);
    assert!(
        p.written().is_empty(),
        "what never left is not cancelled at its machine"
    );
    // Another's leaves after its own look.
    assert_eq!(
        plain(&mut p, Input::DownstreamMessage(OTHER, set_up(7, "web"))),
        [OTHER]
    );
    plain(&mut p, Input::DownstreamChecked(OTHER, PeerCheck::Idle));
    assert_eq!(offer(&p).map(|o| (o.0, o.1)), Some((line, RequestId(7))));
}

#[test]
fn a_client_that_says_more_than_a_look_reads_waits_until_it_was_read() {
    let (mut p, _) = ready("web");
    plain(&mut p, Input::DownstreamMessage(OWNER, set_up(6, "web")));
    plain(
        &mut p,
        Input::DownstreamChecked(OWNER, PeerCheck::MoreUnread),
    );
    assert_eq!(offer(&p), None);
    let again = p.gateway.next_wake();
    assert!(again - p.now < 0.05, "it is looked at again soon");
    p.now = again;
    assert_eq!(plain(&mut p, Input::Tick), [OWNER]);
    plain(&mut p, Input::DownstreamChecked(OWNER, PeerCheck::Queued));
    assert_eq!(offer(&p).map(|o| o.1), Some(RequestId(6)));
}

#[test]
fn a_set_up_that_a_machine_does_not_take_waits_here_and_a_cancel_takes_it_back() {
    let (mut p, line) = ready("web");
    for taken_back in [false, true] {
        let id = 6 + u64::from(taken_back);
        p.client_says(OWNER, set_up(id, "web"));
        let (on, _, bytes) = offer(&p).expect("it is offered");
        assert_eq!(on, line);
        p.step(Input::UpstreamBlocked(line, RequestId(id), bytes));
        if taken_back {
            p.client_says(OWNER, release(id, cause::NORMAL));
            assert!(p.written().is_empty(), "not a byte of it left");
        }
        p.step(Input::UpstreamDrained(line));
        assert_eq!(
            offer(&p).map(|o| o.1),
            (!taken_back).then_some(RequestId(id))
        );
        if !taken_back {
            p.machine_says(line, answer(id));
        }
    }
}

#[test]
fn a_set_up_of_which_a_part_left_ends_with_its_connection() {
    let (mut p, line) = ready("web");
    p.client_says(OWNER, set_up(6, "web"));
    p.step(Input::UpstreamPartiallyWritten(line, RequestId(6)));
    p.client_says(OWNER, release(6, cause::NORMAL));
    // Else its rest would leave as soon as the machine reads.
    assert!(
        p.out.contains(&Output::Upstream(PoolAction::Close(line))),
        "{:?}",
        p.out
    );
    assert!(p.written().is_empty());
}

#[test]
fn what_has_not_left_in_its_time_has_not_run() {
    let mut p = Played::new(1);
    let (line, _) = p.offered(set_up(6, "slot"));
    let (_, _, bytes) = offer(&p).expect("it is offered");
    p.step(Input::UpstreamBlocked(line, RequestId(6), bytes));
    p.wait(6.5, Some(true));
    let told: Vec<_> = p.told(OWNER).into_iter().map(|m| m.cause()).collect();
    assert_eq!(
        told,
        [Some(cause::FULL)],
        "it must not run twice, and has not run at all"
    );
}

#[test]
fn a_drain_takes_back_what_waits_for_a_dial() {
    let mut p = Played::new(1);
    p.client_says(OWNER, set_up(5, "slot"));
    let (line, _) = p.dials().pop().expect("a dial");
    p.step(notice(2, false, &[(1, "Terminating", 0), (2, "Ready", 0)]));
    assert!(p.closed_lines().contains(&line));
    let (_, address) = p
        .dials()
        .pop()
        .expect("it goes elsewhere, as it has not run");
    assert!(address.starts_with("127.0.1.2:"));
    // So does a whole list without the machine.
    p.step(notice(3, true, &[(3, "Ready", 0)]));
    assert!(p.dials().pop().expect("again").1.starts_with("127.0.1.3:"));
}

#[test]
fn a_keyed_repeat_that_waited_past_its_window_never_begins() {
    for late in [false, true] {
        let mut p = Played::keyed(2);
        let (first, _) = p.offered(set_up(5, "web"));
        p.now += 0.9;
        p.step(Input::UpstreamEnded(first));
        // The repeat is decided inside the window of a second, and its connection comes up inside or after it.
        let (line, _) = p.dials().pop().expect("it is repeated");
        p.now += if late { 0.12 } else { 0.08 };
        p.step(Input::UpstreamOpened(line));
        assert_eq!(offer(&p).is_some(), !late, "{:?}", p.out);
        let at_once = p.told(OWNER).len();
        assert_eq!(at_once, usize::from(late));
        p.wait(6.5, Some(true));
        let told = at_once + p.told(OWNER).len();
        assert_eq!(told, 1, "one answer");
    }
}

#[test]
fn an_answer_that_lies_unread_when_its_time_is_over_counts() {
    let (mut p, line) = ready("web");
    p.client_says(OWNER, set_up(6, "web"));
    p.now += 5.0;
    plain(&mut p, Input::Tick);
    assert!(
        p.out
            .contains(&Output::Upstream(PoolAction::CheckPeer(line))),
        "{:?}",
        p.out
    );
    p.out.clear();
    p.gateway.step(
        p.now,
        [
            Input::UpstreamMessage(line, answer(6)),
            Input::UpstreamChecked(line),
        ],
        &mut p.out,
    );
    let told: Vec<_> = p.told(OWNER).iter().map(|m| (m.id, m.kind)).collect();
    assert_eq!(told, [(RequestId(6), MessageKind::Accepted)]);
    assert!(p.written().is_empty(), "it is not cancelled");
}
