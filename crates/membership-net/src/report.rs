//! The JSON of `/debug/fleet`, which `tidespur fleet -o json` prints.

use serde_json::{Map, Value, json};
use tidespur_membership::{MemberState, MembershipView, Seconds};

/// Converts a view to JSON for operators and their tools. `now` is a time of the clock of the member that has the view.
pub fn view_to_json(view: &MembershipView, now: Seconds) -> Value {
    let members: Vec<Value> = view
        .members
        .iter()
        .map(|member| member_to_json(member, now))
        .collect();
    let drops: Map<String, Value> = view
        .drops
        .iter()
        .map(|(reason, count)| (reason.as_str().to_owned(), (*count).into()))
        .collect();
    json!({
        "asked": view.own.name,
        "settled": view.has_converged,
        "live": view.live_members().count(),
        "members": members,
        "drops": drops,
        "rejoins": view.rejoins,
        "stalls": view.stalls,
    })
}

fn member_to_json(member: &MemberState, now: Seconds) -> Value {
    let metadata = member.metadata.as_ref();
    let metadata_age = (now - member.metadata_received_at).max(0.0);
    json!({
        "name": member.id.name,
        "address": member.id.address.to_string(),
        "incarnation": member.id.incarnation,
        "turn": member.id.rejoin_count,
        "state": member.status.as_str(),
        "for": (now - member.since).max(0.0),
        "role": metadata.map(|metadata| metadata.role.as_str()),
        "zone": metadata.map(|metadata| metadata.zone.as_str()),
        "api": metadata.map(|metadata| metadata.api_address.as_str()),
        "link": metadata.map(|metadata| metadata.link_address.as_str()),
        "open": metadata.and_then(|metadata| metadata.open_tasks),
        "factsAge": metadata.map(|_| metadata_age),
    })
}
