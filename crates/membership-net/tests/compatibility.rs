//! The JSON of `/debug/fleet`, which `tidespur fleet -o json` prints, is the same as in earlier versions.

use std::collections::BTreeMap;
use tidespur_fixtures::{assert_lines, fixture_path};
use tidespur_membership::{
    DropReason, MemberId, MemberMetadata, MemberState, MemberStatus, MembershipView, Role,
};
use tidespur_membership_net::view_to_json;

const NOW: f64 = 100.0;

/// Exhaustive, so that a new variant fails to compile here; it also has to be added to [`STATUSES`].
fn status_name(status: MemberStatus) -> &'static str {
    match status {
        MemberStatus::Alive => "live",
        MemberStatus::Suspect => "doubted",
        MemberStatus::Failed => "lost",
        MemberStatus::Left => "left",
    }
}

const STATUSES: [MemberStatus; 4] = [
    MemberStatus::Alive,
    MemberStatus::Suspect,
    MemberStatus::Failed,
    MemberStatus::Left,
];

/// Exhaustive, so that a new variant fails to compile here; it also has to be added to [`DROP_REASONS`].
fn drop_count(reason: DropReason) -> u64 {
    match reason {
        DropReason::Malformed => 1,
        DropReason::ProtocolVersion => 2,
        DropReason::OtherCluster => 3,
        DropReason::TooManyMembers => 4,
    }
}

const DROP_REASONS: [DropReason; 4] = [
    DropReason::Malformed,
    DropReason::ProtocolVersion,
    DropReason::OtherCluster,
    DropReason::TooManyMembers,
];

fn id(name: &str, rejoin_count: u32) -> MemberId {
    let address = "127.0.0.1:7400".parse().unwrap();
    MemberId {
        name: name.into(),
        address,
        incarnation: 1_764_680_400_000_001,
        rejoin_count,
    }
}

fn metadata(role: Role) -> MemberMetadata {
    match role {
        Role::Edge => MemberMetadata {
            role,
            zone: "north-1".into(),
            api_address: "10.0.0.1:6443".into(),
            link_address: "10.0.0.1:6500".into(),
            open_tasks: Some(12),
            is_leaving: false,
        },
        Role::Planner => MemberMetadata {
            is_leaving: true,
            ..MemberMetadata::for_role(role)
        },
    }
}

fn member(name: &str, status: MemberStatus, metadata: Option<MemberMetadata>) -> MemberState {
    MemberState {
        id: id(name, 2),
        status,
        since: 40.5,
        metadata,
        metadata_received_at: 99.75,
    }
}

/// A view with one member of each status and role, and one without metadata.
fn view() -> MembershipView {
    let with_status = |status| member(status_name(status), status, Some(metadata(Role::Edge)));
    let mut members: Vec<MemberState> = STATUSES.into_iter().map(with_status).collect();
    members.push(member(
        "planner-1",
        MemberStatus::Alive,
        Some(metadata(Role::Planner)),
    ));
    members.push(member("silent", MemberStatus::Alive, None));
    MembershipView {
        own: id("live", 0),
        members,
        has_converged: true,
        drops: DROP_REASONS
            .into_iter()
            .map(|reason| (reason, drop_count(reason)))
            .collect::<BTreeMap<_, _>>(),
        rejoins: 5,
        stalls: 6,
    }
}

#[test]
fn report_keeps_its_json_when_members_of_each_state_are_known() {
    let empty_view = MembershipView {
        has_converged: false,
        members: vec![],
        drops: BTreeMap::new(),
        ..view()
    };
    let lines = [("full", view()), ("empty", empty_view)]
        .map(|(name, view)| (name.to_owned(), view_to_json(&view, NOW).to_string()));
    assert_lines(
        &fixture_path(env!("CARGO_MANIFEST_DIR"), "debug-fleet.txt"),
        &lines,
    );
}
