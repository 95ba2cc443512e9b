//! The JSON of `/debug/ledger`.

use serde_json::{Value, json};
use tidespur_coordination::{Lease, Seconds, Voter, VoterStatus};

/// The state of a voter as JSON, for operators and their tools. `now` is the current time of the voter's clock.
pub fn report(voter: &Voter, now: Seconds) -> Value {
    let state = voter.state();
    let leases: Vec<Value> = state
        .leases
        .iter()
        .map(|(name, lease)| report_lease(name, lease, voter.valid_token(now, name)))
        .collect();
    let waiting: Vec<&str> = voter.voters_awaiting_readmission().collect();
    json!({
        "standing": status_name(voter.status()),
        "leader": voter.leader(),
        "leases": leases,
        "notes": state.values.len(),
        "asking": waiting,
    })
}

fn report_lease(name: &str, lease: &Lease, valid_token: Option<u64>) -> Value {
    let holder = lease.holder.as_ref().map(|holder| holder.name.as_str());
    json!({
        "name": name,
        "token": lease.token,
        "holder": holder,
        "mayActHere": valid_token,
    })
}

fn status_name(status: &VoterStatus) -> &'static str {
    match status {
        VoterStatus::Voting => "voting",
        VoterStatus::Verifying(_) => "asking",
        VoterStatus::Quarantined { .. } => "barred",
    }
}
