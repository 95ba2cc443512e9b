//! A member under malformed datagrams and with more members than the limit.

mod common;

use common::{address, datagram, hello, id, member, run, settings_with_seed, state_of};
use tidespur_membership::{
    DropReason, Input, MemberId, MemberMetadata, MemberStatus, Membership, Output, Role, Settings,
};

#[test]
fn datagrams_are_dropped_and_counted_when_they_are_malformed_or_of_another_cluster_or_version() {
    let mut member = member(id("a", 1, 1), Settings::default(), 0.0);
    let good = hello(settings_with_seed(), "b");
    let other_cluster = hello(
        Settings {
            cluster: "other".into(),
            ..settings_with_seed()
        },
        "b",
    );
    let mut other_version = good.clone();
    other_version[3] += 1;
    let mut outputs = Vec::new();
    let mut receive =
        |bytes: &[u8]| member.step(0.1, [Input::DatagramReceived(bytes.to_vec())], &mut outputs);
    (0..good.len()).for_each(|length| receive(&good[..length]));
    receive(&[good.clone(), vec![0]].concat());
    receive(&other_cluster);
    receive(&other_version);
    receive(&[0xff; 4_000]);
    assert!(
        !outputs
            .iter()
            .any(|output| matches!(output, Output::SendDatagram(to, _) if to.port() == 9)),
        "{outputs:?}"
    );
    let drops = member.view().drops;
    assert_eq!(drops[&DropReason::Malformed], good.len() as u64 + 2);
    assert_eq!(
        (
            drops[&DropReason::OtherCluster],
            drops[&DropReason::ProtocolVersion]
        ),
        (1, 1)
    );
    member.step(0.2, [Input::DatagramReceived(good)], &mut outputs);
    assert!(
        outputs
            .iter()
            .any(|output| matches!(output, Output::SendDatagram(to, _) if to.port() == 9)),
        "{outputs:?}"
    );
}

/// Changes each byte of a valid datagram, one at a time; the member must not panic.
#[test]
fn member_does_not_panic_when_any_byte_of_a_datagram_is_changed() {
    let mut member = member(id("a", 1, 1), settings_with_seed(), 0.0);
    let good = hello(settings_with_seed(), "b");
    let mut outputs = Vec::new();
    for at in 0..good.len() {
        for change in [1, 0x40, 0x80, 0xff] {
            let mut bytes = good.clone();
            bytes[at] ^= change;
            member.step(0.1, [Input::DatagramReceived(bytes)], &mut outputs);
        }
    }
    member.step(0.2, [], &mut outputs);
}

/// 60,000 fake members join one after the other and then stop replying. The number of known members must stay bounded,
/// and the real members must stay alive.
#[test]
fn known_members_are_bounded_when_sixty_thousand_fake_members_join() {
    let settings = Settings {
        max_members: 64,
        ..settings_with_seed()
    };
    let mut members = [
        member(id("a", 1, 1), settings.clone(), 0.0),
        member(id("b", 2, 1), settings.clone(), 0.0),
    ];
    run(&mut members, 0.0, 2.0);
    for n in 0..60_000 {
        let fake_id = MemberId {
            name: format!("fake-{n}"),
            address: address(7),
            incarnation: 1,
            rejoin_count: 0,
        };
        let mut fake = Membership::new(
            settings.clone(),
            fake_id,
            MemberMetadata::for_role(Role::Planner),
            n,
            0.0,
        )
        .expect("a valid member");
        let mut outputs = Vec::new();
        // The fake member contacts `a` as its seed, and replies once to what `a` sends.
        fake.step(0.0, [], &mut outputs);
        let hellos: Vec<Vec<u8>> = outputs.drain(..).filter_map(datagram).collect();
        let mut replies = Vec::new();
        members[0].step(
            2.0,
            hellos.into_iter().map(Input::DatagramReceived),
            &mut replies,
        );
        let replies: Vec<Vec<u8>> = replies
            .into_iter()
            .filter(|output| matches!(output, Output::SendDatagram(to, _) if to.port() == 7))
            .filter_map(datagram)
            .collect();
        fake.step(
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
    // The fake members do not reply to probes, are declared failed, and no longer count as alive.
    run(&mut members, 2.0, 90.0);
    let b = state_of(&members[0], "b");
    assert_eq!(b.status, MemberStatus::Alive);
}

/// A member at its limit rejects new members that are named in a message of a known one. The rest of that message, such
/// as replies to probes, must not be dropped with them, else the known member would be declared failed.
#[test]
fn known_members_stay_alive_when_a_member_rejects_further_ones() {
    let limited = Settings {
        max_members: 1,
        ..settings_with_seed()
    };
    let mut members = vec![
        member(id("a", 1, 1), limited, 0.0),
        member(id("b", 2, 1), settings_with_seed(), 0.0),
    ];
    run(&mut members, 0.0, 2.0);
    // The other members join through `b`, which names them to `a`.
    let seeded_by_b = Settings {
        seed_addresses: vec![address(2)],
        ..Settings::default()
    };
    members.push(member(id("c", 3, 1), seeded_by_b.clone(), 2.0));
    members.push(member(id("d", 4, 1), seeded_by_b, 2.0));
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
