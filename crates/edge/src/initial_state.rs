//! The initial state of the edge: restored from its data directory, or empty.

use crate::core::Core;
use crate::error::RunError;
use crate::options::Options;
use crate::storage::{self, SharedStorage, Storage};
use serde_json::json;
use std::sync::Arc;
use tidespur_api::resource::NAMESPACES;
use tidespur_config::Config;
use tidespur_daemon::open_store;
use tidespur_net::clock;
use tidespur_persistence::LoadedRecords;
use tidespur_store::Store;

/// The namespace that exists regardless of the configuration.
const DEFAULT_NAMESPACE: &str = "default";

/// State that the edge starts with.
pub(crate) struct InitialState {
    pub(crate) core: Core,
    pub(crate) store: Store,
    pub(crate) storage: SharedStorage,
    /// The records that were loaded from the disk; `None` without a data directory.
    pub(crate) records: Option<LoadedRecords>,
}

impl InitialState {
    /// Restores the state of an earlier process from the data directory; without one, starts empty.
    ///
    /// # Errors
    /// If the data directory cannot be used, or its records cannot be restored.
    pub(crate) fn open(config: &Config, options: &Options) -> Result<Self, RunError> {
        let data = options.shared.data.as_deref();
        let opened = open_store(config, data, "edge", &options.name)?;
        let (record_store, records) = opened.unzip();
        let limits = tidespur_store::Limits {
            max_history: config.edge.max_history as usize,
            max_objects: config.edge.max_objects as usize,
            ..tidespur_store::Limits::default()
        };
        let seed = options.shared.seed;
        let mut store = storage::open_object_store(limits, seed, clock::now(), records.as_ref())?;
        let mut core = Core::new(config.clone(), seed);
        let storage = match (record_store, &records) {
            (Some(record_store), Some(records)) => {
                let now = clock::now();
                let storage = Storage::start(record_store, records, now, &mut core, &mut store)?;
                Some(Arc::new(storage))
            }
            _ => {
                core.disable_persistence();
                None
            }
        };
        create_namespaces(config, &mut store);
        Ok(Self {
            core,
            store,
            storage,
            records,
        })
    }
}

fn create_namespaces(config: &Config, store: &mut Store) {
    let tenants = config.tenants.keys().map(String::as_str);
    for name in [DEFAULT_NAMESPACE].into_iter().chain(tenants) {
        let namespace = json!({"kind": "Namespace", "apiVersion": "v1", "metadata": {"name": name},
            "spec": {}, "status": {"phase": "Active"}});
        // Creation fails if the namespace was restored or is configured twice.
        drop(store.create(NAMESPACES, namespace, clock::now()));
    }
}
