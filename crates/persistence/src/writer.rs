//! The thread that writes: it alone waits for the disk.

use crate::{Batch, PersistenceError, RecordStore};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Pause before a write that failed is tried again: first, and at most.
const AGAIN: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(5)];

/// How far the disk has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// All batches up to this number are on the disk.
    pub synced: u64,
    /// The last batch that was handed in.
    pub submitted: u64,
    /// Syncs so far.
    pub syncs: u64,
    /// Why the last write failed, until one succeeds.
    pub error: Option<String>,
}

#[derive(Default)]
struct State {
    progress: Progress,
    waiting: Batch,
    closing: bool,
}

struct Shared {
    state: Mutex<State>,
    bell: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // Each change under the lock is a few assignments; a panic leaves none half made.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes batches in order, as many at once as have come.
///
/// Guards against a loop that waits for the disk. A write that fails is kept and tried again with what came after it,
/// so that a full disk delays and loses nothing; what waits is the newest word of each record, so it is bounded by the
/// records there are.
pub struct Writer {
    shared: Arc<Shared>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. `told` is called from it after each try, with how far the disk has come.
    ///
    /// # Errors
    /// Where the system gives no thread.
    pub fn start(
        memory: RecordStore,
        told: impl Fn(&Progress) + Send + 'static,
    ) -> Result<Self, PersistenceError> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            bell: Condvar::new(),
        });
        let its = shared.clone();
        let run = move || write_all(&its, memory, told);
        let thread = std::thread::Builder::new()
            .name("durable".into())
            .spawn(run);
        let thread = thread.map_err(|e| PersistenceError::Io {
            file: "".into(),
            why: format!("no thread: {e}"),
        })?;
        Ok(Self {
            shared,
            thread: Some(thread),
        })
    }

    /// Hands in a batch; its number. An empty one rests on all that was handed in before it.
    pub fn write(&self, batch: Batch) -> u64 {
        let mut state = self.shared.lock();
        if !batch.is_empty() {
            state.progress.submitted += 1;
            state.waiting.extend(batch);
            self.shared.bell.notify_all();
        }
        state.progress.submitted
    }

    /// How far the disk has come.
    pub fn progress(&self) -> Progress {
        self.shared.lock().progress.clone()
    }

    /// Waits until all that was handed in is safe, this long at most; whether it is.
    pub fn flush(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        let mut state = self.shared.lock();
        let last = state.progress.submitted;
        while state.progress.synced < last {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            state = self
                .shared
                .bell
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        true
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.shared.lock().closing = true;
        self.shared.bell.notify_all();
        if let Some(thread) = self.thread.take() {
            // It ends once what waits is written, or can't be.
            let _ = thread.join();
        }
    }
}

fn write_all(shared: &Shared, mut memory: RecordStore, told: impl Fn(&Progress)) {
    let mut pause = AGAIN[0];
    loop {
        let (batch, upto) = {
            let mut state = shared.lock();
            while state.waiting.is_empty() {
                if state.closing {
                    return;
                }
                state = shared
                    .bell
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner);
            }
            (std::mem::take(&mut state.waiting), state.progress.submitted)
        };
        let failed = memory.write(&batch).err().map(|problem| (problem, batch));
        let progress = {
            let mut state = shared.lock();
            state.progress.error = failed.as_ref().map(|(problem, _)| problem.to_string());
            match failed {
                None => {
                    state.progress.synced = upto;
                    state.progress.syncs += 1;
                    pause = AGAIN[0];
                }
                Some((_, mut batch)) => {
                    // What came meanwhile is newer.
                    batch.extend(std::mem::take(&mut state.waiting));
                    state.waiting = batch;
                }
            }
            state.progress.clone()
        };
        shared.bell.notify_all();
        told(&progress);
        if progress.error.is_some() {
            if shared.lock().closing {
                return;
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(AGAIN[1]);
            // If that fails, the next write does, and says why.
            let _ = memory.reopen();
        }
    }
}
