//! Where peers are dialled instead of where they are known to be: so that a relay can stand on a directed pair.
//!
//! A file of lines, known address and address to dial, read anew at each dial, as dials are rare and a test changes it while the program runs:
//!
//! ```text
//! 127.0.0.1:7101 127.0.0.1:9001
//! ```

use std::path::PathBuf;

/// Routes from a file; without one each peer is dialled where it is.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    file: Option<PathBuf>,
}

impl Routes {
    /// Routes from this file, which need not be there yet.
    pub fn from_file(file: Option<PathBuf>) -> Self {
        Self { file }
    }

    /// Where to dial a peer that is known at this address.
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
