//! Address overrides for outgoing connections, so that a test can put a relay between one peer and another, in one
//! direction.
//!
//! Each line of the file has the known address of a peer and the address to dial. The file is read at each dial: dials
//! are rare, and a test changes the file while the program runs.
//!
//! ```text
//! 127.0.0.1:7101 127.0.0.1:9001
//! ```

use std::path::PathBuf;

/// Address overrides from a file; without one, each peer is dialled at its known address.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    file: Option<PathBuf>,
}

impl Routes {
    /// Overrides from this file, which need not exist yet.
    pub fn from_file(file: Option<PathBuf>) -> Self {
        Self { file }
    }

    /// The address at which to dial the peer of this known address; the known address if there is no override.
    pub fn resolve(&self, address: &str) -> String {
        let text = self
            .file
            .as_ref()
            .and_then(|file| std::fs::read_to_string(file).ok())
            .unwrap_or_default();
        let route = |line: &str| {
            let (known, dial) = line.trim().split_once(' ')?;
            (known == address).then(|| dial.trim().to_owned())
        };
        text.lines()
            .find_map(route)
            .unwrap_or_else(|| address.to_owned())
    }
}
