//! Creates, updates and deletes objects. Each write is checked against its precondition, gets the next version and is
//! tracked for persistence.

use crate::{Change, ChangeKind, Key, Precondition, Store, key};
use std::sync::Arc;
use tidespur_api::{ApiError, Object, Resource, meta};

/// Fields of `metadata` that only the server sets.
const SERVER_FIELDS: [&str; 5] = [
    "uid",
    "creationTimestamp",
    "resourceVersion",
    "generation",
    "deletionTimestamp",
];
/// Retry-After for creations that are rejected at the limit of objects, in seconds.
const FULL_RETRY_AFTER_SECONDS: u32 = 10;

impl Store {
    /// Creates an object under `metadata.name`. Sets uid, version, creation time and, if it has a spec, generation.
    /// `now` is in seconds since 1970.
    ///
    /// # Errors
    /// `AlreadyExists`, or `TooManyRequests` at [`crate::Limits::max_objects`].
    pub fn create(
        &mut self,
        resource: &Resource,
        mut object: Object,
        now: f64,
    ) -> Result<Arc<Object>, ApiError> {
        let key = key(resource, meta::namespace(&object), meta::name(&object));
        if self.objects.contains_key(&key) {
            return Err(ApiError::already_exists(resource.plural, &key.2));
        }
        if self.counts[resource.index] >= self.limits.max_objects {
            let text = format!(
                "{} {} stand already, which is the most that is held",
                self.limits.max_objects, resource.plural
            );
            return Err(ApiError::too_many_requests(text, FULL_RETRY_AFTER_SECONDS));
        }
        let uid = self.new_uid();
        meta::set(&mut object, "uid", uid.into());
        meta::set(
            &mut object,
            "creationTimestamp",
            meta::timestamp(now).into(),
        );
        if object.get("spec").is_some() {
            meta::set(&mut object, "generation", 1.into());
        }
        self.counts[resource.index] += 1;
        Ok(self.put(resource, key, object, None))
    }

    /// Replaces an object. Metadata that only the server sets is kept, and the generation is incremented if the spec
    /// changes. Writing an equal object changes nothing and gets no new version.
    ///
    /// # Errors
    /// `NotFound`, or `Conflict` if the precondition fails.
    pub fn update(
        &mut self,
        resource: &Resource,
        mut object: Object,
        precondition: &Precondition,
    ) -> Result<Arc<Object>, ApiError> {
        let key = key(resource, meta::namespace(&object), meta::name(&object));
        let Some(old) = self.objects.get(&key).cloned() else {
            return Err(ApiError::not_found(resource.plural, &key.2));
        };
        check_precondition(resource, &old, precondition)?;
        for field in SERVER_FIELDS {
            let value = meta::value_at(&old, &["metadata", field]).clone();
            if value.is_null() {
                meta::map_mut(&mut object, "metadata").remove(field);
            } else {
                meta::set(&mut object, field, value);
            }
        }
        if object == *old {
            return Ok(old);
        }
        if object.get("spec") != old.get("spec") {
            let generation = meta::value_at(&old, &["metadata", "generation"])
                .as_i64()
                .unwrap_or(0);
            meta::set(&mut object, "generation", (generation + 1).into());
        }
        Ok(self.put(resource, key, object, Some(old)))
    }

    /// Deletes an object and returns its last state with the version of the deletion.
    ///
    /// # Errors
    /// `NotFound`, or `Conflict` if the precondition fails.
    pub fn delete(
        &mut self,
        resource: &Resource,
        namespace: &str,
        name: &str,
        precondition: &Precondition,
    ) -> Result<Arc<Object>, ApiError> {
        let key = key(resource, namespace, name);
        let Some(old) = self.objects.get(&key).cloned() else {
            return Err(ApiError::not_found(resource.plural, name));
        };
        check_precondition(resource, &old, precondition)?;
        self.objects.remove(&key);
        self.track_write(&key);
        self.counts[resource.index] -= 1;
        self.version += 1;
        let mut last = (*old).clone();
        meta::set(
            &mut last,
            "resourceVersion",
            self.version.to_string().into(),
        );
        let last = Arc::new(last);
        let change = Change {
            version: self.version,
            kind: ChangeKind::Deleted,
            object: last.clone(),
            previous: Some(old),
        };
        self.histories[resource.index].push(change);
        Ok(last)
    }

    fn track_write(&mut self, key: &Key) {
        if let Some(unpersisted) = &mut self.unpersisted {
            unpersisted.insert(key.clone());
        }
    }

    /// Writes the object with the next version and appends the change to the history.
    fn put(
        &mut self,
        resource: &Resource,
        key: Key,
        mut object: Object,
        previous: Option<Arc<Object>>,
    ) -> Arc<Object> {
        self.version += 1;
        meta::set(
            &mut object,
            "resourceVersion",
            self.version.to_string().into(),
        );
        let object = Arc::new(object);
        let kind = if previous.is_some() {
            ChangeKind::Modified
        } else {
            ChangeKind::Added
        };
        self.track_write(&key);
        self.objects.insert(key, object.clone());
        let change = Change {
            version: self.version,
            kind,
            object: object.clone(),
            previous,
        };
        self.histories[resource.index].push(change);
        object
    }
}

fn check_precondition(
    resource: &Resource,
    old: &Object,
    precondition: &Precondition,
) -> Result<(), ApiError> {
    let name = meta::name(old);
    if precondition
        .uid
        .as_deref()
        .is_some_and(|uid| uid != meta::uid(old))
    {
        let why = format!(
            "the uid in the precondition does not match the uid in record: {}",
            meta::uid(old)
        );
        return Err(ApiError::conflict(resource.plural, name, &why));
    }
    if precondition
        .version
        .is_some_and(|version| version != meta::version(old))
    {
        let why = "the object has been modified; please apply your changes to the latest version and try again";
        return Err(ApiError::conflict(resource.plural, name, why));
    }
    Ok(())
}
