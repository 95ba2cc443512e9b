//! Name conflicts, graceful departure, and metadata, among a few members in simulated time.

mod common;

use common::{datagram, id, member, run, settings_with_seed, state_of};
use tidespur_membership::{
    Input, MemberMetadata, MemberStatus, Membership, MembershipError, Output, Role, Settings,
};

/// The newer process keeps the name; the older one is notified, ends and sends nothing more.
#[test]
fn older_process_ends_when_two_have_the_same_name() {
    let mut members = [
        member(id("a", 1, 1), settings_with_seed(), 0.0),
        member(id("x", 2, 5), settings_with_seed(), 0.0),
    ];
    run(&mut members, 0.0, 5.0);
    let [a, x] = members;
    let mut members = [a, x, member(id("x", 3, 9), settings_with_seed(), 5.0)];
    let events = run(&mut members, 5.0, 10.0);
    assert!(
        events.contains(&(1, Output::Replaced(id("x", 3, 9)))),
        "{events:?}"
    );
    assert!(
        !events
            .iter()
            .any(|(index, output)| *index == 2 && matches!(output, Output::Replaced(_)))
    );
    assert_eq!(members[1].next_wake(), f64::INFINITY);
    let member = state_of(&members[0], "x");
    assert_eq!(
        (member.id.address.port(), member.status),
        (3, MemberStatus::Alive)
    );
}

/// The restarted process has a lower incarnation than the killed one, and must not be taken for an older process.
#[test]
fn restarted_process_joins_when_the_clock_was_set_back() {
    let mut members = [
        member(id("a", 1, 1), settings_with_seed(), 0.0),
        member(id("x", 2, 500), settings_with_seed(), 0.0),
    ];
    run(&mut members, 0.0, 5.0);
    let [a, _] = members;
    let mut members = [a, member(id("x", 2, 400), settings_with_seed(), 5.0)];
    let events = run(&mut members, 5.0, 15.0);
    assert!(
        !events
            .iter()
            .any(|(_, output)| matches!(output, Output::Replaced(_))),
        "{events:?}"
    );
    let member = state_of(&members[0], "x");
    assert!(
        member.id.incarnation > 500 && member.status == MemberStatus::Alive,
        "{member:?}"
    );
}

#[test]
fn member_is_reported_as_left_and_not_as_failed_when_it_leaves_gracefully() {
    let mut members = [
        member(id("a", 1, 1), settings_with_seed(), 0.0),
        member(id("b", 2, 1), settings_with_seed(), 0.0),
    ];
    run(&mut members, 0.0, 3.0);
    let mut outputs = Vec::new();
    members[1].step(3.0, [Input::LeaveFleet], &mut outputs);
    let mut events = Vec::new();
    members[0].step(
        3.0,
        outputs
            .into_iter()
            .filter_map(datagram)
            .map(Input::DatagramReceived),
        &mut events,
    );
    assert!(
        events.contains(&Output::MemberLeft("b".into())),
        "{events:?}"
    );
    assert!(
        !events.contains(&Output::MemberFailed("b".into())),
        "{events:?}"
    );
}

#[test]
fn starting_fails_when_the_metadata_does_not_fit_into_a_datagram() {
    let too_large = MemberMetadata {
        zone: "z".repeat(500),
        ..MemberMetadata::for_role(Role::Edge)
    };
    let error = Membership::new(Settings::default(), id("a", 1, 1), too_large, 1, 0.0).err();
    assert!(error.is_some_and(|error| {
        matches!(error, MembershipError::MetadataTooLarge { .. })
            && error.to_string().contains("400 bytes")
    }));
}

#[test]
fn newest_metadata_is_known_to_the_others_when_a_member_updates_it() {
    let mut members = [
        member(id("a", 1, 1), settings_with_seed(), 0.0),
        member(id("b", 2, 1), settings_with_seed(), 0.0),
    ];
    run(&mut members, 0.0, 3.0);
    for open_tasks in 1..20 {
        let metadata = MemberMetadata {
            open_tasks: Some(open_tasks),
            link_address: "127.0.0.1:7".into(),
            ..MemberMetadata::for_role(Role::Planner)
        };
        members[1].step(3.0, [Input::UpdateMetadata(metadata)], &mut vec![]);
    }
    run(&mut members, 3.0, 6.0);
    let view = members[0].view();
    let b = view
        .members
        .iter()
        .find(|member| member.id.name == "b")
        .expect("member b is known");
    assert_eq!(
        b.metadata
            .as_ref()
            .map(|metadata| (metadata.open_tasks, metadata.role)),
        Some((Some(19), Role::Planner))
    );
    assert!(view.has_converged);
}
