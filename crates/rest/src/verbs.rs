//! Verbs on objects, independent of HTTP connections.

use crate::{Api, DeleteOptions, Hooks, RequestOptions, Target, Verb};
use hyper::HeaderMap;
use serde_json::{Value, json};
use std::sync::Arc;
use tidespur_api::patch::{self, PatchKind};
use tidespur_api::{ApiError, Object, decode, meta, status, validate};
use tidespur_net::clock;
use tidespur_store::{PageRequest, Precondition, Store};

/// Result of a verb: HTTP status, object and warnings.
pub(crate) type VerbResult = Result<(u16, Object, Vec<String>), ApiError>;

/// Attempts to apply a patch while other writes change the object in between, as Kubernetes API servers do.
const MAX_PATCH_ATTEMPTS: usize = 5;

impl<H: Hooks> Api<H> {
    /// Notifies the program of a write and wakes all watches.
    fn after_write(&self) {
        self.hooks.on_write();
        self.notify_watchers();
    }

    pub(crate) fn get(&self, target: &Target) -> VerbResult {
        let store = self.store();
        let found = find(&store, target)?;
        Ok((200, (*found).clone(), vec![]))
    }

    pub(crate) fn list(&self, target: &Target, options: &RequestOptions) -> VerbResult {
        let mut store = self.store();
        let current = store.version();
        if options.version.is_some_and(|version| version > current) {
            let mut error = ApiError::new(
                504,
                "Timeout",
                format!(
                    "Too large resource version: {}, current: {current}",
                    options.version.unwrap_or(0)
                ),
            );
            error.retry_after = Some(1);
            return Err(error);
        }
        let exact = options.version_match.as_deref() == Some("Exact");
        let request = PageRequest {
            namespace: target.namespace.clone(),
            selector: options.selector.clone(),
            limit: options.limit,
            continue_token: options.continue_token.clone(),
            exact: options.version.filter(|_| exact),
        };
        let page = store.list(target.resource, &request)?;
        drop(store);
        let mut list_meta = json!({"resourceVersion": page.version.to_string()});
        if let Some((token, left)) = page.next {
            list_meta["continue"] = token.into();
            if options.selector.is_empty() {
                list_meta["remainingItemCount"] = left.into();
            }
        }
        let items: Vec<Value> = page.items.iter().map(|item| (**item).clone()).collect();
        let kind = format!("{}List", target.resource.kind);
        let api = target.resource.api_version();
        Ok((
            200,
            json!({"kind": kind, "apiVersion": api, "metadata": list_meta, "items": items}),
            vec![],
        ))
    }

    pub(crate) async fn create(
        &self,
        target: &Target,
        options: &RequestOptions,
        headers: &HeaderMap,
        body: &[u8],
    ) -> VerbResult {
        let r = target.resource;
        let (mut object, warnings) = decode::object(r, body, options.field_validation)?;
        if !object["metadata"].is_object() {
            object["metadata"] = json!({});
        }
        let space = meta::namespace(&object).to_owned();
        if r.namespaced {
            if !space.is_empty() && space != target.namespace {
                let text = format!(
                    "the namespace of the object ({space}) does not match that of the request ({})",
                    target.namespace
                );
                return Err(ApiError::bad_request(text));
            }
            if target.namespace.is_empty() {
                return Err(ApiError::bad_request(
                    "an object is created under /namespaces/NAME",
                ));
            }
            meta::set(&mut object, "namespace", target.namespace.clone().into());
        }
        if !meta::text_at(&object, &["metadata", "resourceVersion"]).is_empty() {
            return Err(ApiError::bad_request(
                "resourceVersion should not be set on objects to be created",
            ));
        }
        let name_prefix = meta::text_at(&object, &["metadata", "generateName"]).to_owned();
        if meta::name(&object).is_empty() && !name_prefix.is_empty() {
            let name = format!("{name_prefix}{}", self.store().random_suffix());
            meta::set(&mut object, "name", name.into());
        }
        if meta::name(&object).is_empty() {
            let cause = status::Cause {
                reason: "FieldValueRequired",
                field: "metadata.name".into(),
                message: "name or generateName is required".into(),
            };
            return Err(ApiError::invalid(r.kind, "", vec![cause]));
        }
        self.hooks.admit(&self.store(), r, &mut object)?;
        validate::check(r, &object, None, self.hooks.classes())?;
        if !options.dry_run
            && let Some(done) = self
                .hooks
                .intercept_write(Verb::Create, r, &object, headers)
                .await
        {
            return done.map(|object| (201, object, warnings));
        }
        let mut store = self.store();
        let exists = store
            .get(r, &target.namespace, meta::name(&object))
            .is_some();
        if options.dry_run {
            if exists {
                return Err(ApiError::already_exists(r.plural, meta::name(&object)));
            }
            return Ok((201, object, warnings));
        }
        let created = store.create(r, object, clock::now())?;
        drop(store);
        self.after_write();
        Ok((201, (*created).clone(), warnings))
    }

    pub(crate) async fn replace(
        &self,
        target: &Target,
        options: &RequestOptions,
        headers: &HeaderMap,
        body: &[u8],
    ) -> VerbResult {
        let r = target.resource;
        let (mut object, warnings) = decode::object(r, body, options.field_validation)?;
        for (key, wanted) in [("name", &target.name), ("namespace", &target.namespace)] {
            let found = meta::text_at(&object, &["metadata", key]);
            if !found.is_empty() && found != wanted {
                let text = format!(
                    "the {key} of the object ({found}) does not match that of the request ({wanted})"
                );
                return Err(ApiError::bad_request(text));
            }
            if !wanted.is_empty() {
                meta::set(&mut object, key, wanted.as_str().into());
            }
        }
        let version = meta::text_at(&object, &["metadata", "resourceVersion"]);
        let precondition = match version {
            "" => Precondition::default(),
            text => {
                let version = text.parse().map_err(|_| {
                    ApiError::bad_request(format!(
                        "metadata.resourceVersion is {text:?}: use a whole number"
                    ))
                })?;
                Precondition {
                    version: Some(version),
                    uid: None,
                }
            }
        };
        self.write(target, options, headers, object, &precondition, warnings)
            .await
    }

    pub(crate) async fn patch(
        &self,
        target: &Target,
        options: &RequestOptions,
        headers: &HeaderMap,
        media: &str,
        body: &[u8],
    ) -> VerbResult {
        let kind = PatchKind::parse(media)?;
        let (change, repeated) = decode::json(body)?;
        let repeated: Vec<String> = repeated
            .iter()
            .map(|path| format!("duplicate field \"{path}\""))
            .collect();
        let mut attempts = 0;
        loop {
            let old = find(&self.store(), target)?;
            let after = patch::apply(kind, &old, change.clone())?;
            let (after, warnings) = decode::typed(
                target.resource,
                after,
                repeated.clone(),
                options.field_validation,
            )?;
            // A patch that sets a version has it as a precondition; any other is retried after a concurrent write.
            let has_precondition = meta::version(&after) != meta::version(&old);
            let version = if has_precondition {
                meta::version(&after)
            } else {
                meta::version(&old)
            };
            let precondition = Precondition {
                version: Some(version),
                uid: None,
            };
            attempts += 1;
            match self
                .write(target, options, headers, after, &precondition, warnings)
                .await
            {
                Err(e)
                    if e.reason == "Conflict"
                        && !has_precondition
                        && attempts < MAX_PATCH_ATTEMPTS => {}
                answer => return answer,
            }
        }
    }

    /// Replaces an object. A write to the status subresource changes only the status, labels and annotations. Any
    /// other write keeps the status, except for Nodes and for resources without a status subresource.
    async fn write(
        &self,
        target: &Target,
        options: &RequestOptions,
        headers: &HeaderMap,
        mut object: Object,
        precondition: &Precondition,
        warnings: Vec<String>,
    ) -> VerbResult {
        let r = target.resource;
        let old = find(&self.store(), target)?;
        let uid = meta::uid(&object);
        if !uid.is_empty() && uid != meta::uid(&old) {
            let reason = format!("the uid ({uid}) differs from that of the object that stands");
            return Err(ApiError::conflict(r.plural, &target.name, &reason));
        }
        let keep = |object: &mut Object, from: &Object, key: &str| match from.get(key) {
            Some(value) => object[key] = value.clone(),
            None => drop(object.as_object_mut().map(|map| map.remove(key))),
        };
        if target.status {
            let status = object.get("status").cloned();
            let labels = ["labels", "annotations"]
                .map(|key| meta::value_at(&object, &["metadata", key]).clone());
            object = (*old).clone();
            object["status"] = status.unwrap_or_else(|| json!({}));
            for (key, value) in ["labels", "annotations"]
                .into_iter()
                .zip(labels)
                .filter(|(_, v)| !v.is_null())
            {
                meta::set(&mut object, key, value);
            }
        } else if r.has_status_subresource && r.kind != "Node" {
            keep(&mut object, &old, "status");
        }
        validate::check(r, &object, Some(&old), self.hooks.classes())?;
        if options.dry_run {
            return Ok((200, object, warnings));
        }
        if let Some(done) = self
            .hooks
            .intercept_write(Verb::Update, r, &object, headers)
            .await
        {
            return done.map(|object| (200, object, warnings));
        }
        let written = self.store().update(r, object, precondition)?;
        self.after_write();
        Ok((200, (*written).clone(), warnings))
    }

    pub(crate) async fn delete(
        &self,
        target: &Target,
        options: &RequestOptions,
        headers: &HeaderMap,
        body: &[u8],
    ) -> VerbResult {
        let body = if body.is_empty() {
            Value::Null
        } else {
            decode::json(body)?.0
        };
        let delete_options = options.delete_options(&body)?;
        let object = find(&self.store(), target)?;
        if options.is_dry_run_delete(&body) {
            return Ok((200, (*object).clone(), vec![]));
        }
        if let Some(done) = self
            .hooks
            .intercept_write(Verb::Delete, target.resource, &object, headers)
            .await
        {
            return done.map(|object| (200, object, vec![]));
        }
        let deleted =
            self.hooks
                .delete(&mut self.store(), target.resource, &object, &delete_options)?;
        self.after_write();
        let response = match target.resource.kind {
            // Clients that wait for the end of such a deletion expect the deleted object in the response.
            "Pod" | "Namespace" => deleted,
            _ => status::success(target.resource.plural, &target.name, meta::uid(&deleted)),
        };
        Ok((200, response, vec![]))
    }

    pub(crate) fn delete_collection(
        &self,
        target: &Target,
        options: &RequestOptions,
        body: &[u8],
    ) -> VerbResult {
        let body = if body.is_empty() {
            Value::Null
        } else {
            decode::json(body)?.0
        };
        let delete_options = DeleteOptions {
            uid: None,
            version: None,
            ..options.delete_options(&body)?
        };
        let mut store = self.store();
        let all: Vec<Arc<Object>> = store
            .iter(target.resource, &target.namespace)
            .filter(|object| options.selector.matches(object))
            .cloned()
            .collect();
        let mut deleted = Vec::new();
        for object in all {
            if options.is_dry_run_delete(&body) {
                deleted.push((*object).clone());
                continue;
            }
            match self
                .hooks
                .delete(&mut store, target.resource, &object, &delete_options)
            {
                Ok(object) => deleted.push(object),
                // Removed already, as a dependent of another object.
                Err(e) if e.code == 404 => {}
                Err(e) => return Err(e),
            }
        }
        let version = store.version().to_string();
        drop(store);
        self.after_write();
        let kind = format!("{}List", target.resource.kind);
        let api = target.resource.api_version();
        let list = json!({"kind": kind, "apiVersion": api, "metadata": {"resourceVersion": version}, "items": deleted});
        Ok((200, list, vec![]))
    }
}

fn find(store: &Store, target: &Target) -> Result<Arc<Object>, ApiError> {
    let found = store.get(target.resource, &target.namespace, &target.name);
    found
        .cloned()
        .ok_or_else(|| ApiError::not_found(target.resource.plural, &target.name))
}
