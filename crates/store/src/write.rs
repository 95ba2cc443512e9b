//! Writes: each gets the next version, is checked against what its writer has seen, and is noted for what keeps it.

use crate::{Change, ChangeKind, Key, Precondition, Store, key};
use std::sync::Arc;
use tidespur_api::{ApiError, Object, Resource, meta};

impl Store {
    /// Creates an object under `metadata.name`; sets uid, version, generation and time.
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
            return Err(ApiError::too_many_requests(text, 10));
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

    /// Replaces an object. What the server sets (uid, time of creation) stays; an equal one is no change.
    pub fn update(
        &mut self,
        resource: &Resource,
        mut object: Object,
        expect: &Precondition,
    ) -> Result<Arc<Object>, ApiError> {
        let key = key(resource, meta::namespace(&object), meta::name(&object));
        let Some(old) = self.objects.get(&key).cloned() else {
            return Err(ApiError::not_found(resource.plural, &key.2));
        };
        check_expected(resource, &old, expect)?;
        for field in [
            "uid",
            "creationTimestamp",
            "resourceVersion",
            "generation",
            "deletionTimestamp",
        ] {
            let value = meta::value_at(&old, &["metadata", field]).clone();
            match value.is_null() {
                true => drop(meta::map_mut(&mut object, "metadata").remove(field)),
                false => meta::set(&mut object, field, value),
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

    /// Removes an object; the version of its end is in what comes back.
    pub fn delete(
        &mut self,
        resource: &Resource,
        namespace: &str,
        name: &str,
        expect: &Precondition,
    ) -> Result<Arc<Object>, ApiError> {
        let key = key(resource, namespace, name);
        let Some(old) = self.objects.get(&key).cloned() else {
            return Err(ApiError::not_found(resource.plural, name));
        };
        check_expected(resource, &old, expect)?;
        self.objects.remove(&key);
        self.note(&key);
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

    fn note(&mut self, key: &Key) {
        if let Some(unkept) = &mut self.unkept {
            unkept.insert(key.clone());
        }
    }

    fn put(
        &mut self,
        resource: &Resource,
        key: Key,
        mut object: Object,
        before: Option<Arc<Object>>,
    ) -> Arc<Object> {
        self.version += 1;
        meta::set(
            &mut object,
            "resourceVersion",
            self.version.to_string().into(),
        );
        let object = Arc::new(object);
        let kind = if before.is_some() {
            ChangeKind::Modified
        } else {
            ChangeKind::Added
        };
        self.note(&key);
        self.objects.insert(key, object.clone());
        let change = Change {
            version: self.version,
            kind,
            object: object.clone(),
            previous: before,
        };
        self.histories[resource.index].push(change);
        object
    }
}

fn check_expected(
    resource: &Resource,
    old: &Object,
    expect: &Precondition,
) -> Result<(), ApiError> {
    let name = meta::name(old);
    if expect
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
    if expect
        .version
        .is_some_and(|version| version != meta::version(old))
    {
        let why = "the object has been modified; please apply your changes to the latest version and try again";
        return Err(ApiError::conflict(resource.plural, name, why));
    }
    Ok(())
}
