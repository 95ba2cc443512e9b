//! Keys and values of the JSON report that `/debug/fleet` and `tidespur fleet -o json` return.

#[path = "../../cli/tests/common/fixture.rs"]
mod fixture;

use fixture::Additions;
use std::collections::BTreeMap;
use tidespur_membership::{
    DropReason, MemberId, MemberMetadata, MemberState, MemberStatus, MembershipView, Role,
};

fn member(name: &str, status: MemberStatus, role: Role) -> MemberState {
    let id = MemberId {
        name: name.into(),
        address: "127.0.0.1:7001".parse().unwrap(),
        incarnation: 17,
        rejoin_count: 2,
    };
    let mut metadata = MemberMetadata::for_role(role);
    metadata.zone = "halle-a".into();
    metadata.api_address = "127.0.0.1:8001".into();
    metadata.link_address = "127.0.0.1:8002".into();
    metadata.open_tasks = Some(5);
    MemberState {
        id,
        status,
        since: 10.0,
        metadata: Some(metadata),
        metadata_received_at: 11.0,
    }
}

#[test]
fn report_equals_the_fixture_byte_for_byte_when_members_of_each_status_are_known() {
    let mut without_metadata = member("edge-9", MemberStatus::Alive, Role::Edge);
    without_metadata.metadata = None;
    let members = vec![
        member("edge-0", MemberStatus::Alive, Role::Edge),
        member("edge-1", MemberStatus::Suspect, Role::Edge),
        member("planner-0", MemberStatus::Failed, Role::Planner),
        member("planner-1", MemberStatus::Left, Role::Planner),
        without_metadata,
    ];
    let drop_reasons = [
        DropReason::Malformed,
        DropReason::ProtocolVersion,
        DropReason::OtherCluster,
        DropReason::TooManyMembers,
    ];
    let drops: BTreeMap<DropReason, u64> = drop_reasons.into_iter().zip(1..).collect();
    let own = members[0].id.clone();
    let view = MembershipView {
        own,
        members,
        has_converged: true,
        drops,
        rejoins: 3,
        stalls: 4,
    };
    let report = tidespur_membership_net::view_to_json(&view, 20.5).to_string();
    fixture::check(
        env!("CARGO_MANIFEST_DIR"),
        "report.json",
        [report],
        Additions::Rejected,
    );
}
