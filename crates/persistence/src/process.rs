//! A memory for as long as its process runs: how the one before it ended, and this one's end in order.

use crate::{Batch, Identity, LoadedRecords, PersistenceError, RecordStore, Writer};
use async_channel::{Receiver, Sender};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What was handed in is waited for this long when the process ends.
const FLUSH: Duration = Duration::from_secs(5);
/// Kind of the record that says that a process ended in order.
const END: &str = "end";

/// How the process before this one ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousShutdown {
    /// There was none.
    FirstStart,
    /// In order, with all it owed written down.
    Clean,
    /// Killed, crashed, or without power.
    Unclean,
}

impl LoadedRecords {
    /// How the process before this one ended.
    pub fn previous_shutdown(&self) -> PreviousShutdown {
        match (self.generation, self.records_of_kind(END).next()) {
            (1, _) => PreviousShutdown::FirstStart,
            (_, Some(_)) => PreviousShutdown::Clean,
            (_, None) => PreviousShutdown::Unclean,
        }
    }
}

/// A memory that is being written to.
pub struct Disk {
    writer: Writer,
    /// Those who are told each time the disk has come further, or has failed.
    told: Arc<Mutex<Vec<Sender<()>>>>,
}

impl Disk {
    /// Opens the memory of a process in a folder of its name, beneath the folder of all.
    ///
    /// # Errors
    /// Why it can't be used, and what an operator can do.
    pub fn open(
        all: &Path,
        who: &Identity,
    ) -> Result<(RecordStore, LoadedRecords), PersistenceError> {
        let folder = all.join(&who.name);
        let (memory, recalled) = RecordStore::open(&folder, who)?;
        let (turn, before) = (recalled.generation, recalled.previous_shutdown());
        tracing::info!(name = who.name, folder = %folder.display(), turn, ?before, "remembers");
        Ok((memory, recalled))
    }

    /// Starts to write.
    ///
    /// # Errors
    /// Where the system gives no thread.
    pub fn start(memory: RecordStore) -> Result<Self, PersistenceError> {
        let told: Arc<Mutex<Vec<Sender<()>>>> = Arc::default();
        let all = told.clone();
        let writer = Writer::start(memory, move |_| {
            for send in all.lock().unwrap_or_else(PoisonError::into_inner).iter() {
                // A word that waits already says the same.
                let _ = send.try_send(());
            }
        })?;
        let mut first = Batch::default();
        first.remove(END, "");
        writer.write(first);
        Ok(Self { writer, told })
    }

    /// A word comes here each time the disk has come further, or has failed.
    pub fn subscribe(&self) -> Receiver<()> {
        let (send, came) = async_channel::bounded(1);
        self.told
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(send);
        came
    }

    /// Hands in a batch; the number of the batch that all said so far rests on.
    pub fn write(&self, batch: Batch) -> u64 {
        self.writer.write(batch)
    }

    /// All batches up to this number are safe.
    pub fn synced(&self) -> u64 {
        self.writer.progress().synced
    }

    /// Why nothing can be written now.
    pub fn error(&self) -> Option<String> {
        self.writer.progress().error
    }

    /// Syncs so far.
    pub fn syncs(&self) -> u64 {
        self.writer.progress().syncs
    }

    /// The last word of a process that ends in order.
    pub fn finish(&self) {
        let mut last = Batch::default();
        // A few bytes, far below the bound.
        drop(last.put(END, "", b"in order".to_vec()));
        self.writer.write(last);
        if !self.writer.flush(FLUSH) {
            tracing::error!("ends before the disk has taken all; what was acknowledged is safe");
        }
    }
}
