//! Opening the persistent store of a process.

use std::path::Path;
use tidespur_config::Config;
use tidespur_persistence::{Disk, Identity, LoadedRecords, PersistenceError, RecordStore};

/// Opens the store of the process `name` beneath the data directory, which is set on the command line (`data`) or in
/// the settings. Returns `None` if neither sets one: all state is then kept in memory only.
///
/// # Errors
/// If the store cannot be opened. The message says what an operator can do.
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
            "no data directory is configured; all state is lost when the process ends (set --data to keep it)"
        );
        return Ok(None);
    };
    let identity = Identity {
        role: role.to_owned(),
        name: name.to_owned(),
        cluster: config.cluster().to_owned(),
    };
    Disk::open(&directory, &identity).map(Some)
}
