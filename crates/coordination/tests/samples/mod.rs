//! Samples of the data that voters store and send, with at least one of each variant.
#![allow(dead_code, reason = "each test file uses a part")]

use omnipaxos::ballot_leader_election::Ballot;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::path::PathBuf;
use tidespur_coordination::{
    Entry, Holder, KnownPosition, Lease, LogPosition, Readmission, ReplicatedState,
};
use tidespur_fixtures::{Codec, assert_compatible, fixture_path, from_hex, to_hex};

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

pub fn position() -> LogPosition {
    LogPosition {
        store_created_at: 1_764_680_400_000_000,
        generation: 4,
        start_nonce: u64::MAX,
        incarnation: 1,
        promise: Some(ballot(8)),
        accepted: (Some(ballot(7)), 300),
        decided: 299,
    }
}

pub fn known_position() -> KnownPosition {
    KnownPosition {
        position: Some(position()),
        may_vote: true,
        min_promise: Some(ballot(9)),
        incarnation: 2,
    }
}

pub fn unknown_position() -> KnownPosition {
    KnownPosition {
        position: None,
        may_vote: false,
        min_promise: None,
        incarnation: 0,
    }
}

/// A state with a held lease, a released lease, a value, and readmissions of two voters.
pub fn state() -> ReplicatedState {
    let held = Lease {
        token: 7,
        holder: Some(holder()),
        last_request: 70_000,
    };
    let released = Lease {
        token: 2,
        holder: None,
        last_request: 1,
    };
    let readmission = Readmission {
        store_created_at: 11,
        generation: 12,
        min_promise: Some(ballot(5)),
        incarnation: 1,
    };
    let without_promise = Readmission {
        min_promise: None,
        ..readmission.clone()
    };
    ReplicatedState {
        leases: BTreeMap::from([("fleet".to_owned(), held), ("other".to_owned(), released)]),
        values: BTreeMap::from([("settings".to_owned(), b"{\"a\":1}\xff".to_vec())]),
        readmissions: BTreeMap::from([
            ("edge-2".to_owned(), readmission),
            ("edge-3".to_owned(), without_promise),
        ]),
    }
}

/// Names the sample of an entry. A new variant does not compile until it is added here; add a sample to [`entries`]
/// too.
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
            observed_token: 6,
            observed_request: 300,
            request: 301,
        },
        Entry::Renew {
            lease: lease(),
            token: 7,
            request: 302,
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
            store_created_at: 11,
            generation: 12,
            min_promise: Some(ballot(5)),
        },
    ];
    entries
        .into_iter()
        .map(|entry| (entry_name(&entry), entry))
        .collect()
}

pub fn fixture(file: &str) -> PathBuf {
    fixture_path(env!("CARGO_MANIFEST_DIR"), file)
}

pub fn assert_wire_compatible<T: Debug + Serialize + DeserializeOwned>(
    file: &str,
    samples: &[(&str, T)],
) {
    let encode = |value: &T| to_hex(&postcard::to_stdvec(value).unwrap());
    let decode = |text: &str| postcard::from_bytes(&from_hex(text)).unwrap();
    assert_compatible(
        &fixture(file),
        samples,
        &Codec {
            encode: &encode,
            decode: &decode,
        },
    );
}
