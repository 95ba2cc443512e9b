//! The stored data of a voter and the stored fence of a planner: this version loads all records that an earlier version
//! wrote, and writes the same ones.

mod samples;

use omnipaxos::storage::Storage;
use samples::{ballot, entries, known_position, position};
use tidespur_coordination::{
    Entry, Fence, Input, KnownPosition, Log, LogPosition, Output, PeerMessage, Settings, Voter,
    VoterStatus,
};
use tidespur_fixtures::{StoredFolder, assert_stored};
use tidespur_persistence::{Batch, Identity, LoadedRecords};

const VOTERS: [&str; 5] = ["edge-1", "edge-2", "edge-3", "edge-4", "edge-5"];
const START_NONCE: u64 = 42;

fn settings() -> Settings {
    Settings {
        voters: VOTERS.map(str::to_owned).to_vec(),
        name: VOTERS[0].into(),
        incarnation: 1,
        start_nonce: START_NONCE,
        lease_term: 3.0,
        max_clock_drift: 0.01,
    }
}

/// Two compacted entries, followed by one entry of each kind.
fn log_entries() -> Vec<Entry> {
    let compacted = [Entry::Noop, Entry::Noop];
    let all = entries()
        .into_iter()
        .map(|(_, entry)| entry)
        .filter(|entry| *entry != Entry::Noop);
    compacted
        .into_iter()
        .chain(all)
        .chain([Entry::Noop])
        .collect()
}

fn log_batch() -> Batch {
    let mut log = Log::default();
    log.append_entries(log_entries()).unwrap();
    log.set_promise(ballot(8)).unwrap();
    log.set_accepted_round(ballot(7)).unwrap();
    log.set_decided_idx(5).unwrap();
    log.take_batch()
}

fn load(batch: &Batch) -> LoadedRecords {
    let written = batch
        .changes()
        .filter_map(|(record, value)| Some((record.clone(), value?.to_vec())));
    LoadedRecords {
        records: written.collect(),
        generation: 1,
        created_at: 1,
    }
}

/// The position of a peer that was never readmitted.
fn peer_position() -> LogPosition {
    LogPosition {
        incarnation: 0,
        ..position()
    }
}

/// The records that the voter stores after `edge-2` announced its position and `edge-3` replied to the voter's
/// position.
fn peers_batch(log: &Batch) -> Batch {
    let mut voter = Voter::new(settings(), &load(log), 0.0).unwrap();
    let inputs = [
        Input::MessageReceived("edge-2".into(), PeerMessage::Position(peer_position())),
        Input::MessageReceived(
            "edge-3".into(),
            PeerMessage::KnownPosition(known_position()),
        ),
    ];
    let mut outputs = Vec::new();
    voter.step(0.0, inputs, &mut outputs);
    let mut batch = Batch::default();
    for output in outputs {
        if let Output::Persist(_, written) = output {
            batch.extend(written);
        }
    }
    batch
}

fn stored_voter() -> StoredFolder {
    let mut batch = log_batch();
    batch.extend(peers_batch(&batch));
    let owner = Identity {
        role: "edge".into(),
        name: VOTERS[0].into(),
        cluster: "altmuehlfeld".into(),
    };
    assert_stored(env!("CARGO_MANIFEST_DIR"), "voter", &owner, &batch)
}

#[test]
fn log_is_complete_when_loaded_from_an_earlier_versions_folder() {
    let stored = stored_voter();

    let log = Log::load(&stored.loaded).unwrap();

    assert_eq!(log.get_suffix(0).unwrap(), log_entries());
    assert_eq!(log.len(), log_entries().len());
    assert_eq!(log.decided(), 5);
    assert_eq!(log.accepted(), (Some(ballot(7)), log_entries().len()));
    // `edge-3` replied with a higher ballot than the log had promised before.
    assert_eq!(log.promise(), Some(ballot(9)));
}

#[test]
fn own_and_peers_positions_are_complete_when_loaded_from_an_earlier_versions_folder() {
    let stored = stored_voter();
    let mut voter = Voter::new(settings(), &stored.loaded, 0.0).unwrap();
    assert_eq!(voter.status(), &VoterStatus::Verifying(0));

    let mut outputs = Vec::new();
    let older = LogPosition {
        generation: 3,
        ..peer_position()
    };
    voter.step(
        0.0,
        [Input::MessageReceived(
            "edge-2".into(),
            PeerMessage::Position(older),
        )],
        &mut outputs,
    );

    let sent: Vec<(String, PeerMessage)> = outputs
        .into_iter()
        .filter_map(|output| match output {
            Output::Send(to, message) => Some((to, message)),
            _ => None,
        })
        .collect();
    let reply = KnownPosition {
        position: Some(peer_position()),
        may_vote: false,
        min_promise: Some(ballot(9)),
        incarnation: 0,
    };
    let own = LogPosition {
        store_created_at: stored.loaded.created_at,
        generation: 2,
        start_nonce: START_NONCE,
        incarnation: 2,
        promise: Some(ballot(9)),
        accepted: (Some(ballot(7)), log_entries().len()),
        decided: 5,
    };
    let mut expected: Vec<(String, PeerMessage)> = VOTERS[1..]
        .iter()
        .map(|voter| ((*voter).to_owned(), PeerMessage::Position(own)))
        .collect();
    expected.push(("edge-2".into(), PeerMessage::KnownPosition(reply)));
    expected.rotate_right(1);
    assert_eq!(format!("{sent:?}"), format!("{expected:?}"));
}

#[test]
fn fences_are_complete_when_loaded_from_an_earlier_versions_folder() {
    let mut written = Fence::default();
    written.admit("fleet", 70_000).unwrap();
    written.admit("other", 1).unwrap();
    let owner = Identity {
        role: "planner".into(),
        name: "planner-1".into(),
        cluster: "altmuehlfeld".into(),
    };
    let stored = assert_stored(
        env!("CARGO_MANIFEST_DIR"),
        "fence",
        &owner,
        &written.take_batch(),
    );

    let mut fence = Fence::load(&stored.loaded);

    let stale = fence.admit("fleet", 69_999).unwrap_err();
    assert_eq!(
        (stale.lease.as_str(), stale.token, stale.newest),
        ("fleet", 69_999, 70_000)
    );
    assert_eq!(fence.admit("other", 0).unwrap_err().newest, 1);
    assert_eq!(fence.admit("fleet", 70_000), Ok(()));
    assert!(fence.take_batch().is_empty());
}
