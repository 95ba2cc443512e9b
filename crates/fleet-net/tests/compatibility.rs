//! The JSON of `/debug/fleet`, which `tidespur fleet -o json` prints, stays as an earlier version wrote it.

use std::collections::BTreeMap;
use tidespur_fixtures::{assert_lines, fixture_path};
use tidespur_fleet::{Drop, Facts, Id, Role, Seen, Standing, View};
use tidespur_fleet_net::report;

const NOW: f64 = 100.0;

/// A new variant fails to compile here; add it to [`STANDINGS`] as well.
fn standing_name(standing: Standing) -> &'static str {
    match standing {
        Standing::Live => "live",
        Standing::Doubted => "doubted",
        Standing::Lost => "lost",
        Standing::Left => "left",
    }
}

const STANDINGS: [Standing; 4] = [Standing::Live, Standing::Doubted, Standing::Lost, Standing::Left];

/// A new variant fails to compile here; add it to [`DROPS`] as well.
fn drop_count(drop: Drop) -> u64 {
    match drop {
        Drop::Unreadable => 1,
        Drop::Version => 2,
        Drop::Cluster => 3,
        Drop::TooMany => 4,
    }
}

const DROPS: [Drop; 4] = [Drop::Unreadable, Drop::Version, Drop::Cluster, Drop::TooMany];

fn id(name: &str, turn: u32) -> Id {
    let address = "127.0.0.1:7400".parse().unwrap();
    Id { name: name.into(), address, born: 1_764_680_400_000_001, turn }
}

fn facts(role: Role) -> Facts {
    match role {
        Role::Edge => Facts {
            role,
            zone: "north-1".into(),
            api: "10.0.0.1:6443".into(),
            link: "10.0.0.1:6500".into(),
            open: Some(12),
            leaving: false,
        },
        Role::Planner => Facts { leaving: true, ..Facts::of(role) },
    }
}

fn member(name: &str, standing: Standing, facts: Option<Facts>) -> Seen {
    Seen { id: id(name, 2), standing, since: 40.5, facts, told_at: 99.75 }
}

/// A view with one member of each standing and role, and one that has told nothing yet.
fn view() -> View {
    let of_standing = |standing| member(standing_name(standing), standing, Some(facts(Role::Edge)));
    let mut members: Vec<Seen> = STANDINGS.into_iter().map(of_standing).collect();
    members.push(member("planner-1", Standing::Live, Some(facts(Role::Planner))));
    members.push(member("silent", Standing::Live, None));
    View {
        own: id("live", 0),
        members,
        settled: true,
        drops: DROPS.into_iter().map(|drop| (drop, drop_count(drop))).collect::<BTreeMap<_, _>>(),
        rejoins: 5,
        stalls: 6,
    }
}

#[test]
fn report_keeps_its_json_when_members_of_each_state_are_known() {
    let unsettled = View { settled: false, members: vec![], drops: BTreeMap::new(), ..view() };
    let lines = [("full", view()), ("empty", unsettled)]
        .map(|(name, view)| (name.to_owned(), report(&view, NOW).to_string()));
    assert_lines(&fixture_path(env!("CARGO_MANIFEST_DIR"), "debug-fleet.txt"), &lines);
}
