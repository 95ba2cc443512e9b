//! Verbs on objects, without sockets.

use crate::{Api, DeleteOptions, Hooks, RequestOptions, Target, Verb};
use hyper::HeaderMap;
use serde_json::{Value, json};
use std::sync::Arc;
use tidespur_api::patch::{self, PatchKind};
use tidespur_api::{ApiError, Object, decode, meta, status, validate};
use tidespur_net::clock;
use tidespur_store::{PageRequest, Precondition, Store};

/// A good answer: status, object, warnings.
pub(crate) type Answer = Result<(u16, Object, Vec<String>), ApiError>;

/// A write is tried again so often where another came between, as published servers do for patches.
const PATCH_TRIES: usize = 5;

impl<H: Hooks> Api<H> {
    /// Tells the program of a write, and all watches: the program may have nothing to add to it.
    fn after_write(&self) {
        self.hooks.on_write();
        self.notify_watchers();
    }

    pub(crate) fn get(&self, target: &Target) -> Answer {
        let store = self.store();
        let found = find(&store, target)?;
        Ok((200, (*found).clone(), vec![]))
    }

    pub(crate) fn list(&self, target: &Target, options: &RequestOptions) -> Answer {
        let mut store = self.store();
        let now_at = store.version();
        if options.version.is_some_and(|version| version > now_at) {
            let mut error = ApiError::new(
                504,
                "Timeout",
                format!(
                    "Too large resource version: {}, current: {now_at}",
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
    ) -> Answer {
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
        let base = meta::text_at(&object, &["metadata", "generateName"]).to_owned();
        if meta::name(&object).is_empty() && !base.is_empty() {
            let name = format!("{base}{}", self.store().random_suffix());
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
        let stands = store
            .get(r, &target.namespace, meta::name(&object))
            .is_some();
        if options.dry_run {
            if stands {
                return Err(ApiError::already_exists(r.plural, meta::name(&object)));
            }
            return Ok((201, object, warnings));
        }
        let made = store.create(r, object, clock::now())?;
        drop(store);
        self.after_write();
        Ok((201, (*made).clone(), warnings))
    }

    pub(crate) async fn replace(
        &self,
        target: &Target,
        options: &RequestOptions,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Answer {
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
        let expect = match version {
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
        self.write(target, options, headers, object, &expect, warnings)
            .await
    }

    pub(crate) async fn patch(
        &self,
        target: &Target,
        options: &RequestOptions,
        headers: &HeaderMap,
        media: &str,
        body: &[u8],
    ) -> Answer {
        let kind = PatchKind::parse(media)?;
        let (change, repeated) = decode::json(body)?;
        let repeated: Vec<String> = repeated
            .iter()
            .map(|path| format!("duplicate field \"{path}\""))
            .collect();
        let mut tries = 0;
        loop {
            let old = find(&self.store(), target)?;
            let after = patch::apply(kind, &old, change.clone())?;
            let (after, warnings) = decode::typed(
                target.resource,
                after,
                repeated.clone(),
                options.field_validation,
            )?;
            // A patch that names a version demands it; another is tried again where a write came between.
            let demanded = meta::version(&after) != meta::version(&old);
            let version = if demanded {
                meta::version(&after)
            } else {
                meta::version(&old)
            };
            let expect = Precondition {
                version: Some(version),
                uid: None,
            };
            tries += 1;
            match self
                .write(target, options, headers, after, &expect, warnings)
                .await
            {
                Err(e) if e.reason == "Conflict" && !demanded && tries < PATCH_TRIES => {}
                answer => return answer,
            }
        }
    }

    /// Writes over an object; the status subresource changes only the status, the object all but the status.
    async fn write(
        &self,
        target: &Target,
        options: &RequestOptions,
        headers: &HeaderMap,
        mut object: Object,
        expect: &Precondition,
        warnings: Vec<String>,
    ) -> Answer {
        let r = target.resource;
        let old = find(&self.store(), target)?;
        let uid = meta::uid(&object);
        if !uid.is_empty() && uid != meta::uid(&old) {
            let why = format!("the uid ({uid}) differs from that of the object that stands");
            return Err(ApiError::conflict(r.plural, &target.name, &why));
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
        let written = self.store().update(r, object, expect)?;
        self.after_write();
        Ok((200, (*written).clone(), warnings))
    }

    pub(crate) async fn delete(
        &self,
        target: &Target,
        options: &RequestOptions,
        headers: &HeaderMap,
        body: &[u8],
    ) -> Answer {
        let body = if body.is_empty() {
            Value::Null
        } else {
            decode::json(body)?.0
        };
        let how = options.delete_options(&body)?;
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
        let gone = self
            .hooks
            .delete(&mut self.store(), target.resource, &object, &how)?;
        self.after_write();
        let done = match target.resource.kind {
            // Clients wait for these by what comes back: the object as it went.
            "Pod" | "Namespace" => gone,
            _ => status::success(target.resource.plural, &target.name, meta::uid(&gone)),
        };
        Ok((200, done, vec![]))
    }

    pub(crate) fn delete_collection(
        &self,
        target: &Target,
        options: &RequestOptions,
        body: &[u8],
    ) -> Answer {
        let body = if body.is_empty() {
            Value::Null
        } else {
            decode::json(body)?.0
        };
        let how = DeleteOptions {
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
        let mut gone = Vec::new();
        for object in all {
            if options.is_dry_run_delete(&body) {
                gone.push((*object).clone());
                continue;
            }
            match self
                .hooks
                .delete(&mut store, target.resource, &object, &how)
            {
                Ok(object) => gone.push(object),
                // One that another deletion took with it.
                Err(e) if e.code == 404 => {}
                Err(e) => return Err(e),
            }
        }
        let version = store.version().to_string();
        drop(store);
        self.after_write();
        let kind = format!("{}List", target.resource.kind);
        let api = target.resource.api_version();
        let list = json!({"kind": kind, "apiVersion": api, "metadata": {"resourceVersion": version}, "items": gone});
        Ok((200, list, vec![]))
    }
}

fn find(store: &Store, target: &Target) -> Result<Arc<Object>, ApiError> {
    let found = store.get(target.resource, &target.namespace, &target.name);
    found
        .cloned()
        .ok_or_else(|| ApiError::not_found(target.resource.plural, &target.name))
}
