//! The end of the program, and the closing of connections.

mod common;

use common::*;
use tidespur_gateway::message::{MessageKind, RequestId, cause};
use tidespur_gateway::{DownstreamId, Input, Output, PeerCheck};

fn ends(p: &Played) -> bool {
    p.out.iter().any(|output| matches!(output, Output::Exit(_)))
}

#[test]
fn told_to_end_it_answers_what_is_open_and_then_ends() {
    let mut p = Played::new(1);
    let (line, _) = p.offered(set_up(5, "slot"));
    p.step(Input::Shutdown);
    p.client_says(OWNER, set_up(6, "web"));
    p.machine_says(line, answer(5));
    assert_eq!(
        p.told(OWNER)[0].kind,
        MessageKind::Accepted,
        "it goes on as before"
    );
    p.step(notice(2, false, &[(1, "Terminating", 0)]));
    p.client_says(OWNER, set_up(7, "web"));
    p.wait(3.6, None);
    let answered = p
        .told(OWNER)
        .iter()
        .filter(|m| m.kind == MessageKind::Release && m.id == RequestId(7))
        .count();
    assert_eq!(answered, 1);
    assert!(ends(&p));
}

#[test]
fn told_to_end_it_passes_on_ends_as_long_as_it_may_and_ends_early_where_nothing_stands() {
    let mut p = Played::new(1);
    let (line, _) = p.standing(5, "web");
    p.step(Input::Shutdown);
    p.wait(2.0, None);
    assert!(!ends(&p));
    p.machine_says(line, release(5, cause::FAILED));
    assert_eq!(p.told(OWNER), [release(5, cause::FAILED)]);
    let at_once = ends(&p);
    p.wait(0.2, None);
    assert!(at_once || ends(&p));
}

/// The platform kills no sooner than the longest deadline, 3 s at most, and 0.7 s more after the word.
#[test]
fn the_time_that_the_end_takes_follows_from_the_settings() {
    for (deadline, killed) in [(8.0, 3.7), (3.0, 3.7), (1.0, 1.7), (0.4, 1.1)] {
        let info = INFO.replace(r#""deadlineS":6"#, &format!(r#""deadlineS":{deadline}"#));
        let info = info.replace(r#""deadlineS":8"#, &format!(r#""deadlineS":{deadline}"#));
        let mut p = Played::of(&info, 1);
        p.standing(5, "web");
        p.step(Input::Shutdown);
        let began = p.now;
        while !ends(&p) {
            p.wait(0.05, None);
            assert!(
                p.now - began < killed - 0.02 * deadline,
                "{deadline}: killed before it ends"
            );
        }
        assert!(p.now - began > 0.7, "requests come until then");
    }
}

#[test]
fn what_comes_after_the_last_answer_is_refused_and_then_its_connection_closed() {
    let mut p = Played::new(1);
    p.standing(5, "web");
    p.client_says(OWNER, release(5, cause::NORMAL));
    p.step(Input::Shutdown);
    p.now += 0.8;
    p.out.clear();
    p.gateway.step(p.now, [Input::Tick], &mut p.out);
    assert!(p.out.contains(&Output::StopListening) && !ends(&p));
    // One had connected, and says something; another says something more than is taken in at once.
    let new = DownstreamId(3);
    p.gateway.step(
        p.now,
        [
            Input::DownstreamOpened(new, address(3)),
            Input::ListeningStopped,
        ],
        &mut p.out,
    );
    p.gateway.step(
        p.now,
        [
            Input::DownstreamChecked(OWNER, PeerCheck::Idle),
            Input::DownstreamChecked(new, PeerCheck::Queued),
        ],
        &mut p.out,
    );
    assert_eq!(p.closed_clients(), [OWNER]);
    p.gateway.step(
        p.now,
        [Input::DownstreamChecked(OTHER, PeerCheck::Idle)],
        &mut p.out,
    );
    assert!(!ends(&p), "one is still heard");
    p.gateway.step(
        p.now,
        [Input::DownstreamMessage(new, set_up(9, "web"))],
        &mut p.out,
    );
    assert_eq!(p.told(new), [release(9, cause::CONGESTED)]);
    p.wait(0.3, None);
    assert!(p.closed_clients().contains(&new) && ends(&p));
}

#[test]
fn one_that_takes_long_for_its_first_message_is_closed_only_where_it_is_in_the_way() {
    let mut p = Played::new(1);
    p.now += 2.2;
    p.out.clear();
    p.gateway.step(p.now, [Input::Tick], &mut p.out);
    assert!(p.out.contains(&Output::CheckDownstream(OWNER)));
    p.gateway.step(
        p.now,
        [
            Input::DownstreamChecked(OWNER, PeerCheck::PartialMessage),
            Input::DownstreamChecked(OTHER, PeerCheck::Idle),
        ],
        &mut p.out,
    );
    assert_eq!(
        p.closed_clients(),
        [OTHER],
        "a silent one is closed, one in the middle of a message is not"
    );
    p.out.clear();
    for n in 10..18 {
        p.gateway.step(
            p.now,
            [Input::DownstreamOpened(DownstreamId(n), address(9))],
            &mut p.out,
        );
    }
    p.now += 0.01;
    p.gateway.step(
        p.now,
        [Input::DownstreamOpened(DownstreamId(20), address(9))],
        &mut p.out,
    );
    let looks = p
        .out
        .iter()
        .filter(|o| matches!(o, Output::CheckDownstream(_)))
        .count();
    assert_eq!(looks, 2, "two more than may be");
}

#[test]
fn one_that_says_something_in_the_moment_of_its_close_stays_and_another_gives_way() {
    let mut p = Played::new(1);
    for n in 10..16 {
        p.step(Input::DownstreamOpened(DownstreamId(n), address(9)));
    }
    p.now += 0.01;
    p.out.clear();
    p.gateway.step(
        p.now,
        [Input::DownstreamOpened(DownstreamId(20), address(9))],
        &mut p.out,
    );
    assert_eq!(
        p.out,
        [Output::CheckDownstream(OWNER)],
        "the oldest that never said anything of use"
    );
    p.out.clear();
    p.gateway.step(
        p.now,
        [Input::DownstreamChecked(OWNER, PeerCheck::Queued)],
        &mut p.out,
    );
    assert_eq!(p.out, [Output::CheckDownstream(OTHER)]);
    p.gateway.step(
        p.now,
        [Input::DownstreamChecked(OTHER, PeerCheck::Idle)],
        &mut p.out,
    );
    assert_eq!(p.closed_clients(), [OTHER]);
}
