//! The published REST API over a store. The edge serves all of it; the stand-ins of register and node serve their
//! part by the same code, so that a client finds the same API everywhere.

mod handle;
mod options;
mod route;
mod verbs;
mod watch;

pub use handle::ApiHandler;
pub use options::RequestOptions;
pub use route::{Route, Target};

use event_listener::Event;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use tidespur_api::{ApiError, Object, Resource, meta};
use tidespur_store::{Precondition, Store};

/// Bounds of the API.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of one body.
    pub max_body_bytes: usize,
    /// A body must be there within this.
    pub body_timeout: f64,
    /// A bookmark goes to watches that want them this often.
    pub bookmark_interval: f64,
    /// A watcher that takes nothing for this long is cut.
    pub write_timeout: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 3 << 20,
            body_timeout: 30.0,
            bookmark_interval: 15.0,
            write_timeout: 30.0,
        }
    }
}

/// How an object is to be deleted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeleteOptions {
    /// `Background`, `Foreground` or `Orphan`.
    pub propagation: Option<String>,
    /// Demanded uid.
    pub uid: Option<String>,
    /// Demanded version.
    pub version: Option<u64>,
}

impl DeleteOptions {
    /// Removes the object alone, if it is the one that is demanded.
    pub fn apply(
        &self,
        store: &mut Store,
        resource: &Resource,
        object: &Object,
    ) -> Result<Object, ApiError> {
        let expect = Precondition {
            uid: self.uid.clone(),
            version: self.version,
        };
        let (space, name) = (meta::namespace(object), meta::name(object));
        store
            .delete(resource, space, name, &expect)
            .map(|object| (*object).clone())
    }
}

/// What a program adds to the plain API: what is served, what a write must pass, what follows from it.
pub trait Hooks: Send + Sync + Sized + 'static {
    /// Whether a resource is served here.
    fn serves(&self, _resource: &Resource) -> bool {
        true
    }
    /// Known classes, for the check of Pods.
    fn classes(&self) -> &[String] {
        &[]
    }
    /// May change or refuse an object before it is checked and stored.
    fn admit(
        &self,
        _store: &Store,
        _resource: &Resource,
        _object: &mut Object,
    ) -> Result<(), ApiError> {
        Ok(())
    }
    /// Takes a write over in place of the store, such as one for the owner of that object elsewhere.
    fn intercept_write(
        &self,
        _verb: Verb,
        _resource: &'static Resource,
        _object: &Object,
        _headers: &hyper::HeaderMap,
    ) -> impl Future<Output = Option<Result<Object, ApiError>>> + Send {
        async { None }
    }
    /// Called under the store's lock once an object is to be removed; removes it and what belongs to it.
    fn delete(
        &self,
        store: &mut Store,
        resource: &Resource,
        object: &Object,
        how: &DeleteOptions,
    ) -> Result<Object, ApiError> {
        how.apply(store, resource, object)
    }
    /// Called after any write, without the lock.
    fn on_write(&self) {}
    /// Waits until all up to this version of the store will be there after a power loss; an answer may rest on it then.
    /// A read that can't wait for that comes back with a warning for its reader.
    ///
    /// # Errors
    /// What is told the writer (`wrote`) instead of an answer.
    fn wait_durable(
        &self,
        _version: u64,
        _wrote: bool,
    ) -> impl Future<Output = Result<Option<String>, ApiError>> + Send {
        async { Ok(None) }
    }
    /// Headers for every answer.
    fn headers(&self) -> Vec<(&'static str, String)> {
        vec![]
    }
    /// Text of `/readyz`, or why work can't be taken now.
    fn ready(&self) -> Result<String, ApiError> {
        Ok("ok".into())
    }
    /// What `/readyz?verbose` shows, a line each: a part of the program, and how it stands or what it waits for.
    fn component_status(&self) -> Vec<(&'static str, Result<String, String>)> {
        vec![]
    }
    /// Answers what the plain API does not know.
    fn handle_other(
        &self,
        _method: &str,
        _path: &str,
        _body: &[u8],
    ) -> Option<Result<Object, ApiError>> {
        None
    }
    /// Plain text that is served at a path, such as `/metrics`.
    fn serve_text(&self, _path: &str) -> Option<String> {
        None
    }
    /// Waits as long as nothing may be answered to this caller, if it is cut off.
    fn wait_until_reachable(
        &self,
        _method: &hyper::Method,
        _headers: &hyper::HeaderMap,
    ) -> impl Future<Output = ()> + Send {
        async {}
    }
    /// Told of each request and answer, for recordings.
    fn log_request(&self, _request: &RequestLog<'_>) {}
}

/// An answer of this code is never sent: the connection is cut instead. For stand-ins that lose answers.
pub const ABORT_CONNECTION: u16 = 0;

/// A write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// POST.
    Create,
    /// PUT or PATCH.
    Update,
    /// DELETE.
    Delete,
}

/// One request and its answer.
#[derive(Debug)]
pub struct RequestLog<'a> {
    /// Who asked.
    pub peer: std::net::SocketAddr,
    /// Method.
    pub method: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// The object of a write.
    pub object: &'a Object,
    /// Status of the answer.
    pub status: u16,
}

/// A store with its API.
#[derive(Debug)]
pub struct Api<H> {
    store: Mutex<Store>,
    bell: Event,
    watch_generation: AtomicU64,
    /// Bounds.
    pub limits: Limits,
    /// What the program adds.
    pub hooks: H,
}

impl<H: Hooks> Api<H> {
    /// The API of a store.
    pub fn new(store: Store, limits: Limits, hooks: H) -> Self {
        Self {
            store: Mutex::new(store),
            bell: Event::new(),
            watch_generation: AtomicU64::new(0),
            limits,
            hooks,
        }
    }

    /// The store. Held for moments only, never over an await.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        // A panic under the lock can leave no half-made change: each change is one call.
        self.store
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Ends all watches that are open now, as a fault or a shutdown does.
    pub fn close_watches(&self) {
        self.watch_generation.fetch_add(1, Ordering::Relaxed);
        self.notify_watchers();
    }

    /// Wakes all watches; to be called after changes.
    pub fn notify_watchers(&self) {
        self.bell.notify(usize::MAX);
    }
}
