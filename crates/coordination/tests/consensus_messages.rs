//! The encodings of the consensus protocol's messages stay compatible with earlier versions, so that old and new voters
//! can work together while the fleet is upgraded.

mod samples;

use omnipaxos::ClusterConfig;
use omnipaxos::messages::Message;
use omnipaxos::messages::ballot_leader_election::{
    BLEMessage, HeartbeatMsg, HeartbeatReply, HeartbeatRequest,
};
use omnipaxos::messages::sequence_paxos::{
    AcceptDecide, AcceptStopSign, AcceptSync, Accepted, Compaction, Decide, NotAccepted,
    PaxosMessage, PaxosMsg, Prepare, PrepareReq, Promise,
};
use omnipaxos::storage::{NoSnapshot, SnapshotType, StopSign};
use omnipaxos::util::{FlexibleQuorum, LogSync, SequenceNumber};
use samples::{assert_wire_compatible, ballot, entries};
use tidespur_coordination::{Entry, PeerMessage};

fn sequence_number() -> SequenceNumber {
    SequenceNumber {
        session: 1,
        counter: 300,
    }
}

fn stop_sign(flexible_quorum: Option<FlexibleQuorum>) -> StopSign {
    let next_config = ClusterConfig {
        configuration_id: 2,
        nodes: vec![1, 2, 3],
        flexible_quorum,
    };
    StopSign {
        next_config,
        metadata: Some(vec![1, 255]),
    }
}

fn log_sync(decided_snapshot: Option<SnapshotType<Entry>>) -> LogSync<Entry> {
    let suffix = entries().into_iter().map(|(_, entry)| entry).collect();
    let quorum = FlexibleQuorum {
        read_quorum_size: 2,
        write_quorum_size: 2,
    };
    LogSync {
        decided_snapshot,
        suffix,
        sync_idx: 299,
        stopsign: Some(stop_sign(Some(quorum))),
    }
}

fn paxos_name(message: &PaxosMsg<Entry>) -> &'static str {
    match message {
        PaxosMsg::PrepareReq(_) => "prepare-req",
        PaxosMsg::Prepare(_) => "prepare",
        PaxosMsg::Promise(_) => "promise",
        PaxosMsg::AcceptSync(_) => "accept-sync",
        PaxosMsg::AcceptDecide(_) => "accept-decide",
        PaxosMsg::Accepted(_) => "accepted",
        PaxosMsg::NotAccepted(_) => "not-accepted",
        PaxosMsg::Decide(_) => "decide",
        PaxosMsg::ProposalForward(_) => "proposal-forward",
        PaxosMsg::Compaction(Compaction::Trim(_)) => "compaction trim",
        PaxosMsg::Compaction(Compaction::Snapshot(_)) => "compaction snapshot",
        PaxosMsg::AcceptStopSign(_) => "accept-stop-sign",
        PaxosMsg::ForwardStopSign(_) => "forward-stop-sign",
    }
}

fn paxos_messages() -> Vec<PaxosMsg<Entry>> {
    let all: Vec<Entry> = entries().into_iter().map(|(_, entry)| entry).collect();
    let (n, n_accepted, seq_num) = (ballot(8), ballot(7), sequence_number());
    let (decided_idx, accepted_idx) = (299, 300);
    let complete = Some(SnapshotType::Complete(NoSnapshot));
    let delta = Some(SnapshotType::Delta(NoSnapshot));
    vec![
        PaxosMsg::PrepareReq(PrepareReq { n }),
        PaxosMsg::Prepare(Prepare {
            n,
            decided_idx,
            n_accepted,
            accepted_idx,
        }),
        PaxosMsg::Promise(Promise {
            n,
            n_accepted,
            decided_idx,
            accepted_idx,
            log_sync: Some(log_sync(complete)),
        }),
        PaxosMsg::AcceptSync(AcceptSync {
            n,
            seq_num,
            decided_idx,
            log_sync: log_sync(delta),
        }),
        PaxosMsg::AcceptDecide(AcceptDecide {
            n,
            seq_num,
            decided_idx,
            entries: all.clone(),
        }),
        PaxosMsg::Accepted(Accepted { n, accepted_idx }),
        PaxosMsg::NotAccepted(NotAccepted { n }),
        PaxosMsg::Decide(Decide {
            n,
            seq_num,
            decided_idx,
        }),
        PaxosMsg::ProposalForward(all),
        PaxosMsg::Compaction(Compaction::Trim(300)),
        PaxosMsg::Compaction(Compaction::Snapshot(Some(300))),
        PaxosMsg::AcceptStopSign(AcceptStopSign {
            n,
            seq_num,
            ss: stop_sign(None),
        }),
        PaxosMsg::ForwardStopSign(stop_sign(None)),
    ]
}

#[test]
fn log_replication_messages_keep_their_bytes_when_encoded_and_decoded() {
    let sample = |msg: PaxosMsg<Entry>| {
        let name = paxos_name(&msg);
        (
            name,
            PeerMessage::Consensus(Box::new(Message::SequencePaxos(PaxosMessage {
                from: 1,
                to: 5,
                msg,
            }))),
        )
    };
    let samples: Vec<(&str, PeerMessage)> = paxos_messages().into_iter().map(sample).collect();
    assert_wire_compatible("log-replication.txt", &samples);
}

fn heartbeat_name(message: &HeartbeatMsg) -> &'static str {
    match message {
        HeartbeatMsg::Request(_) => "request",
        HeartbeatMsg::Reply(_) => "reply",
    }
}

#[test]
fn leader_election_messages_keep_their_bytes_when_encoded_and_decoded() {
    let reply = HeartbeatReply {
        round: 300,
        ballot: ballot(8),
        leader: ballot(7),
        happy: true,
    };
    let messages = [
        HeartbeatMsg::Request(HeartbeatRequest { round: 300 }),
        HeartbeatMsg::Reply(reply),
    ];
    let sample = |msg: HeartbeatMsg| {
        let name = heartbeat_name(&msg);
        (
            name,
            PeerMessage::Consensus(Box::new(Message::BLE(BLEMessage {
                from: 5,
                to: 1,
                msg,
            }))),
        )
    };
    assert_wire_compatible("leader-election.txt", &messages.map(sample));
}
