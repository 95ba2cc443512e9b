//! Watches: a cursor into the store for each, and a bounded pipe to its reader.

use crate::{Api, Hooks, RequestOptions, Target};
use bytes::Bytes;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tidespur_api::selector::Selector;
use tidespur_api::{ApiError, Object, Resource, meta};
use tidespur_net::{Body, body, clock};
use tidespur_store::{Change, ChangeKind, Cursor, PageRequest};

/// Changes that are looked at in one go.
const BATCH: usize = 256;
/// Pieces that wait for a slow reader; behind them only its place in the history is kept.
const PIPE: usize = 8;
/// A piece is passed on from this size on.
const PIECE: usize = 32 * 1024;

fn line(out: &mut Vec<u8>, kind: &str, object: &Value) {
    // Written by hand around the object so that it need not be cloned.
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
    ends: f64,
    generation: u64,
    pipe: async_channel::Sender<Bytes>,
}

impl Watch {
    fn wants(&self, object: &Object) -> bool {
        (self.namespace.is_empty() || meta::namespace(object) == self.namespace)
            && (self.name.is_empty() || meta::name(object) == self.name)
            && self.selector.matches(object)
    }

    /// What a change is to this watcher: one that comes to match is added, one that no longer does is deleted.
    fn show(&self, change: &Change, out: &mut Vec<u8>) {
        let now = change.kind != ChangeKind::Deleted && self.wants(&change.object);
        let before = change
            .previous
            .as_ref()
            .is_some_and(|before| self.wants(before));
        let kind = match (before, now) {
            (false, true) => "ADDED",
            (true, true) => "MODIFIED",
            (true, false) => "DELETED",
            (false, false) => return,
        };
        line(out, kind, &change.object);
    }
}

impl<H: Hooks> Api<H> {
    /// Starts a watch; its body comes as it goes.
    pub(crate) fn watch(
        self: &Arc<Self>,
        target: &Target,
        options: &RequestOptions,
    ) -> Result<Body, ApiError> {
        let (send, receive) = async_channel::bounded(PIPE);
        let mut store = self.store();
        // Without a version, or from 0, a watch begins with what stands.
        let from_now =
            options.send_initial_events == Some(true) || matches!(options.version, None | Some(0));
        let mut first = Vec::new();
        let version = if from_now && options.send_initial_events != Some(false) {
            let request = PageRequest {
                namespace: target.namespace.clone(),
                ..PageRequest::default()
            };
            let page = store.list(target.resource, &request)?;
            for item in page.items.iter() {
                let named = target.name.is_empty() || meta::name(item) == target.name;
                if named && options.selector.matches(item) {
                    line(&mut first, "ADDED", item);
                }
            }
            if options.send_initial_events == Some(true) {
                line(
                    &mut first,
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
            ends: clock::now() + options.timeout.unwrap_or(crate::options::MAX_WATCH_SECONDS),
            generation: self.watch_generation.load(Ordering::Relaxed),
            pipe: send,
        };
        let api = self.clone();
        smol::spawn(async move { api.follow(watch, first).await }).detach();
        Ok(body::stream(receive))
    }

    async fn follow(self: Arc<Self>, mut watch: Watch, mut ready: Vec<u8>) {
        let mut bookmark_at = clock::now() + self.limits.bookmark_interval;
        let mut told = watch.cursor.version();
        // What stood when it began; where it is not safe in time, what follows is all the same.
        drop(self.hooks.wait_durable(told, false).await);
        loop {
            let bell = self.bell.listen();
            let mut changes = Vec::new();
            let polled = self
                .store()
                .poll_visible(&mut watch.cursor, BATCH, &mut changes);
            for change in &changes {
                watch.show(change, &mut ready);
                if ready.len() >= PIECE && !self.pass(&watch, &mut ready).await {
                    return;
                }
            }
            let now = clock::now();
            if let Err(expired) = polled {
                line(
                    &mut ready,
                    "ERROR",
                    &ApiError::expired(expired.to_string()).to_status(),
                );
                self.pass(&watch, &mut ready).await;
                return;
            }
            if watch.bookmarks && now >= bookmark_at {
                bookmark_at = now + self.limits.bookmark_interval;
                told = watch.cursor.version();
                line(
                    &mut ready,
                    "BOOKMARK",
                    &bookmark(watch.resource, told, false),
                );
            }
            let ends = now >= watch.ends;
            if ends && watch.bookmarks && told != watch.cursor.version() {
                line(
                    &mut ready,
                    "BOOKMARK",
                    &bookmark(watch.resource, watch.cursor.version(), false),
                );
            }
            if !ready.is_empty() && !self.pass(&watch, &mut ready).await {
                return;
            }
            let broken = self.watch_generation.load(Ordering::Relaxed) != watch.generation;
            if ends || broken || watch.pipe.is_closed() {
                return;
            }
            if changes.is_empty() {
                let wake = if watch.bookmarks {
                    watch.ends.min(bookmark_at)
                } else {
                    watch.ends
                };
                let closed = async {
                    watch.pipe.closed().await;
                };
                clock::timeout(wake - now, futures_lite::future::or(bell, closed)).await;
            }
        }
    }

    /// Hands a piece to the reader; one that takes nothing for too long is cut.
    async fn pass(&self, watch: &Watch, ready: &mut Vec<u8>) -> bool {
        let piece = Bytes::from(std::mem::take(ready));
        matches!(
            clock::timeout(self.limits.write_timeout, watch.pipe.send(piece)).await,
            Some(Ok(()))
        )
    }
}
