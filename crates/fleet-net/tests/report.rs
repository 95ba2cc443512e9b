//! Keys and words of the fleet's report, which `/debug/fleet` and `tidespur fleet -o json` show.

#[path = "../../cli/tests/common/fixture.rs"]
mod fixture;

use fixture::Additions;
use std::collections::BTreeMap;
use tidespur_fleet::{Drop, Facts, Id, Role, Seen, Standing, View};

fn seen(name: &str, standing: Standing, role: Role) -> Seen {
    let id = Id { name: name.into(), address: "127.0.0.1:7001".parse().unwrap(), born: 17, turn: 2 };
    let mut facts = Facts::of(role);
    facts.zone = "halle-a".into();
    facts.api = "127.0.0.1:8001".into();
    facts.link = "127.0.0.1:8002".into();
    facts.open = Some(5);
    Seen { id, standing, since: 10.0, facts: Some(facts), told_at: 11.0 }
}

#[test]
fn the_report_is_the_same_to_the_byte() {
    let mut unknown = seen("edge-9", Standing::Live, Role::Edge);
    unknown.facts = None;
    let members = vec![
        seen("edge-0", Standing::Live, Role::Edge),
        seen("edge-1", Standing::Doubted, Role::Edge),
        seen("planner-0", Standing::Lost, Role::Planner),
        seen("planner-1", Standing::Left, Role::Planner),
        unknown,
    ];
    let causes = [Drop::Unreadable, Drop::Version, Drop::Cluster, Drop::TooMany];
    let drops: BTreeMap<Drop, u64> = causes.into_iter().zip(1..).collect();
    let own = members[0].id.clone();
    let view = View { own, members, settled: true, drops, rejoins: 3, stalls: 4 };
    let report = tidespur_fleet_net::report(&view, 20.5).to_string();
    fixture::check(env!("CARGO_MANIFEST_DIR"), "report.json", [report], Additions::Rejected);
}
