//! The event loop: inputs are stepped through the core, what follows is persisted, and only then sent to planners and
//! shown to clients. It owns the core.

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

/// Inputs that are handled in one step.
const MAX_INPUTS_PER_STEP: usize = 512;

/// Outputs that may wait for the disk; beyond this, obsolete ones are dropped.
const MAX_HELD_OUTPUTS: usize = 16_384;

/// An output that waits until what it rests on is durable.
enum Output {
    Send(Box<OutgoingMessage>),
    /// All up to this resource version may be shown to clients.
    ShowVersion(u64),
}

/// The event loop of an edge.
pub(crate) struct EventLoop {
    server: Arc<EdgeServer>,
    core: Core,
    outbox: Outbox<Output>,
    /// The last resource version that clients were, or will be, shown.
    shown_version: u64,
}

impl EventLoop {
    pub(crate) fn new(server: Arc<EdgeServer>, core: Core) -> Self {
        let shown_version = server.api.store().version();
        Self {
            server,
            core,
            outbox: Outbox::default(),
            shown_version,
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
            None => self.output_at_once(messages, version),
        }
    }

    /// Nothing is persisted, so nothing waits.
    fn output_at_once(&mut self, messages: Vec<OutgoingMessage>, version: u64) {
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
                // It does not wait: the planner offers nothing to nodes before the commit, which does.
                self.server.send_to_planner(message);
            } else {
                self.outbox.hold(batch, Output::Send(Box::new(message)));
            }
        }
        if self.has_new_version(version) {
            self.outbox.hold(batch, Output::ShowVersion(version));
        }
        if self.outbox.len() > MAX_HELD_OUTPUTS {
            self.drop_obsolete_outputs(version);
        }
        for output in self.outbox.release(storage.disk.synced()) {
            self.release(output, storage);
        }
    }

    fn has_new_version(&mut self, version: u64) -> bool {
        std::mem::replace(&mut self.shown_version, version) != version
    }

    /// The disk makes no progress. Messages to planners that have disconnected reach nobody, and the last version that
    /// may be shown includes all before it.
    fn drop_obsolete_outputs(&mut self, last_version: u64) {
        let planners = self.server.planners.lock();
        let is_obsolete = |output: &Output| match output {
            Output::Send(message) => !planners.contains_key(&message.planner),
            Output::ShowVersion(version) => *version != last_version,
        };
        let dropped = self.outbox.remove_matching(is_obsolete);
        tracing::debug!(
            dropped = dropped.len(),
            held = self.outbox.len(),
            "dropped obsolete outputs that waited for the disk"
        );
    }

    fn release(&self, output: Output, storage: &Storage) {
        match output {
            Output::Send(message) => self.server.send_to_planner(*message),
            Output::ShowVersion(version) => {
                self.server.api.store().set_visible_version(version);
                storage.mark_durable(version);
                self.server.api.notify_watchers();
            }
        }
    }
}
