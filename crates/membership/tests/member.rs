//! One or a few members, with what comes from outside.

use std::net::SocketAddr;
use tidespur_membership::{
    DATAGRAM_MOST, Drop, Facts, Fleet, Id, Input, Output, Role, Settings, Standing,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn id(name: &str, port: u16, born: u64) -> Id {
    Id {
        name: name.into(),
        address: address(port),
        born,
        turn: 0,
    }
}

fn member(own: Id, settings: Settings, now: f64) -> Fleet {
    Fleet::new(settings, own, Facts::of(Role::Edge), 1, now).expect("a sound member")
}

/// Carries datagrams between members, by port, until `until`; tells what each said beside them.
fn run(members: &mut [Fleet], from: f64, until: f64) -> Vec<(usize, Output)> {
    let mut said = Vec::new();
    let mut now = from;
    while now < until {
        let mut flying = Vec::new();
        for (who, member) in members.iter_mut().enumerate() {
            let mut out = Vec::new();
            if member.next_wake() <= now {
                member.step(now, [], &mut out);
            }
            flying.extend(out.into_iter().map(|output| (who, output)));
        }
        while let Some((who, output)) = flying.pop() {
            let Output::Send(to, bytes) = output else {
                said.push((who, output));
                continue;
            };
            assert!(bytes.len() <= DATAGRAM_MOST, "{} bytes", bytes.len());
            let to = usize::from(to.port()) - 1;
            let mut out = Vec::new();
            if let Some(member) = members.get_mut(to) {
                member.step(now, [Input::Datagram(bytes)], &mut out);
            }
            flying.extend(out.into_iter().map(|output| (to, output)));
        }
        now += 0.01;
    }
    said
}

fn join() -> Settings {
    Settings {
        join: vec![address(1)],
        ..Settings::default()
    }
}

/// The first datagram of a member that is asked who it is.
fn hello(settings: Settings, name: &str) -> Vec<u8> {
    let mut out = Vec::new();
    member(id(name, 9, 1), settings, 0.0).step(0.0, [], &mut out);
    out.into_iter()
        .find_map(|output| match output {
            Output::Send(_, bytes) => Some(bytes),
            _ => None,
        })
        .expect("it asks its seed")
}

#[test]
fn what_is_not_of_this_cluster_or_not_whole_is_counted_by_cause_and_dropped() {
    let mut one = member(id("a", 1, 1), Settings::default(), 0.0);
    let good = hello(join(), "b");
    let other = hello(
        Settings {
            cluster: "other".into(),
            ..join()
        },
        "b",
    );
    let mut version = good.clone();
    version[3] += 1;
    let mut out = Vec::new();
    let mut take = |bytes: &[u8]| one.step(0.1, [Input::Datagram(bytes.to_vec())], &mut out);
    (0..good.len()).for_each(|length| take(&good[..length]));
    take(&[good.clone(), vec![0]].concat());
    take(&other);
    take(&version);
    take(&[0xff; 4_000]);
    assert!(
        !out.iter()
            .any(|output| matches!(output, Output::Send(to, _) if to.port() == 9)),
        "{out:?}"
    );
    let drops = one.view().drops;
    assert_eq!(drops[&Drop::Unreadable], good.len() as u64 + 2);
    assert_eq!((drops[&Drop::Cluster], drops[&Drop::Version]), (1, 1));
    one.step(0.2, [Input::Datagram(good)], &mut out);
    assert!(
        out.iter()
            .any(|output| matches!(output, Output::Send(to, _) if to.port() == 9)),
        "{out:?}"
    );
}

/// Every byte of a good datagram changed, one at a time: nothing may make a member fail.
#[test]
fn lies_make_no_member_fail() {
    let mut one = member(id("a", 1, 1), join(), 0.0);
    let good = hello(join(), "b");
    let mut out = Vec::new();
    for at in 0..good.len() {
        for change in [1, 0x40, 0x80, 0xff] {
            let mut bytes = good.clone();
            bytes[at] ^= change;
            one.step(0.1, [Input::Datagram(bytes)], &mut out);
        }
    }
    one.step(0.2, [], &mut out);
}

/// Sixty thousand members that nobody ever was are claimed, one after the other: memory stays bounded, and those that
/// are really there stay.
#[test]
fn claims_of_sixty_thousand_members_stay_within_the_limit() {
    let settings = Settings {
        members_most: 64,
        ..join()
    };
    let mut members = [
        member(id("a", 1, 1), settings.clone(), 0.0),
        member(id("b", 2, 1), settings.clone(), 0.0),
    ];
    run(&mut members, 0.0, 2.0);
    for n in 0..60_000 {
        let claim = Id {
            name: format!("ghost-{n}"),
            address: address(7),
            born: 1,
            turn: 0,
        };
        let mut ghost =
            Fleet::new(settings.clone(), claim, Facts::of(Role::Planner), n, 0.0).expect("sound");
        let mut out = Vec::new();
        // It meets `a` as a seed, and says to it all that it would say.
        ghost.step(0.0, [], &mut out);
        let asks: Vec<Vec<u8>> = out.drain(..).filter_map(datagram).collect();
        let mut answers = Vec::new();
        members[0].step(2.0, asks.into_iter().map(Input::Datagram), &mut answers);
        let answers: Vec<Vec<u8>> = answers
            .into_iter()
            .filter(|o| matches!(o, Output::Send(to, _) if to.port() == 7))
            .filter_map(datagram)
            .collect();
        ghost.step(0.0, answers.into_iter().map(Input::Datagram), &mut out);
        members[0].step(
            2.0,
            out.drain(..).filter_map(datagram).map(Input::Datagram),
            &mut vec![],
        );
    }
    let view = members[0].view();
    assert!(view.members.len() <= 129, "{} members", view.members.len());
    assert!(view.drops[&Drop::TooMany] > 1_000, "{:?}", view.drops);
    // Nobody answers for them: they are given up, and make room again.
    run(&mut members, 2.0, 90.0);
    let b = members[0]
        .view()
        .members
        .into_iter()
        .find(|seen| seen.id.name == "b")
        .expect("it is known");
    assert_eq!(b.standing, Standing::Live);
}

/// A member that may know no more is told of others by one that it knows: what else that one says, its answers to
/// probes among it, must not be dropped with the claims.
#[test]
fn a_full_member_goes_on_with_those_it_knows() {
    let small = Settings {
        members_most: 1,
        ..join()
    };
    let mut members = vec![
        member(id("a", 1, 1), small, 0.0),
        member(id("b", 2, 1), join(), 0.0),
    ];
    run(&mut members, 0.0, 2.0);
    // The others come by `b`, which tells `a` of them.
    let by_b = Settings {
        join: vec![address(2)],
        ..Settings::default()
    };
    members.push(member(id("c", 3, 1), by_b.clone(), 2.0));
    members.push(member(id("d", 4, 1), by_b, 2.0));
    let said = run(&mut members, 2.0, 20.0);
    let of_b =
        |output: &Output| matches!(output, Output::Lost(who) | Output::Doubted(who) if who == "b");
    assert!(
        !said.iter().any(|(who, output)| *who == 0 && of_b(output)),
        "{said:?}"
    );
    let view = members[0].view();
    assert!(view.drops.contains_key(&Drop::TooMany));
    assert_eq!(
        view.live()
            .map(|seen| seen.id.name.as_str())
            .collect::<Vec<_>>(),
        ["a", "b"]
    );
}

fn datagram(output: Output) -> Option<Vec<u8>> {
    match output {
        Output::Send(_, bytes) => Some(bytes),
        _ => None,
    }
}

/// Two processes of one name: the newer stays, the older is told to end and says no more.
#[test]
fn of_two_with_one_name_the_older_ends() {
    let mut members = [
        member(id("a", 1, 1), join(), 0.0),
        member(id("x", 2, 5), join(), 0.0),
    ];
    run(&mut members, 0.0, 5.0);
    let [a, x] = members;
    let mut members = [a, x, member(id("x", 3, 9), join(), 5.0)];
    let said = run(&mut members, 5.0, 10.0);
    assert!(
        said.contains(&(1, Output::Replaced(id("x", 3, 9)))),
        "{said:?}"
    );
    assert!(
        !said
            .iter()
            .any(|(who, output)| *who == 2 && matches!(output, Output::Replaced(_)))
    );
    assert_eq!(members[1].next_wake(), f64::INFINITY);
    let seen = members[0]
        .view()
        .members
        .into_iter()
        .find(|seen| seen.id.name == "x")
        .expect("it is known");
    assert_eq!((seen.id.address.port(), seen.standing), (3, Standing::Live));
}

/// A restart beside a clock that went back: its incarnation is lower than that of the one that died.
#[test]
fn a_restart_after_the_clock_went_back_is_taken_in() {
    let mut members = [
        member(id("a", 1, 1), join(), 0.0),
        member(id("x", 2, 500), join(), 0.0),
    ];
    run(&mut members, 0.0, 5.0);
    let [a, _] = members;
    let mut members = [a, member(id("x", 2, 400), join(), 5.0)];
    let said = run(&mut members, 5.0, 15.0);
    assert!(
        !said
            .iter()
            .any(|(_, output)| matches!(output, Output::Replaced(_))),
        "{said:?}"
    );
    let seen = members[0]
        .view()
        .members
        .into_iter()
        .find(|seen| seen.id.name == "x")
        .expect("it is known");
    assert!(
        seen.id.born > 500 && seen.standing == Standing::Live,
        "{seen:?}"
    );
}

/// One that ends in order is told apart from one that is lost, at once.
#[test]
fn one_that_leaves_in_order_is_not_called_lost() {
    let mut members = [
        member(id("a", 1, 1), join(), 0.0),
        member(id("b", 2, 1), join(), 0.0),
    ];
    run(&mut members, 0.0, 3.0);
    let mut out = Vec::new();
    members[1].step(3.0, [Input::Leave], &mut out);
    let mut said = Vec::new();
    members[0].step(
        3.0,
        out.into_iter().filter_map(datagram).map(Input::Datagram),
        &mut said,
    );
    assert!(said.contains(&Output::Left("b".into())), "{said:?}");
    assert!(!said.contains(&Output::Lost("b".into())), "{said:?}");
}

#[test]
fn facts_that_no_datagram_could_carry_are_refused_at_the_start() {
    let long = Facts {
        zone: "z".repeat(500),
        ..Facts::of(Role::Edge)
    };
    let refused = Fleet::new(Settings::default(), id("a", 1, 1), long, 1, 0.0).err();
    assert!(refused.is_some_and(|why| why.contains("400 bytes")));
}

#[test]
fn what_a_member_tells_is_known_to_the_other_and_the_newest_wins() {
    let mut members = [
        member(id("a", 1, 1), join(), 0.0),
        member(id("b", 2, 1), join(), 0.0),
    ];
    run(&mut members, 0.0, 3.0);
    for open in 1..20 {
        let facts = Facts {
            open: Some(open),
            link: "127.0.0.1:7".into(),
            ..Facts::of(Role::Planner)
        };
        members[1].step(3.0, [Input::Tell(facts)], &mut vec![]);
    }
    run(&mut members, 3.0, 6.0);
    let view = members[0].view();
    let b = view
        .members
        .iter()
        .find(|seen| seen.id.name == "b")
        .expect("it is known");
    assert_eq!(
        b.facts.as_ref().map(|facts| (facts.open, facts.role)),
        Some((Some(19), Role::Planner))
    );
    assert!(view.settled);
}
