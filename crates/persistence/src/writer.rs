//! The writer thread, the only one that waits for the disk. Owned by [`DurableStore`](crate::DurableStore).

use crate::{Batch, PersistenceError, RecordStore};
use parking_lot::{Condvar, Mutex};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Pause before a failed write is retried for the first time; it doubles with each retry.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(200);
/// The longest pause between retries.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(5);

/// How far the writer has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// All batches up to this number are on the disk.
    pub synced: u64,
    /// Number of the last batch that was submitted.
    pub submitted: u64,
    /// Number of syncs so far.
    pub syncs: u64,
    /// Why the last write failed, until one succeeds.
    pub error: Option<String>,
}

#[derive(Default)]
struct State {
    progress: Progress,
    /// Changes that are submitted and not yet taken by the thread.
    pending: Batch,
    is_closing: bool,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    /// Notified whenever the state changes.
    changed: Condvar,
}

/// Writes batches in the order of their submission. All batches that are submitted during a sync share the next one.
///
/// Its callers never wait for the disk. A failed write is retried together with what was submitted after it, so a full
/// disk delays writes and loses none. Pending changes need bounded memory, because only the last change of each record
/// is kept.
pub struct Writer {
    shared: Arc<Shared>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. `on_progress` is called from it after each attempt to write.
    ///
    /// # Errors
    /// If the operating system can't start a thread.
    pub fn start(
        store: RecordStore,
        on_progress: impl Fn(&Progress) + Send + 'static,
    ) -> Result<Self, PersistenceError> {
        let shared = Arc::new(Shared::default());
        let thread_shared = shared.clone();
        let thread = std::thread::Builder::new()
            .name("persistence".into())
            .spawn(move || write_until_closed(&thread_shared, store, on_progress))
            .map_err(|error| PersistenceError::Io {
                file: "".into(),
                reason: format!("no thread: {error}"),
            })?;
        Ok(Self {
            shared,
            thread: Some(thread),
        })
    }

    /// Submits a batch and returns its number. An empty batch gets no number of its own: the number of the last batch
    /// is returned, on which everything up to now depends.
    pub fn write(&self, batch: Batch) -> u64 {
        let mut state = self.shared.state.lock();
        if !batch.is_empty() {
            state.progress.submitted += 1;
            state.pending.extend(batch);
            self.shared.changed.notify_all();
        }
        state.progress.submitted
    }

    /// How far the writer has come.
    pub fn progress(&self) -> Progress {
        self.shared.state.lock().progress.clone()
    }

    /// Waits until everything that was submitted is on the disk, for `timeout` at most. Returns whether it is.
    pub fn flush(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut state = self.shared.state.lock();
        let last = state.progress.submitted;
        while state.progress.synced < last {
            if Instant::now() >= deadline {
                return false;
            }
            // The loop checks both conditions again, so it does not matter which of them ended the wait.
            let _ = self.shared.changed.wait_until(&mut state, deadline);
        }
        true
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.shared.state.lock().is_closing = true;
        self.shared.changed.notify_all();
        if let Some(thread) = self.thread.take() {
            // The thread ends after the next write, successful or not. A panic of it was reported by the panic hook.
            let _ = thread.join();
        }
    }
}

/// A batch that the thread has taken, with the number of the last submitted batch in it.
struct PendingWrite {
    batch: Batch,
    last: u64,
}

/// Waits for something to write; `None` once the writer is closed and nothing is pending.
fn next_write(shared: &Shared) -> Option<PendingWrite> {
    let mut state = shared.state.lock();
    while state.pending.is_empty() {
        if state.is_closing {
            return None;
        }
        shared.changed.wait(&mut state);
    }
    Some(PendingWrite {
        batch: std::mem::take(&mut state.pending),
        last: state.progress.submitted,
    })
}

/// Updates the shared state after an attempt to write, and returns the new progress.
fn record_result(
    shared: &Shared,
    write: PendingWrite,
    result: Result<(), PersistenceError>,
) -> Progress {
    let mut state = shared.state.lock();
    match result {
        Ok(()) => {
            state.progress.error = None;
            state.progress.synced = write.last;
            state.progress.syncs += 1;
        }
        Err(error) => {
            state.progress.error = Some(error.to_string());
            let mut retried = write.batch;
            // What was submitted meanwhile is newer.
            retried.extend(std::mem::take(&mut state.pending));
            state.pending = retried;
        }
    }
    state.progress.clone()
}

fn write_until_closed(shared: &Shared, mut store: RecordStore, on_progress: impl Fn(&Progress)) {
    let mut backoff = MIN_RETRY_BACKOFF;
    while let Some(write) = next_write(shared) {
        let result = store.write(&write.batch);
        let progress = record_result(shared, write, result);
        shared.changed.notify_all();
        on_progress(&progress);
        if progress.error.is_none() {
            backoff = MIN_RETRY_BACKOFF;
            continue;
        }
        if shared.state.lock().is_closing {
            return;
        }
        std::thread::sleep(backoff);
        backoff = (backoff * 2).min(MAX_RETRY_BACKOFF);
        // If the store can't be opened, the next write fails and its error is recorded.
        let _ = store.reopen();
    }
}
