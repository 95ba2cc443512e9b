//! Recording of the messages that a program sends and receives, one JSON object per line.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// Appends events to a recording. Clones write to the same file; the default value writes nothing.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    file: Option<Arc<Mutex<File>>>,
    recorded_by: String,
}

impl Recorder {
    /// Opens a file for appending and creates it if it is missing; `recorded_by` is added to each line as `who`.
    pub fn append_to(path: &Path, recorded_by: &str) -> std::io::Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Self {
            file: Some(Arc::new(Mutex::new(file))),
            recorded_by: recorded_by.to_owned(),
        })
    }

    /// Whether lines are written to a file.
    pub fn is_enabled(&self) -> bool {
        self.file.is_some()
    }

    /// Writes the object of `event` as a line, with time, writer and `what`, the kind of event. The line is handed to
    /// the operating system before this returns, so a killed process loses none. `event` is called only if enabled.
    pub fn record(&self, what: &str, event: impl FnOnce() -> serde_json::Value) {
        let Some(file) = &self.file else { return };
        let mut value = event();
        if let Some(map) = value.as_object_mut() {
            map.insert("t".into(), crate::clock::now().into());
            map.insert("who".into(), self.recorded_by.as_str().into());
            map.insert("what".into(), what.into());
        }
        let mut text = value.to_string();
        text.push('\n');
        let Ok(mut file) = file.lock() else { return };
        if let Err(error) = file.write_all(text.as_bytes()) {
            tracing::error!(%error, "cannot write to the recording");
        }
    }
}
