//! The edge's memory on the disk: opened before anything is served, and waited for by those who must not be told
//! what a power loss could take back.

use crate::core::Core;
use crate::keep;
use event_listener::Event;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tidespur_persistence::{LoadedRecords, RecordStore};
use tidespur_store::Store;

/// The disk as all of the edge's loops see it; `None` where all is kept in memory only.
pub(crate) type Shared = Option<Arc<Disk>>;

/// The disk, and how far what was told rests on it.
pub(crate) struct Disk {
    /// Where batches go.
    pub(crate) disk: Arc<tidespur_persistence::Disk>,
    /// Versions up to this are safe.
    safe: AtomicU64,
    bell: Event,
}

/// A store that begins above all versions that an earlier process may have told.
///
/// # Errors
/// A record that can't be read.
pub(crate) fn store(
    limits: tidespur_store::Limits,
    seed: u64,
    now: f64,
    memory: Option<&LoadedRecords>,
) -> Result<Store, String> {
    let known = memory
        .map(keep::version)
        .transpose()
        .map_err(|e| e.to_string())?
        .unwrap_or(0);
    // Without a memory versions begin at the clock: a watch that comes back with an old one is told 410 and lists anew.
    let version = if known > 0 {
        known
    } else {
        (now * 1000.0) as u64
    };
    let turn = memory.map_or(0, |memory| memory.generation);
    Ok(Store::new(
        limits,
        seed ^ now.to_bits() ^ turn.rotate_left(32),
        version,
    ))
}

impl Disk {
    /// Takes up what an earlier process left, and starts to write.
    ///
    /// # Errors
    /// A record that can't be read.
    pub(crate) fn start(
        memory: RecordStore,
        recalled: &LoadedRecords,
        now: f64,
        core: &mut Core,
        store: &mut Store,
    ) -> Result<Self, String> {
        let back = core
            .recall(now, recalled, store)
            .map_err(|e| e.to_string())?;
        tracing::info!(?back, "returned");
        let disk = Arc::new(tidespur_persistence::Disk::start(memory).map_err(|e| e.to_string())?);
        store.track_writes();
        store.set_visible_version(store.version());
        Ok(Self {
            disk,
            safe: AtomicU64::new(store.version()),
            bell: Event::new(),
        })
    }

    /// All up to this version is safe: whoever waits for it may be answered.
    pub(crate) fn show(&self, version: u64) {
        self.safe.fetch_max(version, Ordering::Release);
        self.bell.notify(usize::MAX);
    }

    /// Waits until all up to this version is safe, this long at most; whether it is.
    pub(crate) async fn lasting(&self, version: u64, within: f64) -> bool {
        let safe = || self.safe.load(Ordering::Acquire) >= version;
        let wait = async {
            loop {
                let bell = self.bell.listen();
                if safe() {
                    return;
                }
                bell.await;
            }
        };
        safe() || tidespur_net::clock::timeout(within, wait).await.is_some()
    }
}
