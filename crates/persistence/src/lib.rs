//! One process's memory over its end: records by kind and key, written in batches, synced before anyone is told.
//!
//! A [`Batch`] is all or nothing. [`RecordStore`] is the file; [`Writer`] writes to it from a thread of its own, many
//! batches in one sync where they come faster than the disk takes them. What may be said only once a batch is safe
//! waits in an [`Outbox`], which is a state machine without I/O.
//!
//! The file is `redb`'s: a copy-on-write tree with checksums, in which a torn write can only hit what was not yet
//! synced. This package adds whose file it is, its version, how often it was opened, and errors an operator can act on.

mod batch;
mod error;
mod export;
mod memory;
mod outbox;
mod process;
mod recalled;
mod writer;

pub use batch::{Batch, RecordKey};
pub use error::PersistenceError;
pub use export::{Export, export};
pub use memory::{RecordStore, STORE_FILE};
pub use outbox::Outbox;
pub use process::{Disk, PreviousShutdown};
pub use recalled::{Identity, LoadedRecords};
pub use writer::{Progress, Writer};

/// Bytes of one record, key and value; more is refused before it is written.
pub const MAX_RECORD_BYTES: usize = 8 << 20;
