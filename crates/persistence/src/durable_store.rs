//! The store of a running process: a writer thread, subscribers to its progress, and the mark of a clean shutdown.
//! Owned by the event loops of edge and planner.

use crate::{Batch, Identity, LoadedRecords, PersistenceError, RecordStore, Writer};
use async_channel::{Receiver, Sender};
use parking_lot::Mutex;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// How long the shutdown of a process waits for its last writes.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);
/// Kind of the record that marks a clean shutdown. It is removed at each start.
pub(crate) const CLEAN_SHUTDOWN_KIND: &str = "end";

/// A store with a running writer.
pub struct DurableStore {
    writer: Writer,
    subscribers: Arc<Mutex<Vec<Sender<()>>>>,
}

impl DurableStore {
    /// Opens the store of a process, in the folder of its name beneath `directory`.
    ///
    /// # Errors
    /// Why it can't be used, and what an operator can do.
    pub fn open(
        directory: &Path,
        identity: &Identity,
    ) -> Result<(RecordStore, LoadedRecords), PersistenceError> {
        let folder = directory.join(&identity.name);
        let (store, loaded) = RecordStore::open(&folder, identity)?;
        tracing::info!(
            name = identity.name,
            folder = %folder.display(),
            generation = loaded.generation,
            previous_shutdown = ?loaded.previous_shutdown(),
            "store opened"
        );
        Ok((store, loaded))
    }

    /// Starts the writer thread, and removes the mark of the previous process's clean shutdown.
    ///
    /// # Errors
    /// If the operating system can't start a thread.
    pub fn start(store: RecordStore) -> Result<Self, PersistenceError> {
        let subscribers: Arc<Mutex<Vec<Sender<()>>>> = Arc::default();
        let notified = subscribers.clone();
        let writer = Writer::start(store, move |_| {
            for subscriber in notified.lock().iter() {
                // A full channel holds a notification already, and a closed one has no receiver any more.
                let _ = subscriber.try_send(());
            }
        })?;
        let mut unmark = Batch::default();
        unmark.remove(CLEAN_SHUTDOWN_KIND, "");
        writer.write(unmark);
        Ok(Self {
            writer,
            subscribers,
        })
    }

    /// Returns a channel that receives a notification after each attempt to write, whether it succeeded or failed.
    /// Notifications that are not received yet are merged into one.
    pub fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.subscribers.lock().push(sender);
        receiver
    }

    /// Submits a batch and returns its number. See [`Writer::write`].
    pub fn write(&self, batch: Batch) -> u64 {
        self.writer.write(batch)
    }

    /// All batches up to this number are on the disk.
    pub fn synced(&self) -> u64 {
        self.writer.progress().synced
    }

    /// Why the last write failed, until one succeeds.
    pub fn error(&self) -> Option<String> {
        self.writer.progress().error
    }

    /// Number of syncs so far.
    pub fn syncs(&self) -> u64 {
        self.writer.progress().syncs
    }

    /// Marks a clean shutdown and waits, for a bounded time, until everything is written.
    pub fn shut_down(&self) {
        let mut mark = Batch::default();
        // The record is far smaller than the limit, so this can't fail.
        drop(mark.put(CLEAN_SHUTDOWN_KIND, "", b"in order".to_vec()));
        self.writer.write(mark);
        if !self.writer.flush(FLUSH_TIMEOUT) {
            tracing::error!(
                timeout = ?FLUSH_TIMEOUT,
                error = self.error(),
                "shutting down before all writes are synced; acknowledged writes are on the disk"
            );
        }
    }
}
