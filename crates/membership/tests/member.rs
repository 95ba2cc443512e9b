//! One or a few members, with what comes from outside.

use std::net::SocketAddr;
use tidespur_membership::{
    DropReason, Input, MAX_DATAGRAM_BYTES, MemberId, MemberMetadata, MemberStatus, Membership,
    Output, Role, Settings,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn id(name: &str, port: u16, born: u64) -> MemberId {
    MemberId {
        name: name.into(),
        address: address(port),
        incarnation: born,
        rejoin_count: 0,
    }
}

fn member(own: MemberId, settings: Settings, now: f64) -> Membership {
    Membership::new(settings, own, MemberMetadata::for_role(Role::Edge), 1, now)
        .expect("a sound member")
}

/// Carries datagrams between members, by port, until `until`; tells what each said beside them.
fn run(members: &mut [Membership], from: f64, until: f64) -> Vec<(usize, Output)> {
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
            let Output::SendDatagram(to, bytes) = output else {
                said.push((who, output));
                continue;
            };
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
            let to = usize::from(to.port()) - 1;
            let mut out = Vec::new();
            if let Some(member) = members.get_mut(to) {
                member.step(now, [Input::DatagramReceived(bytes)], &mut out);
            }
            flying.extend(out.into_iter().map(|output| (to, output)));
        }
        now += 0.01;
    }
    said
}

fn join() -> Settings {
    Settings {
        seed_addresses: vec![address(1)],
        ..Settings::default()
    }
}

/// The first datagram of a member that is asked who it is.
fn hello(settings: Settings, name: &str) -> Vec<u8> {
    let mut out = Vec::new();
    member(id(name, 9, 1), settings, 0.0).step(0.0, [], &mut out);
    out.into_iter()
        .find_map(|output| match output {
            Output::SendDatagram(_, bytes) => Some(bytes),
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
    let mut take =
        |bytes: &[u8]| one.step(0.1, [Input::DatagramReceived(bytes.to_vec())], &mut out);
    (0..good.len()).for_each(|length| take(&good[..length]));
    take(&[good.clone(), vec![0]].concat());
    take(&other);
    take(&version);
    take(&[0xff; 4_000]);
    assert!(
        !out.iter()
            .any(|output| matches!(output, Output::SendDatagram(to, _) if to.port() == 9)),
        "{out:?}"
    );
    let drops = one.view().drops;
    assert_eq!(drops[&DropReason::Malformed], good.len() as u64 + 2);
    assert_eq!(
        (
            drops[&DropReason::OtherCluster],
            drops[&DropReason::ProtocolVersion]
        ),
        (1, 1)
    );
    one.step(0.2, [Input::DatagramReceived(good)], &mut out);
    assert!(
        out.iter()
            .any(|output| matches!(output, Output::SendDatagram(to, _) if to.port() == 9)),
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
            one.step(0.1, [Input::DatagramReceived(bytes)], &mut out);
        }
    }
    one.step(0.2, [], &mut out);
}

/// Sixty thousand members that nobody ever was are claimed, one after the other: memory stays bounded, and those that
/// are really there stay.
#[test]
fn claims_of_sixty_thousand_members_stay_within_the_limit() {
    let settings = Settings {
        max_members: 64,
        ..join()
    };
    let mut members = [
        member(id("a", 1, 1), settings.clone(), 0.0),
        member(id("b", 2, 1), settings.clone(), 0.0),
    ];
    run(&mut members, 0.0, 2.0);
    for n in 0..60_000 {
        let claim = MemberId {
            name: format!("ghost-{n}"),
            address: address(7),
            incarnation: 1,
            rejoin_count: 0,
        };
        let mut ghost = Membership::new(
            settings.clone(),
            claim,
            MemberMetadata::for_role(Role::Planner),
            n,
            0.0,
        )
        .expect("sound");
        let mut out = Vec::new();
        // It meets `a` as a seed, and says to it all that it would say.
        ghost.step(0.0, [], &mut out);
        let asks: Vec<Vec<u8>> = out.drain(..).filter_map(datagram).collect();
        let mut answers = Vec::new();
        members[0].step(
            2.0,
            asks.into_iter().map(Input::DatagramReceived),
            &mut answers,
        );
        let answers: Vec<Vec<u8>> = answers
            .into_iter()
            .filter(|o| matches!(o, Output::SendDatagram(to, _) if to.port() == 7))
            .filter_map(datagram)
            .collect();
        ghost.step(
            0.0,
            answers.into_iter().map(Input::DatagramReceived),
            &mut out,
        );
        members[0].step(
            2.0,
            out.drain(..)
                .filter_map(datagram)
                .map(Input::DatagramReceived),
            &mut vec![],
        );
    }
    let view = members[0].view();
    assert!(view.members.len() <= 129, "{} members", view.members.len());
    assert!(
        view.drops[&DropReason::TooManyMembers] > 1_000,
        "{:?}",
        view.drops
    );
    // Nobody answers for them: they are given up, and make room again.
    run(&mut members, 2.0, 90.0);
    let b = members[0]
        .view()
        .members
        .into_iter()
        .find(|seen| seen.id.name == "b")
        .expect("it is known");
    assert_eq!(b.status, MemberStatus::Alive);
}

/// A member that may know no more is told of others by one that it knows: what else that one says, its answers to
/// probes among it, must not be dropped with the claims.
#[test]
fn a_full_member_goes_on_with_those_it_knows() {
    let small = Settings {
        max_members: 1,
        ..join()
    };
    let mut members = vec![
        member(id("a", 1, 1), small, 0.0),
        member(id("b", 2, 1), join(), 0.0),
    ];
    run(&mut members, 0.0, 2.0);
    // The others come by `b`, which tells `a` of them.
    let by_b = Settings {
        seed_addresses: vec![address(2)],
        ..Settings::default()
    };
    members.push(member(id("c", 3, 1), by_b.clone(), 2.0));
    members.push(member(id("d", 4, 1), by_b, 2.0));
    let said = run(&mut members, 2.0, 20.0);
    let of_b = |output: &Output| matches!(output, Output::MemberFailed(who) | Output::MemberSuspected(who) if who == "b");
    assert!(
        !said.iter().any(|(who, output)| *who == 0 && of_b(output)),
        "{said:?}"
    );
    let view = members[0].view();
    assert!(view.drops.contains_key(&DropReason::TooManyMembers));
    assert_eq!(
        view.live_members()
            .map(|seen| seen.id.name.as_str())
            .collect::<Vec<_>>(),
        ["a", "b"]
    );
}

fn datagram(output: Output) -> Option<Vec<u8>> {
    match output {
        Output::SendDatagram(_, bytes) => Some(bytes),
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
    assert_eq!(
        (seen.id.address.port(), seen.status),
        (3, MemberStatus::Alive)
    );
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
        seen.id.incarnation > 500 && seen.status == MemberStatus::Alive,
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
        out.into_iter()
            .filter_map(datagram)
            .map(Input::DatagramReceived),
        &mut said,
    );
    assert!(said.contains(&Output::MemberLeft("b".into())), "{said:?}");
    assert!(
        !said.contains(&Output::MemberFailed("b".into())),
        "{said:?}"
    );
}

#[test]
fn facts_that_no_datagram_could_carry_are_refused_at_the_start() {
    let long = MemberMetadata {
        zone: "z".repeat(500),
        ..MemberMetadata::for_role(Role::Edge)
    };
    let refused = Membership::new(Settings::default(), id("a", 1, 1), long, 1, 0.0).err();
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
        let facts = MemberMetadata {
            open_tasks: Some(open),
            link: "127.0.0.1:7".into(),
            ..MemberMetadata::for_role(Role::Planner)
        };
        members[1].step(3.0, [Input::UpdateMetadata(facts)], &mut vec![]);
    }
    run(&mut members, 3.0, 6.0);
    let view = members[0].view();
    let b = view
        .members
        .iter()
        .find(|seen| seen.id.name == "b")
        .expect("it is known");
    assert_eq!(
        b.metadata
            .as_ref()
            .map(|facts| (facts.open_tasks, facts.role)),
        Some((Some(19), Role::Planner))
    );
    assert!(view.settled);
}
