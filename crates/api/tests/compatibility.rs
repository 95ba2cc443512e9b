//! Compatibility of names in the API that clients use: annotations, labels, headers, reasons, resources and paths.

#[path = "../../cli/tests/common/fixture.rs"]
mod fixture;

use fixture::Additions;
use tidespur_api::{names, resource};

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");

#[test]
fn annotations_labels_headers_and_reasons_are_unchanged() {
    let found = [
        ("annotation: expected seconds", names::EXPECTED_SECONDS),
        (
            "annotation: seconds until the owner gives up",
            names::GIVE_UP_SECONDS,
        ),
        (
            "annotation: comes after a refused, failed or lost one",
            names::RESUBMITTED,
        ),
        (
            "annotation: name of the orphan that is taken over",
            names::ADOPTED_POD_NAME,
        ),
        (
            "annotation at a node: key of repeats",
            names::IDEMPOTENCY_KEY,
        ),
        (
            "annotation at a node: uid of the edge's Pod",
            names::EDGE_POD_UID,
        ),
        ("annotation of a node: address", names::ADDRESS),
        ("annotation of a node: up since", names::STARTED_AT),
        ("annotation of a node: free cores", names::UNCLAIMED_CPU),
        ("annotation of a node: free memory", names::UNCLAIMED_MEMORY),
        ("label of a node: zone", names::ZONE),
        ("label of a node: rack", names::RACK),
        ("label of a node: kind", names::INSTANCE_TYPE),
        ("label of a Pod: name of its Job", names::JOB_NAME),
        ("label of a Pod: uid of its Job", names::JOB_UID),
        ("header: load of a node", names::LOAD_HEADER),
        ("header: zone of a request", names::ZONE_HEADER),
        ("header: program that sent a request", names::PEER_HEADER),
        ("condition of a Job: waiting", names::PENDING_CONDITION),
        ("reason of a Pod: not placed", names::PLACEMENT_REFUSED),
        ("reason of a Pod: may have run", names::PLACEMENT_UNKNOWN),
    ];
    let lines = found.map(|(what, name)| format!("{what} = {name}"));
    fixture::check(PACKAGE, "names.txt", lines, Additions::Rejected);
    assert_eq!(names::MEMORY_UNIT, 1_073_741_824.0);
}

#[test]
fn every_constant_of_names_is_in_the_fixture() {
    let source = include_str!("../src/names.rs");
    let constants = source
        .lines()
        .filter(|line| line.starts_with("pub const") && line.contains("&str"))
        .count();
    assert_eq!(
        constants,
        fixture::read(PACKAGE, "names.txt").len(),
        "names.txt does not have one line for each name"
    );
}

#[test]
fn resources_and_their_paths_are_unchanged() {
    let mut lines = Vec::new();
    for group in ["", "batch"] {
        let list = resource::resource_list(group);
        lines.extend(
            list["resources"]
                .as_array()
                .unwrap()
                .iter()
                .map(|r| format!("{group:?} {r}")),
        );
    }
    lines.extend(
        resource::RESOURCES
            .iter()
            .map(|r| format!("one: {}", r.path("SPACE", "NAME"))),
    );
    lines.extend(
        resource::RESOURCES
            .iter()
            .map(|r| format!("all: {}", r.path("", ""))),
    );
    fixture::check(PACKAGE, "resources.txt", lines, Additions::Rejected);
}
