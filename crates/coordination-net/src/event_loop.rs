//! The event loop of a voter: receives events in batches, steps the state machine and executes its outputs. Owns the
//! send queues of the streams and the messages that wait for the disk.

use crate::frame::{Frame, pack};
use async_channel::{Receiver, Sender};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tidespur_coordination::{Input, Output, PeerMessage, Voter, VoterStatus};
use tidespur_daemon::receive_batch;
use tidespur_net::clock;
use tidespur_persistence::{DurableStore, Outbox};

/// Events that are handled in one step of the state machine.
const MAX_EVENTS_PER_STEP: usize = 256;
/// Outputs that may wait for the disk before the waiting messages are dropped.
const MAX_HELD_OUTPUTS: usize = 4_096;

/// An event for the loop.
pub(crate) enum Event {
    /// An input of this process.
    Input(Input),
    /// A stream to a voter was established; `sender` is its send queue.
    StreamOpened {
        voter: String,
        stream_id: u64,
        sender: Sender<Frame>,
    },
    /// A stream has ended.
    StreamClosed { voter: String, stream_id: u64 },
    /// A message arrived on a stream.
    MessageReceived {
        voter: String,
        stream_id: u64,
        message: PeerMessage,
    },
}

/// Returns a new stream id, unique within the process.
pub(crate) fn next_stream_id() -> u64 {
    static LAST: AtomicU64 = AtomicU64::new(0);
    LAST.fetch_add(1, Ordering::Relaxed) + 1
}

/// The current stream to a voter: the one that was established last.
struct PeerStream {
    id: u64,
    sender: Sender<Frame>,
}

/// An output that waits until a batch is synced to disk.
enum HeldOutput {
    /// Notifies the voter that its batch of this number is synced.
    NotifySynced(u64),
    Send {
        voter: String,
        message: PeerMessage,
    },
}

pub(crate) struct EventLoop {
    name: String,
    voter: Arc<Mutex<Voter>>,
    disk: Arc<DurableStore>,
    streams: BTreeMap<String, PeerStream>,
    outbox: Outbox<HeldOutput>,
    /// Number of the voter's last batch, as assigned by the disk.
    last_batch: u64,
}

impl EventLoop {
    pub(crate) fn new(name: String, voter: Arc<Mutex<Voter>>, disk: Arc<DurableStore>) -> Self {
        Self {
            name,
            voter,
            disk,
            streams: BTreeMap::new(),
            outbox: Outbox::default(),
            last_batch: 0,
        }
    }

    /// Runs until the event channel is closed.
    pub(crate) async fn run(mut self, events: Receiver<Event>) {
        let disk_progress = self.disk.subscribe();
        loop {
            let timeout = self.voter.lock().next_wake() - clock::now();
            let batch =
                receive_batch(&events, Some(&disk_progress), timeout, MAX_EVENTS_PER_STEP).await;
            let Some(batch) = batch else {
                return;
            };
            let mut inputs = self.release_synced();
            for event in batch {
                self.handle_event(event, &mut inputs);
            }
            let mut outputs = Vec::new();
            self.voter.lock().step(clock::now(), inputs, &mut outputs);
            for output in outputs {
                self.handle_output(output);
            }
            self.drop_held_messages_if_disk_stalls();
        }
    }

    /// Executes the outputs whose batches are now synced; returns the resulting inputs for the voter.
    fn release_synced(&mut self) -> Vec<Input> {
        let mut inputs = Vec::new();
        for held in self.outbox.release(self.disk.synced()) {
            match held {
                HeldOutput::NotifySynced(batch) => inputs.push(Input::BatchSynced(batch)),
                HeldOutput::Send { voter, message } => self.send(&voter, message),
            }
        }
        inputs
    }

    fn handle_event(&mut self, event: Event, inputs: &mut Vec<Input>) {
        match event {
            Event::Input(input) => inputs.push(input),
            Event::StreamOpened {
                voter,
                stream_id,
                sender,
            } => {
                self.discard_previous_stream(&voter, inputs);
                let stream = PeerStream {
                    id: stream_id,
                    sender,
                };
                self.streams.insert(voter.clone(), stream);
                inputs.push(Input::PeerConnected(voter));
            }
            Event::StreamClosed { voter, stream_id } => {
                if self.is_current_stream(&voter, stream_id) {
                    self.streams.remove(&voter);
                }
            }
            Event::MessageReceived {
                voter,
                stream_id,
                message,
            } => {
                if self.is_current_stream(&voter, stream_id) {
                    inputs.push(Input::MessageReceived(voter, message));
                }
            }
        }
    }

    /// Discards the messages of the previous stream to a voter. The consensus protocol requires the messages of a
    /// stream to be complete and in order, so they must not be mixed with those of the new stream.
    fn discard_previous_stream(&mut self, voter: &str, inputs: &mut Vec<Input>) {
        let is_to_voter =
            |held: &HeldOutput| matches!(held, HeldOutput::Send { voter: to, .. } if to == voter);
        drop(self.outbox.remove_matching(is_to_voter));
        inputs.retain(|input| !matches!(input, Input::MessageReceived(from, _) if from == voter));
    }

    fn is_current_stream(&self, voter: &str, stream_id: u64) -> bool {
        self.streams
            .get(voter)
            .is_some_and(|stream| stream.id == stream_id)
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Persist(batch, changes) => {
                self.last_batch = self.disk.write(changes);
                self.outbox
                    .hold(self.last_batch, HeldOutput::NotifySynced(batch));
            }
            Output::Send(voter, message) if self.outbox.is_empty() => self.send(&voter, message),
            Output::Send(voter, message) => self
                .outbox
                .hold(self.last_batch, HeldOutput::Send { voter, message }),
            Output::LeaseAcquired(lease, token) => {
                tracing::info!(voter = self.name, lease, token, "lease acquired");
            }
            Output::LeaseLost(lease) => {
                tracing::info!(voter = self.name, lease, "lease lost");
            }
            Output::LeaderChanged(leader) => {
                tracing::info!(voter = self.name, leader, "leader changed");
            }
            Output::StatusChanged(VoterStatus::Quarantined { by, known }) => {
                tracing::error!(
                    voter = self.name,
                    by,
                    ?known,
                    "voter is quarantined: another voter knows a later log position of it than its disk holds"
                );
            }
            Output::StatusChanged(status) => {
                tracing::info!(voter = self.name, ?status, "voter status changed");
            }
        }
    }

    fn send(&self, voter: &str, message: PeerMessage) {
        let Some(stream) = self.streams.get(voter) else {
            return;
        };
        let Some(frame) = pack(message) else {
            tracing::error!(
                voter,
                "message to a voter exceeds the size limit because the voter has missed too many entries; readmit it with a new store"
            );
            return;
        };
        // A full send queue means that the peer does not read: its stream is closed, and established again.
        if stream.sender.try_send(frame).is_err() {
            stream.sender.close();
        }
    }

    /// Drops the waiting messages if too many outputs wait for the disk, since a voter that can't write can't vote. All
    /// streams are closed as well, because the consensus protocol does not tolerate missing messages in a stream.
    fn drop_held_messages_if_disk_stalls(&mut self) {
        if self.outbox.len() <= MAX_HELD_OUTPUTS {
            return;
        }
        let is_message = |held: &HeldOutput| matches!(held, HeldOutput::Send { .. });
        drop(self.outbox.remove_matching(is_message));
        for stream in self.streams.values() {
            stream.sender.close();
        }
    }
}
