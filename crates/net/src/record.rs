//! A recording of what crosses this program's sockets, one JSON object a line.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// Writes lines; a clone writes to the same file. One made by `default` writes nothing.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    file: Option<Arc<Mutex<File>>>,
    who: String,
}

impl Recorder {
    /// Appends to a file.
    pub fn append_to(path: &Path, who: &str) -> std::io::Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Self {
            file: Some(Arc::new(Mutex::new(file))),
            who: who.to_owned(),
        })
    }

    /// Whether anything is written.
    pub fn is_enabled(&self) -> bool {
        self.file.is_some()
    }

    /// Writes what `line` makes, with time and writer; each line is out before this returns, so that a killed
    /// process loses none.
    pub fn record(&self, what: &str, line: impl FnOnce() -> serde_json::Value) {
        let Some(file) = &self.file else { return };
        let mut value = line();
        if let Some(map) = value.as_object_mut() {
            map.insert("t".into(), crate::clock::now().into());
            map.insert("who".into(), self.who.as_str().into());
            map.insert("what".into(), what.into());
        }
        let mut text = value.to_string();
        text.push('\n');
        let Ok(mut file) = file.lock() else { return };
        if let Err(problem) = file.write_all(text.as_bytes()) {
            tracing::error!(%problem, "the recording can't be written");
        }
    }
}
