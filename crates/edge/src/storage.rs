//! The storage of the edge on disk. It is restored before the edge serves requests, and answers wait for it, so that
//! clients are not told of changes that a power loss could revert. Owned by the server.

use crate::core::Core;
use crate::error::RunError;
use crate::restore;
use event_listener::Event;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tidespur_persistence::{LoadedRecords, RecordStore};
use tidespur_store::Store;

/// The storage, shared by all parts of the edge; `None` without a data directory, when all state is kept in memory
/// only.
pub(crate) type SharedStorage = Option<Arc<Storage>>;

/// The disk, and the resource version up to which changes are durable.
pub(crate) struct Storage {
    /// Writes the batches of records.
    pub(crate) disk: Arc<tidespur_persistence::Disk>,
    /// All changes up to this resource version are durable.
    durable_version: AtomicU64,
    version_became_durable: Event,
}

/// Creates a store whose versions begin above all resource versions that earlier processes may have published.
///
/// # Errors
/// [`RunError::Restore`] if the record of the version is malformed.
pub(crate) fn open_object_store(
    limits: tidespur_store::Limits,
    seed: u64,
    now: f64,
    records: Option<&LoadedRecords>,
) -> Result<Store, RunError> {
    let reserved_version = match records {
        Some(records) => restore::reserved_version(records)?,
        None => 0,
    };
    // Without records, versions begin at the current time in milliseconds: a watch that resumes from a version of an
    // earlier process gets 410 and lists again.
    let first_version = if reserved_version > 0 {
        reserved_version
    } else {
        (now * 1000.0) as u64
    };
    let generation = records.map_or(0, |records| records.generation);
    let seed = seed ^ now.to_bits() ^ generation.rotate_left(32);
    Ok(Store::new(limits, seed, first_version))
}

impl Storage {
    /// Restores the state of an earlier process into `core` and `store`, and starts the writer.
    ///
    /// # Errors
    /// If a record is malformed, or the writer cannot be started.
    pub(crate) fn start(
        record_store: RecordStore,
        records: &LoadedRecords,
        now: f64,
        core: &mut Core,
        store: &mut Store,
    ) -> Result<Self, RunError> {
        let restored = core.restore(now, records, store)?;
        tracing::info!(
            objects = restored.objects,
            placed = restored.placed,
            queued = restored.queued,
            interrupted = restored.interrupted,
            "restored the state of an earlier process"
        );
        let disk = tidespur_persistence::Disk::start(record_store)?;
        store.track_writes();
        store.set_visible_version(store.version());
        Ok(Self {
            disk: Arc::new(disk),
            durable_version: AtomicU64::new(store.version()),
            version_became_durable: Event::new(),
        })
    }

    /// Records that all changes up to this version are durable, and wakes those who wait for them.
    pub(crate) fn mark_durable(&self, version: u64) {
        self.durable_version.fetch_max(version, Ordering::Release);
        self.version_became_durable.notify(usize::MAX);
    }

    /// Waits until all changes up to this version are durable, at most `timeout` seconds. Returns whether they are.
    pub(crate) async fn wait_durable(&self, version: u64, timeout: f64) -> bool {
        let is_durable = || self.durable_version.load(Ordering::Acquire) >= version;
        let wait = async {
            loop {
                let became_durable = self.version_became_durable.listen();
                if is_durable() {
                    return;
                }
                became_durable.await;
            }
        };
        if is_durable() {
            return true;
        }
        tidespur_net::clock::timeout(timeout, wait).await.is_some()
    }
}
