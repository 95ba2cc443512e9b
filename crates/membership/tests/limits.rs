//! Members under malformed datagrams and too many members.

mod common;

use common::{address, datagram, hello, id, join, member, run, state_of};
use tidespur_membership::{
    DropReason, Input, MemberId, MemberMetadata, MemberStatus, Membership, Output, Role, Settings,
};

#[test]
fn datagrams_are_dropped_and_counted_when_they_are_malformed_or_of_another_cluster_or_version() {
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
    let mut outputs = Vec::new();
    let mut take =
        |bytes: &[u8]| one.step(0.1, [Input::DatagramReceived(bytes.to_vec())], &mut outputs);
    (0..good.len()).for_each(|length| take(&good[..length]));
    take(&[good.clone(), vec![0]].concat());
    take(&other);
    take(&version);
    take(&[0xff; 4_000]);
    assert!(
        !outputs
            .iter()
            .any(|output| matches!(output, Output::SendDatagram(to, _) if to.port() == 9)),
        "{outputs:?}"
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
    one.step(0.2, [Input::DatagramReceived(good)], &mut outputs);
    assert!(
        outputs
            .iter()
            .any(|output| matches!(output, Output::SendDatagram(to, _) if to.port() == 9)),
        "{outputs:?}"
    );
}

/// Each byte of a valid datagram is changed, one at a time.
#[test]
fn member_survives_datagrams_with_any_byte_changed() {
    let mut one = member(id("a", 1, 1), join(), 0.0);
    let good = hello(join(), "b");
    let mut outputs = Vec::new();
    for at in 0..good.len() {
        for change in [1, 0x40, 0x80, 0xff] {
            let mut bytes = good.clone();
            bytes[at] ^= change;
            one.step(0.1, [Input::DatagramReceived(bytes)], &mut outputs);
        }
    }
    one.step(0.2, [], &mut outputs);
}

/// Sixty thousand members that do not exist announce themselves, one after the other: memory stays bounded, and the
/// members that exist stay.
#[test]
fn known_members_are_bounded_when_sixty_thousand_announce_themselves() {
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
        .expect("a valid member");
        let mut outputs = Vec::new();
        // It greets `a` as a seed, and sends it all that it would send.
        ghost.step(0.0, [], &mut outputs);
        let greetings: Vec<Vec<u8>> = outputs.drain(..).filter_map(datagram).collect();
        let mut replies = Vec::new();
        members[0].step(
            2.0,
            greetings.into_iter().map(Input::DatagramReceived),
            &mut replies,
        );
        let replies: Vec<Vec<u8>> = replies
            .into_iter()
            .filter(|output| matches!(output, Output::SendDatagram(to, _) if to.port() == 7))
            .filter_map(datagram)
            .collect();
        ghost.step(
            0.0,
            replies.into_iter().map(Input::DatagramReceived),
            &mut outputs,
        );
        members[0].step(
            2.0,
            outputs
                .drain(..)
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
    // Nobody replies for them: they are declared failed, and do not count any more.
    run(&mut members, 2.0, 90.0);
    let b = state_of(&members[0], "b");
    assert_eq!(b.status, MemberStatus::Alive);
}

/// A member that may know no more members receives the names of others from one that it knows: the rest of that
/// message, replies to probes for instance, must not be dropped with them.
#[test]
fn known_members_stay_alive_when_a_member_rejects_further_ones() {
    let small = Settings {
        max_members: 1,
        ..join()
    };
    let mut members = vec![
        member(id("a", 1, 1), small, 0.0),
        member(id("b", 2, 1), join(), 0.0),
    ];
    run(&mut members, 0.0, 2.0);
    // The others join by `b`, which names them to `a`.
    let join_by_b = Settings {
        seed_addresses: vec![address(2)],
        ..Settings::default()
    };
    members.push(member(id("c", 3, 1), join_by_b.clone(), 2.0));
    members.push(member(id("d", 4, 1), join_by_b, 2.0));
    let events = run(&mut members, 2.0, 20.0);
    let is_loss_of_b = |output: &Output| matches!(output, Output::MemberFailed(name) | Output::MemberSuspected(name) if name == "b");
    assert!(
        !events
            .iter()
            .any(|(index, output)| *index == 0 && is_loss_of_b(output)),
        "{events:?}"
    );
    let view = members[0].view();
    assert!(view.drops.contains_key(&DropReason::TooManyMembers));
    assert_eq!(
        view.live_members()
            .map(|member| member.id.name.as_str())
            .collect::<Vec<_>>(),
        ["a", "b"]
    );
}
