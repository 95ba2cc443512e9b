//! Samples of what voters store and send: at least one of each variant.
#![allow(dead_code, reason = "each test file uses a part")]

use omnipaxos::ballot_leader_election::Ballot;
use std::collections::BTreeMap;
use tidespur_coordination::{
    Entry, Holder, Known, Lease, LogPosition, Readmission, ReplicatedState,
};

pub fn ballot(n: u32) -> Ballot {
    Ballot {
        config_id: 1,
        n,
        priority: 2,
        pid: 3,
    }
}

pub fn holder() -> Holder {
    Holder {
        name: "edge-1".into(),
        incarnation: 1_764_680_400_000_001,
    }
}

pub fn mark() -> LogPosition {
    LogPosition {
        begun: 1_764_680_400_000_000,
        turn: 4,
        start: u64::MAX,
        life: 1,
        promise: Some(ballot(8)),
        accepted: (Some(ballot(7)), 300),
        decided: 299,
    }
}

pub fn known() -> Known {
    Known {
        mark: Some(mark()),
        fits: true,
        floor: Some(ballot(9)),
        life: 2,
    }
}

pub fn unknown() -> Known {
    Known {
        mark: None,
        fits: false,
        floor: None,
        life: 0,
    }
}

/// A state with a lease that is held, one that was given back, a note and a voter that was taken in again.
pub fn state() -> ReplicatedState {
    let held = Lease {
        token: 7,
        holder: Some(holder()),
        heard: 70_000,
    };
    let free = Lease {
        token: 2,
        holder: None,
        heard: 1,
    };
    let again = Readmission {
        begun: 11,
        turn: 12,
        floor: Some(ballot(5)),
        life: 1,
    };
    let never_promised = Readmission {
        floor: None,
        ..again.clone()
    };
    ReplicatedState {
        leases: BTreeMap::from([("fleet".to_owned(), held), ("other".to_owned(), free)]),
        values: BTreeMap::from([("settings".to_owned(), b"{\"a\":1}\xff".to_vec())]),
        readmissions: BTreeMap::from([
            ("edge-2".to_owned(), again),
            ("edge-3".to_owned(), never_promised),
        ]),
    }
}

/// A new variant fails to compile here until it has a name; add a sample of it to [`entries`] as well.
fn entry_name(entry: &Entry) -> &'static str {
    match entry {
        Entry::Noop => "nothing",
        Entry::Snapshot(_) => "whole",
        Entry::Acquire { .. } => "take",
        Entry::Renew { .. } => "renew",
        Entry::Release { .. } => "give",
        Entry::Put { .. } => "note",
        Entry::Readmit { .. } => "readmit",
    }
}

pub fn entries() -> Vec<(&'static str, Entry)> {
    let lease = || "fleet".to_owned();
    let (key, value) = ("settings".to_owned(), vec![0, 127, 255]);
    let entries = [
        Entry::Noop,
        Entry::Snapshot(Box::new(state())),
        Entry::Acquire {
            lease: lease(),
            holder: holder(),
            after: 6,
            heard: 300,
            ask: 301,
        },
        Entry::Renew {
            lease: lease(),
            token: 7,
            ask: 302,
        },
        Entry::Release {
            lease: lease(),
            token: 7,
        },
        Entry::Put {
            lease: lease(),
            token: 7,
            key,
            value,
        },
        Entry::Readmit {
            voter: "edge-2".into(),
            begun: 11,
            turn: 12,
            floor: Some(ballot(5)),
        },
    ];
    entries
        .into_iter()
        .map(|entry| (entry_name(&entry), entry))
        .collect()
}
