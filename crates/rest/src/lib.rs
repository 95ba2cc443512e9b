//! Kubernetes-compatible REST API over a store.
//!
//! The edge serves all of it; the emulated registry and nodes serve their part by the same code, so that clients find
//! the same API everywhere. [`Hooks`] is what each program adds.

mod handle;
mod options;
mod request_body;
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
use tidespur_net::body::BodyMemory;
use tidespur_store::{Precondition, Store};

/// Limits of the API. Times are seconds.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of one request body; a longer one gets 413.
    pub max_body_bytes: usize,
    /// Time within which a request body has to arrive; a later one gets 408.
    pub body_timeout: f64,
    /// How often watches that ask for bookmarks get one.
    pub bookmark_interval: f64,
    /// A watch is closed if its client reads nothing for this long.
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

/// Options of a deletion, from its query and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeleteOptions {
    /// Propagation policy: `Background`, `Foreground`, `Orphan`; `None` if the request names none.
    pub propagation: Option<String>,
    /// Precondition: the object's uid.
    pub uid: Option<String>,
    /// Precondition: the object's `resourceVersion`.
    pub version: Option<u64>,
}

impl DeleteOptions {
    /// Removes the object, without its dependents, if it meets the preconditions.
    ///
    /// # Errors
    /// 404 if the object does not exist, 409 if a precondition does not hold.
    pub fn apply(
        &self,
        store: &mut Store,
        resource: &Resource,
        object: &Object,
    ) -> Result<Object, ApiError> {
        let precondition = Precondition {
            uid: self.uid.clone(),
            version: self.version,
        };
        let (space, name) = (meta::namespace(object), meta::name(object));
        store
            .delete(resource, space, name, &precondition)
            .map(|object| (*object).clone())
    }
}

/// Extension points by which a program adapts the API: which resources it serves, admission of writes, and what follows
/// from them.
pub trait Hooks: Send + Sync + Sized + 'static {
    /// Whether this program serves a resource; requests for others get 404.
    fn serves(&self, _resource: &Resource) -> bool {
        true
    }
    /// Class names that `priorityClassName` of a Pod may have.
    fn classes(&self) -> &[String] {
        &[]
    }
    /// Admission of an object that is to be created: may change or reject it before it is validated and stored.
    fn admit(
        &self,
        _store: &Store,
        _resource: &Resource,
        _object: &mut Object,
    ) -> Result<(), ApiError> {
        Ok(())
    }
    /// Handles a write in place of the store, for instance by forwarding it to the program that owns the object. `None`
    /// lets the write go to the store.
    fn intercept_write(
        &self,
        _verb: Verb,
        _resource: &'static Resource,
        _object: &Object,
        _headers: &hyper::HeaderMap,
    ) -> impl Future<Output = Option<Result<Object, ApiError>>> + Send {
        async { None }
    }
    /// Removes an object and its dependents. Called with the store locked.
    fn delete(
        &self,
        store: &mut Store,
        resource: &Resource,
        object: &Object,
        options: &DeleteOptions,
    ) -> Result<Object, ApiError> {
        options.apply(store, resource, object)
    }
    /// Called after each write, with the store unlocked.
    fn on_write(&self) {}
    /// Waits until the store is durable up to this version, that is, survives a power loss; only then may a response
    /// depend on it. For a read that can't wait for that, returns a warning for the client.
    ///
    /// # Errors
    /// The response to the client of a write (`is_write`) that did not become durable.
    fn wait_durable(
        &self,
        _version: u64,
        _is_write: bool,
    ) -> impl Future<Output = Result<Option<String>, ApiError>> + Send {
        async { Ok(None) }
    }
    /// Headers that are added to every response, except for plain text and aborted connections.
    fn headers(&self) -> Vec<(&'static str, String)> {
        vec![]
    }
    /// Text of `/readyz`, or why the program is not ready to take work.
    fn ready(&self) -> Result<String, ApiError> {
        Ok("ok".into())
    }
    /// Components of the program for `/readyz?verbose`, one per line, with their state (`Ok`) or what they wait for
    /// (`Err`).
    fn component_status(&self) -> Vec<(&'static str, Result<String, String>)> {
        vec![]
    }
    /// Handles a path that is not part of the API. `None` answers 404.
    fn handle_other(
        &self,
        _method: &str,
        _path: &str,
        _body: &[u8],
    ) -> Option<Result<Object, ApiError>> {
        None
    }
    /// Plain text that a GET of a path returns, such as `/metrics`; `None` if the path is not served this way.
    fn serve_text(&self, _path: &str) -> Option<String> {
        None
    }
    /// Waits while this client is cut off from the program by an injected network fault. Called before the request is
    /// handled.
    fn wait_until_reachable(
        &self,
        _method: &hyper::Method,
        _headers: &hyper::HeaderMap,
    ) -> impl Future<Output = ()> + Send {
        async {}
    }
    /// Called with each request and its response, for recordings.
    fn log_request(&self, _request: &RequestLog<'_>) {}
}

/// Error code that is never sent: the connection is closed without a response instead. Emulators use it to lose
/// responses.
pub const ABORT_CONNECTION: u16 = 0;

/// Kind of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// A new object is added, by a POST to its collection.
    Create,
    /// An existing object is changed, by a PUT or PATCH.
    Update,
    /// An object is removed, by a DELETE.
    Delete,
}

/// A request and its response, for [`Hooks::log_request`].
#[derive(Debug)]
pub struct RequestLog<'a> {
    /// Address of the client.
    pub peer: std::net::SocketAddr,
    /// HTTP method of the request, such as `GET`.
    pub method: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Object in the response; null for errors and watches.
    pub object: &'a Object,
    /// HTTP status of the response.
    pub status: u16,
}

/// The API of one store.
#[derive(Debug)]
pub struct Api<H> {
    store: Mutex<Store>,
    changed: Event,
    watch_generation: AtomicU64,
    body_memory: BodyMemory,
    /// Limits of requests and watches.
    pub limits: Limits,
    /// Extension points that the program implements.
    pub hooks: H,
}

impl<H: Hooks> Api<H> {
    /// Serves this store; nothing listens until a [`server`](tidespur_net::server) is started with an [`ApiHandler`].
    pub fn new(store: Store, limits: Limits, hooks: H) -> Self {
        Self {
            store: Mutex::new(store),
            changed: Event::new(),
            watch_generation: AtomicU64::new(0),
            body_memory: request_body::memory(&limits),
            limits,
            hooks,
        }
    }

    /// Locks the store. The guard must be dropped soon and must not be held across an await.
    pub fn store(&self) -> MutexGuard<'_, Store> {
        // A poisoned lock can be used: each change is one call, so a panic of its holder leaves no partial change.
        self.store
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Closes all open watches, for an injected fault or a shutdown.
    pub fn close_watches(&self) {
        self.watch_generation.fetch_add(1, Ordering::Relaxed);
        self.notify_watchers();
    }

    /// Wakes all watches; has to be called after changes of the store.
    pub fn notify_watchers(&self) {
        self.changed.notify(usize::MAX);
    }
}
