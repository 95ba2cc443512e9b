//! The event loop: passes inputs to the core, persists the resulting changes, and only then sends messages to planners
//! and publishes changes to clients. Owns the core.

use crate::core::{Core, Input, OutgoingMessage};
use crate::persisted_records::CollectedWrites;
use crate::server::EdgeServer;
use crate::storage::Storage;
use async_channel::Receiver;
use std::sync::Arc;
use tidespur_daemon::receive_batch;
use tidespur_net::clock;
use tidespur_persistence::Outbox;
use tidespur_planner_protocol::ToPlanner;

/// Maximum number of inputs that one step handles.
const MAX_INPUTS_PER_STEP: usize = 512;

/// Number of outputs waiting for the disk above which obsolete ones are dropped.
const MAX_HELD_OUTPUTS: usize = 16_384;

/// An output that is held until the changes that it depends on are durable.
enum Output {
    Send(Box<OutgoingMessage>),
    /// Make all changes up to this resource version visible to clients.
    PublishVersion(u64),
}

/// The event loop of an edge.
pub(crate) struct EventLoop {
    server: Arc<EdgeServer>,
    core: Core,
    outbox: Outbox<Output>,
    /// The last resource version that was published or is held in the outbox.
    queued_version: u64,
}

impl EventLoop {
    pub(crate) fn new(server: Arc<EdgeServer>, core: Core) -> Self {
        let queued_version = server.api.store().version();
        Self {
            server,
            core,
            outbox: Outbox::default(),
            queued_version,
        }
    }

    /// Runs until the channel of inputs, or the disk, is closed.
    pub(crate) async fn run(mut self, inputs: Receiver<Input>) {
        let storage = self.server.storage.as_ref();
        let disk_progress = storage.map(|storage| storage.disk.subscribe());
        loop {
            let wake = self.core.next_wake().unwrap_or(f64::INFINITY);
            let timeout = wake - clock::now();
            let progress = disk_progress.as_ref();
            let received = receive_batch(&inputs, progress, timeout, MAX_INPUTS_PER_STEP).await;
            let Some(batch) = received else { return };
            self.observe_lag(&batch);
            self.step(batch);
        }
    }

    fn observe_lag(&self, batch: &[Input]) {
        for input in batch {
            if let Input::LagProbe { sent_at } = input {
                let now = clock::now();
                let admission = &self.server.api.hooks.admission;
                admission.observe_lag(now, now - sent_at);
            }
        }
    }

    fn step(&mut self, batch: Vec<Input>) {
        let mut messages = Vec::new();
        let mut store = self.server.api.store();
        self.core
            .step(clock::now(), batch, &mut store, &mut messages);
        let version = store.version();
        let storage = self.server.storage.clone();
        let writes = storage.map(|storage| (storage, self.core.take_writes(&mut store)));
        drop(store);
        self.server.publish_counters(&self.core);
        match writes {
            Some((storage, writes)) => {
                self.output_when_durable(&storage, writes, messages, version)
            }
            None => self.output_immediately(messages, version),
        }
    }

    /// Without persistence, outputs do not wait.
    fn output_immediately(&mut self, messages: Vec<OutgoingMessage>, version: u64) {
        for message in messages {
            self.server.send_to_planner(message);
        }
        if self.has_new_version(version) {
            self.server.api.notify_watchers();
        }
    }

    fn output_when_durable(
        &mut self,
        storage: &Storage,
        writes: CollectedWrites,
        messages: Vec<OutgoingMessage>,
        version: u64,
    ) {
        for error in writes.errors {
            tracing::error!(edge = self.server.options.name, %error, "cannot persist a record");
        }
        let batch = storage.disk.write(writes.batch);
        for message in messages {
            if matches!(message.message, ToPlanner::Place(_)) {
                // It need not wait: the planner offers the task to nodes only after the commit, which does wait.
                self.server.send_to_planner(message);
            } else {
                self.outbox.hold(batch, Output::Send(Box::new(message)));
            }
        }
        if self.has_new_version(version) {
            self.outbox.hold(batch, Output::PublishVersion(version));
        }
        if self.outbox.len() > MAX_HELD_OUTPUTS {
            self.drop_obsolete_outputs(version);
        }
        for output in self.outbox.release(storage.disk.synced()) {
            self.release(output, storage);
        }
    }

    fn has_new_version(&mut self, version: u64) -> bool {
        std::mem::replace(&mut self.queued_version, version) != version
    }

    /// Bounds the memory that held outputs take while the disk makes no progress. Messages to disconnected planners are
    /// obsolete, and so are all versions before `last_version`, since publishing it includes them.
    fn drop_obsolete_outputs(&mut self, last_version: u64) {
        let planners = self.server.planners.lock();
        let is_obsolete = |output: &Output| match output {
            Output::Send(message) => !planners.contains_key(&message.planner),
            Output::PublishVersion(version) => *version != last_version,
        };
        let dropped = self.outbox.remove_matching(is_obsolete);
        tracing::debug!(
            dropped = dropped.len(),
            held = self.outbox.len(),
            "dropped obsolete outputs that were waiting for the disk"
        );
    }

    fn release(&self, output: Output, storage: &Storage) {
        match output {
            Output::Send(message) => self.server.send_to_planner(*message),
            Output::PublishVersion(version) => {
                self.server.api.store().set_visible_version(version);
                storage.mark_durable(version);
                self.server.api.notify_watchers();
            }
        }
    }
}
