//! The JSON of `/debug/fleet`, which `tidespur fleet -o json` prints, stays as an earlier version wrote it.

use std::collections::BTreeMap;
use tidespur_fixtures::{assert_lines, fixture_path};
use tidespur_membership::{
    DropReason, MemberId, MemberMetadata, MemberState, MemberStatus, MembershipView, Role,
};
use tidespur_membership_net::view_to_json;

const NOW: f64 = 100.0;

/// A new variant fails to compile here; add it to [`STANDINGS`] as well.
fn standing_name(standing: MemberStatus) -> &'static str {
    match standing {
        MemberStatus::Alive => "live",
        MemberStatus::Suspect => "doubted",
        MemberStatus::Failed => "lost",
        MemberStatus::Left => "left",
    }
}

const STANDINGS: [MemberStatus; 4] = [
    MemberStatus::Alive,
    MemberStatus::Suspect,
    MemberStatus::Failed,
    MemberStatus::Left,
];

/// A new variant fails to compile here; add it to [`DROPS`] as well.
fn drop_count(drop: DropReason) -> u64 {
    match drop {
        DropReason::Malformed => 1,
        DropReason::ProtocolVersion => 2,
        DropReason::OtherCluster => 3,
        DropReason::TooManyMembers => 4,
    }
}

const DROPS: [DropReason; 4] = [
    DropReason::Malformed,
    DropReason::ProtocolVersion,
    DropReason::OtherCluster,
    DropReason::TooManyMembers,
];

fn id(name: &str, turn: u32) -> MemberId {
    let address = "127.0.0.1:7400".parse().unwrap();
    MemberId {
        name: name.into(),
        address,
        incarnation: 1_764_680_400_000_001,
        rejoin_count: turn,
    }
}

fn facts(role: Role) -> MemberMetadata {
    match role {
        Role::Edge => MemberMetadata {
            role,
            zone: "north-1".into(),
            api: "10.0.0.1:6443".into(),
            link: "10.0.0.1:6500".into(),
            open_tasks: Some(12),
            leaving: false,
        },
        Role::Planner => MemberMetadata {
            leaving: true,
            ..MemberMetadata::for_role(role)
        },
    }
}

fn member(name: &str, standing: MemberStatus, facts: Option<MemberMetadata>) -> MemberState {
    MemberState {
        id: id(name, 2),
        status: standing,
        since: 40.5,
        metadata: facts,
        metadata_received_at: 99.75,
    }
}

/// A view with one member of each standing and role, and one that has told nothing yet.
fn view() -> MembershipView {
    let of_standing = |standing| member(standing_name(standing), standing, Some(facts(Role::Edge)));
    let mut members: Vec<MemberState> = STANDINGS.into_iter().map(of_standing).collect();
    members.push(member(
        "planner-1",
        MemberStatus::Alive,
        Some(facts(Role::Planner)),
    ));
    members.push(member("silent", MemberStatus::Alive, None));
    MembershipView {
        own: id("live", 0),
        members,
        settled: true,
        drops: DROPS
            .into_iter()
            .map(|drop| (drop, drop_count(drop)))
            .collect::<BTreeMap<_, _>>(),
        rejoins: 5,
        stalls: 6,
    }
}

#[test]
fn report_keeps_its_json_when_members_of_each_state_are_known() {
    let unsettled = MembershipView {
        settled: false,
        members: vec![],
        drops: BTreeMap::new(),
        ..view()
    };
    let lines = [("full", view()), ("empty", unsettled)]
        .map(|(name, view)| (name.to_owned(), view_to_json(&view, NOW).to_string()));
    assert_lines(
        &fixture_path(env!("CARGO_MANIFEST_DIR"), "debug-fleet.txt"),
        &lines,
    );
}
