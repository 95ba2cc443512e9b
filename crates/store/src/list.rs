//! Lists in pages, all pages of one version.

use crate::{Key, Store};
use imbl::OrdMap;
use std::sync::Arc;
use tidespur_api::selector::Selector;
use tidespur_api::{ApiError, Object, Resource};

/// What to list.
#[derive(Clone, Debug, Default)]
pub struct PageRequest {
    /// Namespace, "" for all.
    pub namespace: String,
    /// Only objects that match this.
    pub selector: Selector,
    /// Maximum number of objects, 0 for all.
    pub limit: usize,
    /// Continue token of the page before.
    pub continue_token: Option<String>,
    /// The exact version to list, if one is requested.
    pub exact: Option<u64>,
}

/// A part of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// The objects.
    pub items: Vec<Arc<Object>>,
    /// The version of the whole list.
    pub version: u64,
    /// Continue token of the next page, and how many objects remain regardless of the selector.
    pub next: Option<(String, usize)>,
}

/// A position in a list, from a continue token.
struct ContinueToken {
    version: u64,
    /// The last object of the page before.
    after: Key,
}

impl ContinueToken {
    fn parse(resource: &Resource, token: &str) -> Result<Self, ApiError> {
        let invalid =
            || ApiError::bad_request("the continue token is not one that this server handed out");
        let mut parts = token.splitn(3, '/');
        let version = parts.next().and_then(|version| version.parse().ok());
        let version = version.ok_or_else(invalid)?;
        let namespace = parts.next().ok_or_else(invalid)?;
        let name = parts.next().ok_or_else(invalid)?;
        Ok(Self {
            version,
            after: (resource.index, namespace.to_owned(), name.to_owned()),
        })
    }
}

impl Store {
    /// One page. All pages of one list show the same version, which is kept for a bounded number of lists.
    ///
    /// # Errors
    /// `Expired` if that version is no longer kept, `BadRequest` for a token of another server.
    pub fn list(&mut self, resource: &Resource, request: &PageRequest) -> Result<Page, ApiError> {
        let token = match &request.continue_token {
            Some(token) => Some(ContinueToken::parse(resource, token)?),
            None => None,
        };
        let version = match &token {
            Some(token) => token.version,
            None => request.exact.unwrap_or(self.version),
        };
        let objects = self.objects_at(version)?;
        let after = token.map(|token| token.after);
        let page = page(&objects, resource, request, version, after.as_ref());
        if page.next.is_some() {
            self.keep_snapshot(version, objects);
        }
        Ok(page)
    }

    /// All objects as they were at this version.
    fn objects_at(&self, version: u64) -> Result<OrdMap<Key, Arc<Object>>, ApiError> {
        if version == self.version {
            return Ok(self.objects.clone());
        }
        let mut snapshots = self.snapshots.iter();
        let snapshot = snapshots.find(|(kept, _)| *kept == version);
        let (_, objects) = snapshot.ok_or_else(|| {
            ApiError::expired(
                "the provided continue parameter is too old: list again from the start",
            )
        })?;
        Ok(objects.clone())
    }

    /// Keeps the objects of this version for further pages; drops the oldest at the bound.
    fn keep_snapshot(&mut self, version: u64, objects: OrdMap<Key, Arc<Object>>) {
        if self.snapshots.iter().any(|(kept, _)| *kept == version) {
            return;
        }
        while self.snapshots.len() >= self.limits.max_snapshots.max(1) {
            self.snapshots.pop_front();
        }
        self.snapshots.push_back((version, objects));
    }
}

/// The page of these objects that begins after `after`.
fn page(
    objects: &OrdMap<Key, Arc<Object>>,
    resource: &Resource,
    request: &PageRequest,
    version: u64,
    after: Option<&Key>,
) -> Page {
    let namespace = request.namespace.as_str();
    let is_listed =
        |key: &Key| key.0 == resource.index && (namespace.is_empty() || key.1 == namespace);
    let first = (resource.index, namespace.to_owned(), String::new());
    let start = after.cloned().unwrap_or(first);
    let mut items = Vec::new();
    let mut last = None;
    let mut remaining = 0;
    for (key, object) in objects.range(start..).take_while(|(key, _)| is_listed(key)) {
        if after == Some(key) {
            continue;
        }
        if request.limit > 0 && items.len() >= request.limit {
            remaining += 1;
            continue;
        }
        if request.selector.matches(object) {
            items.push(object.clone());
        }
        last = Some(key);
    }
    let next = match last {
        Some(key) if remaining > 0 => Some((format!("{version}/{}/{}", key.1, key.2), remaining)),
        _ => None,
    };
    Page {
        items,
        version,
        next,
    }
}
