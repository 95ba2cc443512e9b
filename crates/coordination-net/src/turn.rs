//! One turn after the other.

use crate::lock;
use crate::streams::Frame;
use async_channel::{Receiver, Sender};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tidespur_coordination::{Input, Output, PeerMessage, Voter, VoterStatus};
use tidespur_net::clock;
use tidespur_persistence::{Disk, Outbox};

/// Inputs that are taken into one step.
const STEP_MOST: usize = 256;

/// Words that wait for the disk.
const HELD_MOST: usize = 4_096;

/// What the loop is told.
pub(crate) enum Event {
    Input(Input),
    /// The stream of this number to a voter stands.
    Up(String, u64, Sender<Frame>),
    /// It is lost.
    Down(String, u64),
    /// A voter says this on it.
    Heard(String, u64, PeerMessage),
}

/// A number for a stream.
pub(crate) fn number() -> u64 {
    static LAST: AtomicU64 = AtomicU64::new(0);
    LAST.fetch_add(1, Ordering::Relaxed) + 1
}

/// What waits for the disk.
enum Held {
    Safe(u64),
    Say(String, PeerMessage),
}

type Streams = BTreeMap<String, (u64, Sender<Frame>)>;

pub(crate) async fn run(
    name: String,
    ledger: Arc<Mutex<Voter>>,
    told: Receiver<Event>,
    disk: Arc<Disk>,
) {
    let came = disk.subscribe();
    let (mut streams, mut outbox) = (Streams::new(), Outbox::default());
    // The disk's number of the last batch that is not known as safe.
    let mut last = 0;
    loop {
        let wake = lock(&ledger).next_wake() - clock::now();
        let disk_came = async { came.recv().await.ok().map(|()| None) };
        let event = async { told.recv().await.ok().map(Some) };
        let first = match clock::timeout(wake, smol::future::or(event, disk_came)).await {
            Some(None) => return,
            Some(Some(event)) => event,
            None => None,
        };
        let mut events: Vec<Event> = first.into_iter().collect();
        while events.len() < STEP_MOST {
            let Ok(event) = told.try_recv() else { break };
            events.push(event);
        }
        let mut inputs = Vec::new();
        for held in outbox.release(disk.synced()) {
            match held {
                Held::Safe(batch) => inputs.push(Input::BatchSynced(batch)),
                Held::Say(voter, word) => say(&mut streams, &voter, word),
            }
        }
        for event in events {
            match event {
                Event::Input(input) => inputs.push(input),
                Event::Up(voter, stream, send) => {
                    // What was said for the stream before must not come on this one: its order is the agreement's.
                    let old = |held: &Held| matches!(held, Held::Say(to, _) if *to == voter);
                    drop(outbox.remove_matching(old));
                    inputs.retain(
                        |input| !matches!(input, Input::MessageReceived(from, _) if *from == voter),
                    );
                    streams.insert(voter.clone(), (stream, send));
                    inputs.push(Input::PeerConnected(voter));
                }
                Event::Down(voter, stream) => {
                    if streams.get(&voter).is_some_and(|(now, _)| *now == stream) {
                        streams.remove(&voter);
                    }
                }
                Event::Heard(voter, stream, word) => {
                    if streams.get(&voter).is_some_and(|(now, _)| *now == stream) {
                        inputs.push(Input::MessageReceived(voter, word));
                    }
                }
            }
        }
        let mut out = Vec::new();
        lock(&ledger).step(clock::now(), inputs, &mut out);
        for output in out {
            match output {
                Output::Persist(batch, changes) => {
                    last = disk.write(changes);
                    outbox.hold(last, Held::Safe(batch));
                }
                Output::Send(voter, word) if outbox.is_empty() => say(&mut streams, &voter, word),
                Output::Send(voter, word) => outbox.hold(last, Held::Say(voter, word)),
                Output::LeaseAcquired(lease, token) => {
                    tracing::info!(voter = name, lease, token, "holds a lease")
                }
                Output::LeaseLost(lease) => {
                    tracing::info!(voter = name, lease, "holds a lease no more")
                }
                Output::LeaderChanged(leader) => {
                    tracing::info!(voter = name, leader, "the ledger's leader")
                }
                Output::StatusChanged(VoterStatus::Quarantined { by, known }) => {
                    tracing::error!(
                        voter = name,
                        by,
                        ?known,
                        "does not vote: its disk is older than it was"
                    );
                }
                Output::StatusChanged(standing) => {
                    tracing::info!(voter = name, ?standing, "stands")
                }
            }
        }
        if outbox.len() > HELD_MOST {
            // The disk stands still: a voter that can't write can't vote. Its words are dropped, and its streams with
            // them, as the agreement bears no gap in one.
            drop(outbox.remove_matching(|held| matches!(held, Held::Say(..))));
            for (_, send) in streams.values() {
                send.close();
            }
        }
    }
}

fn say(streams: &mut Streams, voter: &str, word: PeerMessage) {
    let Some((_, send)) = streams.get(voter) else {
        return;
    };
    let Some(frame) = crate::pack::pack(word) else {
        return tracing::error!(
            voter,
            "a word is too long to be said: it has been away for too long; take it in anew"
        );
    };
    // A full queue means that the voter reads nothing: its stream ends, and is dialled anew.
    if send.try_send(frame).is_err() {
        send.close();
    }
}
