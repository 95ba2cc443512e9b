//! Watches. Each has a cursor into the store's history and a bounded channel to its client.

use crate::{Api, Hooks, RequestOptions, Target};
use bytes::Bytes;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tidespur_api::selector::Selector;
use tidespur_api::{ApiError, Object, Resource, meta};
use tidespur_net::{Body, body, clock};
use tidespur_store::{Change, ChangeKind, Cursor, PageRequest};

/// Most changes that are read from the store at a time.
const MAX_BATCH: usize = 256;
/// Chunks that are queued for a slow client; beyond that, only its position in the history is kept.
const MAX_QUEUED_CHUNKS: usize = 8;
/// Size from which on a chunk is sent without waiting for further changes, in bytes.
const CHUNK_BYTES: usize = 32 * 1024;

fn write_event(out: &mut Vec<u8>, kind: &str, object: &Value) {
    // The event is assembled by hand, as a `json!` value would need a clone of the object.
    out.extend_from_slice(b"{\"type\":\"");
    out.extend_from_slice(kind.as_bytes());
    out.extend_from_slice(b"\",\"object\":");
    if serde_json::to_writer(&mut *out, object).is_err() {
        out.extend_from_slice(b"null");
    }
    out.extend_from_slice(b"}\n");
}

fn bookmark(resource: &Resource, version: u64, initial_end: bool) -> Value {
    let mut object = json!({"kind": resource.kind, "apiVersion": resource.api_version(),
        "metadata": {"resourceVersion": version.to_string()}});
    if initial_end {
        object["metadata"]["annotations"] = json!({"k8s.io/initial-events-end": "true"});
    }
    object
}

struct Watch {
    cursor: Cursor,
    resource: &'static Resource,
    namespace: String,
    name: String,
    selector: Selector,
    bookmarks: bool,
    ends_at: f64,
    generation: u64,
    chunks: async_channel::Sender<Bytes>,
}

impl Watch {
    fn matches(&self, object: &Object) -> bool {
        (self.namespace.is_empty() || meta::namespace(object) == self.namespace)
            && (self.name.is_empty() || meta::name(object) == self.name)
            && self.selector.matches(object)
    }

    /// Writes a change as this watch sees it: an object that begins to match is added, one that stops matching is
    /// deleted.
    fn write_change(&self, change: &Change, out: &mut Vec<u8>) {
        let now = change.kind != ChangeKind::Deleted && self.matches(&change.object);
        let before = change
            .previous
            .as_ref()
            .is_some_and(|previous| self.matches(previous));
        let kind = match (before, now) {
            (false, true) => "ADDED",
            (true, true) => "MODIFIED",
            (true, false) => "DELETED",
            (false, false) => return,
        };
        write_event(out, kind, &change.object);
    }
}

impl<H: Hooks> Api<H> {
    /// Starts a watch and returns the body that its events are streamed to.
    pub(crate) fn watch(
        self: &Arc<Self>,
        target: &Target,
        options: &RequestOptions,
    ) -> Result<Body, ApiError> {
        let (send, receive) = async_channel::bounded(MAX_QUEUED_CHUNKS);
        let mut store = self.store();
        // Without a version or from version 0, a watch begins with the present objects.
        let is_from_present =
            options.send_initial_events == Some(true) || matches!(options.version, None | Some(0));
        let mut initial_events = Vec::new();
        let version = if is_from_present && options.send_initial_events != Some(false) {
            let request = PageRequest {
                namespace: target.namespace.clone(),
                ..PageRequest::default()
            };
            let page = store.list(target.resource, &request)?;
            for item in page.items.iter() {
                let is_name_matched = target.name.is_empty() || meta::name(item) == target.name;
                if is_name_matched && options.selector.matches(item) {
                    write_event(&mut initial_events, "ADDED", item);
                }
            }
            if options.send_initial_events == Some(true) {
                write_event(
                    &mut initial_events,
                    "BOOKMARK",
                    &bookmark(target.resource, page.version, true),
                );
            }
            page.version
        } else {
            options.version.unwrap_or(store.version())
        };
        let cursor = store
            .watch(target.resource, version)
            .map_err(|e| ApiError::expired(e.to_string()))?;
        drop(store);
        let watch = Watch {
            cursor,
            resource: target.resource,
            namespace: target.namespace.clone(),
            name: target.name.clone(),
            selector: options.selector.clone(),
            bookmarks: options.bookmarks,
            ends_at: clock::now() + options.timeout.unwrap_or(crate::options::MAX_WATCH_SECONDS),
            generation: self.watch_generation.load(Ordering::Relaxed),
            chunks: send,
        };
        let api = self.clone();
        smol::spawn(async move { api.send_events(watch, initial_events).await }).detach();
        Ok(body::stream(receive))
    }

    async fn send_events(self: Arc<Self>, mut watch: Watch, mut buffer: Vec<u8>) {
        let mut bookmark_at = clock::now() + self.limits.bookmark_interval;
        let mut bookmarked = watch.cursor.version();
        // The initial objects should be durable before they are sent. The watch goes on even if they are not in time:
        // later changes are read only once they are visible.
        drop(self.hooks.wait_durable(bookmarked, false).await);
        loop {
            let changed = self.changed.listen();
            let mut changes = Vec::new();
            let polled = self
                .store()
                .poll_visible(&mut watch.cursor, MAX_BATCH, &mut changes);
            for change in &changes {
                watch.write_change(change, &mut buffer);
                if buffer.len() >= CHUNK_BYTES && !self.send_chunk(&watch, &mut buffer).await {
                    return;
                }
            }
            let now = clock::now();
            if let Err(expired) = polled {
                write_event(
                    &mut buffer,
                    "ERROR",
                    &ApiError::expired(expired.to_string()).to_status(),
                );
                self.send_chunk(&watch, &mut buffer).await;
                return;
            }
            if watch.bookmarks && now >= bookmark_at {
                bookmark_at = now + self.limits.bookmark_interval;
                bookmarked = watch.cursor.version();
                write_event(
                    &mut buffer,
                    "BOOKMARK",
                    &bookmark(watch.resource, bookmarked, false),
                );
            }
            let is_over = now >= watch.ends_at;
            if is_over && watch.bookmarks && bookmarked != watch.cursor.version() {
                write_event(
                    &mut buffer,
                    "BOOKMARK",
                    &bookmark(watch.resource, watch.cursor.version(), false),
                );
            }
            if !buffer.is_empty() && !self.send_chunk(&watch, &mut buffer).await {
                return;
            }
            let is_closed = self.watch_generation.load(Ordering::Relaxed) != watch.generation;
            if is_over || is_closed || watch.chunks.is_closed() {
                return;
            }
            if changes.is_empty() {
                let wake_at = if watch.bookmarks {
                    watch.ends_at.min(bookmark_at)
                } else {
                    watch.ends_at
                };
                let closed = async {
                    watch.chunks.closed().await;
                };
                clock::timeout(wake_at - now, futures_lite::future::or(changed, closed)).await;
            }
        }
    }

    /// Sends the buffer to the client; `false` if the client is gone or has read nothing for the write timeout.
    async fn send_chunk(&self, watch: &Watch, buffer: &mut Vec<u8>) -> bool {
        let chunk = Bytes::from(std::mem::take(buffer));
        matches!(
            clock::timeout(self.limits.write_timeout, watch.chunks.send(chunk)).await,
            Some(Ok(()))
        )
    }
}
