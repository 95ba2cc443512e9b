//! The writer thread, the only thread that waits for the disk. Owned by [`DurableStore`](crate::DurableStore).

use crate::{Batch, PersistenceError, RecordStore};
use parking_lot::{Condvar, Mutex};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Delay before the first retry of a failed write; it doubles with each retry.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum delay between retries.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(5);

/// Progress of the writer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of the last synced batch; all earlier ones are synced as well.
    pub synced: u64,
    /// Number of the last submitted batch; 0 if there is none.
    pub submitted: u64,
    /// Number of syncs, each of which may cover several batches.
    pub syncs: u64,
    /// Error of the last write; `None` if it succeeded.
    pub error: Option<String>,
}

#[derive(Default)]
struct State {
    progress: Progress,
    /// Submitted changes that the thread has not yet taken.
    pending: Batch,
    is_closing: bool,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    /// Notified whenever the state changes.
    changed: Condvar,
}

/// Writes batches in the order of submission. All batches that are submitted during a sync share the next one.
///
/// Submitting never waits for the disk. A failed write is retried together with later submissions, so that a full disk
/// delays writes but loses none. Only the last change of each record is pending, which bounds the memory.
pub struct Writer {
    shared: Arc<Shared>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread, which calls `on_progress` after each attempt to write.
    ///
    /// # Errors
    /// If the operating system can't start a thread.
    pub fn start(
        store: RecordStore,
        on_progress: impl Fn(&Progress) + Send + 'static,
    ) -> Result<Self, PersistenceError> {
        let shared = Arc::new(Shared::default());
        let shared_with_thread = shared.clone();
        let thread = std::thread::Builder::new()
            .name("persistence".into())
            .spawn(move || write_until_closed(&shared_with_thread, store, on_progress))
            .map_err(|error| PersistenceError::Io {
                file: "".into(),
                reason: format!("no thread: {error}"),
            })?;
        Ok(Self {
            shared,
            thread: Some(thread),
        })
    }

    /// Submits a batch and returns its number. For an empty batch it returns the number of the last submitted one,
    /// whose sync covers all earlier changes.
    pub fn write(&self, batch: Batch) -> u64 {
        let mut state = self.shared.state.lock();
        if !batch.is_empty() {
            state.progress.submitted += 1;
            state.pending.extend(batch);
            self.shared.changed.notify_all();
        }
        state.progress.submitted
    }

    /// The current progress.
    pub fn progress(&self) -> Progress {
        self.shared.state.lock().progress.clone()
    }

    /// Waits until all batches that are submitted so far are synced, for `timeout` at most. Returns whether they are.
    pub fn flush(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut state = self.shared.state.lock();
        let last = state.progress.submitted;
        while state.progress.synced < last {
            if Instant::now() >= deadline {
                return false;
            }
            // The loop checks both conditions again, so the cause of the wake-up does not matter.
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
            // The thread ends when nothing is pending or a write fails. A panic was reported by the panic hook.
            let _ = thread.join();
        }
    }
}

/// The merged pending batches that the thread writes in one sync.
struct PendingWrite {
    batch: Batch,
    /// Number of the last submitted batch in it.
    last_batch: u64,
}

/// Waits for pending changes; `None` once the writer is closing and nothing is pending.
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
        last_batch: state.progress.submitted,
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
            state.progress.synced = write.last_batch;
            state.progress.syncs += 1;
        }
        Err(error) => {
            state.progress.error = Some(error.to_string());
            let mut retried = write.batch;
            // Changes that were submitted meanwhile are newer.
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
        // If the store can't be reopened, the next write fails and its error is recorded.
        let _ = store.reopen();
    }
}
