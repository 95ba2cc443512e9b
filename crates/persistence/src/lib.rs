//! Durable records of one process, by kind and key, written in batches that are synced before they are acknowledged.
//!
//! A [`Batch`] is committed atomically. [`RecordStore`] is the file. [`Writer`] writes to it from a thread of its own,
//! with a group commit: batches that are submitted during a sync share the next one. Messages that may be sent only
//! after a batch is synced wait in an [`Outbox`], which does no I/O. [`DurableStore`] is what a running process uses: a
//! store with its writer and subscribers.
//!
//! The file is a `redb` database: a copy-on-write tree with checksums, in which a torn write can only damage what was
//! not yet synced. This package adds the identity of the owner, a format version, a generation that counts the starts,
//! and errors that an operator can act on. Called by the event loops of edge, planner and voter.

mod batch;
mod durable_store;
mod error;
mod export;
mod header;
mod loaded_records;
mod outbox;
mod record_store;
mod tables;
mod writer;

pub use batch::{Batch, RecordKey};
pub use durable_store::DurableStore;
pub use error::PersistenceError;
pub use export::{Export, export};
pub use loaded_records::{Identity, LoadedRecords, PreviousShutdown};
pub use outbox::Outbox;
pub use record_store::{RecordStore, STORE_FILE};
pub use writer::{Progress, Writer};

/// Maximum size of a record, as the sum of kind, key and value, in bytes. [`Batch::put`] rejects larger ones.
pub const MAX_RECORD_BYTES: usize = 8 << 20;
