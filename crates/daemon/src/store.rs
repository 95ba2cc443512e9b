//! Opening the store of a process.

use std::path::Path;
use tidespur_config::Config;
use tidespur_persistence::{DurableStore, Identity, LoadedRecords, PersistenceError, RecordStore};

/// Opens the store of the process `name` beneath the data directory that the command line (`data`) or the settings
/// name; `None` where neither names one and all state is kept in memory only.
///
/// # Errors
/// Why the store can't be used, and what an operator can do.
pub fn open_store(
    config: &Config,
    data: Option<&Path>,
    role: &str,
    name: &str,
) -> Result<Option<(RecordStore, LoadedRecords)>, PersistenceError> {
    let Some(directory) = tidespur_config::data_directory(config, data) else {
        tracing::warn!(
            process = name,
            role,
            "no data directory: all state is lost at the end of the process (see --data)"
        );
        return Ok(None);
    };
    let identity = Identity {
        role: role.to_owned(),
        name: name.to_owned(),
        cluster: config.cluster().to_owned(),
    };
    DurableStore::open(&directory, &identity).map(Some)
}
