//! The store of a running process: a writer thread, subscribers to its progress, and the marker of a clean shutdown.
//! Owned by the event loops of edge and planner.

use crate::{Batch, Identity, LoadedRecords, PersistenceError, RecordStore, Writer};
use async_channel::{Receiver, Sender};
use parking_lot::Mutex;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time for which the shutdown of a process waits for its last writes.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);
/// Kind of the marker record that is written at a clean shutdown and removed at the next start.
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
    /// If the store can't be used; the message says what an operator can do.
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

    /// Starts the writer thread, and removes the clean-shutdown marker of the previous process.
    ///
    /// # Errors
    /// If the operating system can't start a thread.
    pub fn start(store: RecordStore) -> Result<Self, PersistenceError> {
        let subscribers: Arc<Mutex<Vec<Sender<()>>>> = Arc::default();
        let notified_subscribers = subscribers.clone();
        let writer = Writer::start(store, move |_| {
            for subscriber in notified_subscribers.lock().iter() {
                // A full channel already has a notification, and a closed one no longer has a receiver.
                let _ = subscriber.try_send(());
            }
        })?;
        let mut removal = Batch::default();
        removal.remove(CLEAN_SHUTDOWN_KIND, "");
        writer.write(removal);
        Ok(Self {
            writer,
            subscribers,
        })
    }

    /// Returns a channel that is notified after each attempt to write, successful or not. Notifications that are not
    /// yet received are merged into one.
    pub fn subscribe(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        self.subscribers.lock().push(sender);
        receiver
    }

    /// Submits a batch and returns its number. See [`Writer::write`].
    pub fn write(&self, batch: Batch) -> u64 {
        self.writer.write(batch)
    }

    /// Number of the last synced batch; all earlier ones are synced as well.
    pub fn synced(&self) -> u64 {
        self.writer.progress().synced
    }

    /// Error of the last write; `None` if it succeeded.
    pub fn error(&self) -> Option<String> {
        self.writer.progress().error
    }

    /// Number of syncs by this process.
    pub fn syncs(&self) -> u64 {
        self.writer.progress().syncs
    }

    /// Writes the clean-shutdown marker and waits until everything is synced, for 5 seconds at most.
    pub fn shut_down(&self) {
        let mut marker = Batch::default();
        // This can't fail, because the record is far smaller than the limit.
        drop(marker.put(CLEAN_SHUTDOWN_KIND, "", b"in order".to_vec()));
        self.writer.write(marker);
        if !self.writer.flush(FLUSH_TIMEOUT) {
            tracing::error!(
                timeout = ?FLUSH_TIMEOUT,
                error = self.error(),
                "shutting down before all writes are synced; acknowledged writes are on the disk"
            );
        }
    }
}
