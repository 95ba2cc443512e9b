//! Lists: of one moment, in pages.

use crate::{Key, Store};
use std::sync::Arc;
use tidespur_api::selector::Selector;
use tidespur_api::{ApiError, Object, Resource};

/// What to list.
#[derive(Clone, Debug, Default)]
pub struct PageRequest {
    /// Namespace, "" for all.
    pub namespace: String,
    /// Narrowed to these.
    pub selector: Selector,
    /// At most so many, 0 for all.
    pub limit: usize,
    /// Token of the page before.
    pub continue_token: Option<String>,
    /// The version that must stand exactly, where one is asked for.
    pub exact: Option<u64>,
}

/// A part of a list.
#[derive(Clone, Debug)]
pub struct Page {
    /// The objects.
    pub items: Vec<Arc<Object>>,
    /// The version that the whole list is of.
    pub version: u64,
    /// Where the next page begins, and how many objects are left without regard to selectors.
    pub next: Option<(String, usize)>,
}

/// Why a page can't be had.
pub type ListError = ApiError;

impl Store {
    /// One page. Pages of one list show one moment; that is kept for a bounded number of moments.
    pub fn list(&mut self, resource: &Resource, request: &PageRequest) -> Result<Page, ListError> {
        let gone = || {
            ApiError::expired(
                "the provided continue parameter is too old: list again from the start",
            )
        };
        let (version, after) = match &request.continue_token {
            Some(token) => {
                let bad = || {
                    ApiError::bad_request(
                        "the continue token is not one that this server handed out",
                    )
                };
                let mut parts = token.splitn(3, '/');
                let version = parts
                    .next()
                    .and_then(|v| v.parse::<u64>().ok())
                    .ok_or_else(bad)?;
                let namespace = parts.next().ok_or_else(bad)?;
                let name = parts.next().ok_or_else(bad)?;
                (
                    version,
                    Some((resource.index, namespace.to_owned(), name.to_owned())),
                )
            }
            None => (request.exact.unwrap_or(self.version), None),
        };
        let objects = if version == self.version {
            self.objects.clone()
        } else {
            let snapshot = self
                .snapshots
                .iter()
                .find(|(v, _)| *v == version)
                .ok_or_else(gone)?;
            snapshot.1.clone()
        };
        let namespace = request.namespace.as_str();
        let from: Key =
            after
                .clone()
                .unwrap_or((resource.index, namespace.to_owned(), String::new()));
        let inside = |k: &Key| k.0 == resource.index && (namespace.is_empty() || k.1 == namespace);
        let (mut items, mut last, mut left) = (Vec::new(), None, 0);
        for (key, object) in objects.range(from..).take_while(|(k, _)| inside(k)) {
            if after.as_ref() == Some(key) {
                continue;
            }
            if request.limit > 0 && items.len() >= request.limit {
                left += 1;
                continue;
            }
            if request.selector.matches(object) {
                items.push(object.clone());
            }
            last = Some(key);
        }
        let next = last
            .filter(|_| left > 0)
            .map(|k| (format!("{version}/{}/{}", k.1, k.2), left));
        if next.is_some() && !self.snapshots.iter().any(|(v, _)| *v == version) {
            while self.snapshots.len() >= self.limits.max_snapshots.max(1) {
                self.snapshots.pop_front();
            }
            self.snapshots.push_back((version, objects));
        }
        Ok(Page {
            items,
            version,
            next,
        })
    }
}
