//! Paged lists; all pages of one list show the same version.

use crate::{Key, Store};
use imbl::OrdMap;
use std::sync::Arc;
use tidespur_api::selector::Selector;
use tidespur_api::{ApiError, Object, Resource};

/// A request for one page of a list.
#[derive(Clone, Debug, Default)]
pub struct PageRequest {
    /// Namespace; empty for all.
    pub namespace: String,
    /// Selects the listed objects.
    pub selector: Selector,
    /// Maximum number of objects in the page; 0 for all.
    pub limit: usize,
    /// Continue token of the previous page; `None` for the first page.
    pub continue_token: Option<String>,
    /// Exact version to list; `None` for the current one. Ignored with a continue token.
    pub exact: Option<u64>,
}

/// One page of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// The selected objects, in order of namespace and name.
    pub items: Vec<Arc<Object>>,
    /// The version of the whole list.
    pub version: u64,
    /// Continue token of the next page and number of remaining objects, those that the selector excludes included;
    /// `None` for the last page.
    pub next: Option<(String, usize)>,
}

/// Decoded continue token: `version/namespace/name`.
struct ContinueToken {
    version: u64,
    /// Last object of the previous page.
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
    /// Returns one page. If more follow, keeps a snapshot of the listed version for them; at
    /// [`crate::Limits::max_snapshots`] the oldest snapshot is dropped.
    ///
    /// # Errors
    /// `Expired` if the version is no longer kept, `BadRequest` if the continue token is malformed.
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

    /// All objects at this version.
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

    /// Keeps the objects of this version for further pages; drops the oldest snapshot at the limit.
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

/// The page that begins after the key `after`, or at the start.
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
