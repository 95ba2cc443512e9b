//! Applies the patch formats of the Kubernetes API: JSON patch, JSON merge patch and strategic merge patch.

use crate::{ApiError, Object};
use serde_json::{Map, Value};

/// Format of a patch, which is given by its media type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PatchKind {
    /// JSON patch (RFC 6902).
    Json,
    /// JSON merge patch (RFC 7396).
    Merge,
    /// Kubernetes strategic merge patch: lists with a known merge key are merged item by item.
    Strategic,
}

impl PatchKind {
    /// The format of this media type; its parameters are ignored.
    ///
    /// # Errors
    /// 415 for other media types.
    pub fn parse(media: &str) -> Result<Self, ApiError> {
        match media.split(';').next().unwrap_or("").trim() {
            "application/json-patch+json" => Ok(Self::Json),
            "application/merge-patch+json" => Ok(Self::Merge),
            "application/strategic-merge-patch+json" => Ok(Self::Strategic),
            other => Err(ApiError::new(
                415,
                "UnsupportedMediaType",
                format!(
                    "the media type {other:?} of the patch is not supported: use application/json-patch+json, \
                    application/merge-patch+json or application/strategic-merge-patch+json"
                ),
            )),
        }
    }
}

/// Most operations of one JSON patch.
const MAX_OPERATIONS: usize = 1_000;

/// Returns the patched object.
///
/// # Errors
/// The patch is malformed, too long, or cannot be applied.
pub fn apply(kind: PatchKind, object: &Object, patch: Value) -> Result<Object, ApiError> {
    let mut patched = object.clone();
    match kind {
        PatchKind::Json => apply_operations(&mut patched, patch)?,
        PatchKind::Merge if patch.is_object() => json_patch::merge(&mut patched, &patch),
        PatchKind::Strategic if patch.is_object() => merge_strategic(&mut patched, patch, "")?,
        _ => return Err(ApiError::bad_request("a merge patch must be a JSON object")),
    }
    Ok(patched)
}

fn apply_operations(target: &mut Value, patch: Value) -> Result<(), ApiError> {
    let patch: json_patch::Patch = serde_json::from_value(patch)
        .map_err(|error| ApiError::bad_request(format!("the body is no JSON patch: {error}")))?;
    if patch.0.len() > MAX_OPERATIONS {
        let message = format!("a JSON patch may have {MAX_OPERATIONS} operations at most");
        return Err(ApiError::new(413, "RequestEntityTooLarge", message));
    }
    json_patch::patch(target, &patch).map_err(|error| {
        let message = format!("the JSON patch can't be applied: {error}");
        ApiError::new(422, "Invalid", message)
    })
}

/// Merge key of the list field of this name in the published types; `None` for lists that are replaced as a whole.
fn merge_key(list: &str) -> Option<&'static str> {
    Some(match list {
        "containers"
        | "initContainers"
        | "ephemeralContainers"
        | "env"
        | "volumes"
        | "imagePullSecrets" => "name",
        "conditions" => "type",
        "ownerReferences" => "uid",
        "ports" => "containerPort",
        "volumeMounts" => "mountPath",
        "topologySpreadConstraints" => "topologyKey",
        "taints" => "key",
        "addresses" => "type",
        "podIPs" => "ip",
        _ => return None,
    })
}

/// Merges a strategic merge patch into `target`, which is the field `name` of its object.
fn merge_strategic(target: &mut Value, patch: Value, name: &str) -> Result<(), ApiError> {
    match patch {
        Value::Object(fields) => merge_object(target, fields),
        Value::Array(items) => match merge_key(name) {
            Some(key) if items.iter().all(Value::is_object) => merge_list(target, items, key),
            _ => {
                *target = Value::Array(items);
                Ok(())
            }
        },
        scalar => {
            *target = scalar;
            Ok(())
        }
    }
}

fn merge_object(target: &mut Value, mut fields: Map<String, Value>) -> Result<(), ApiError> {
    match fields.remove("$patch").as_ref().and_then(Value::as_str) {
        None | Some("merge") => {}
        Some("replace") => {
            *target = Value::Object(fields);
            return Ok(());
        }
        Some("delete") => {
            *target = Value::Null;
            return Ok(());
        }
        Some(other) => {
            let message = format!("unknown $patch directive {other:?}");
            return Err(ApiError::bad_request(message));
        }
    }
    if !target.is_object() {
        *target = Value::Object(Map::new());
    }
    for (key, value) in fields {
        merge_field(target, &key, value)?;
    }
    Ok(())
}

/// Merges one field of a patch into an object.
fn merge_field(target: &mut Value, key: &str, value: Value) -> Result<(), ApiError> {
    if let Some(list) = key.strip_prefix("$deleteFromPrimitiveList/") {
        if let (Some(Value::Array(items)), Value::Array(deleted)) = (target.get_mut(list), value) {
            items.retain(|item| !deleted.contains(item));
        }
        return Ok(());
    }
    if key.starts_with("$setElementOrder/") || key.starts_with("$retainKeys") {
        // Directives on the order of elements and on retained keys are ignored: the present order is kept, which is
        // valid for all clients.
        return Ok(());
    }
    if value.is_null() {
        if let Some(map) = target.as_object_mut() {
            map.remove(key);
        }
        return Ok(());
    }
    merge_strategic(&mut target[key], value, key)
}

/// Merges the items of a patch into a list with the merge key `key`.
fn merge_list(target: &mut Value, items: Vec<Value>, key: &str) -> Result<(), ApiError> {
    let mut list = match target.take() {
        Value::Array(list) => list,
        _ => Vec::new(),
    };
    for item in items {
        let has_key = item.get(key).is_some();
        let position = list
            .iter()
            .position(|present| has_key && present.get(key) == item.get(key));
        match (item["$patch"].as_str(), position) {
            (Some("delete"), Some(position)) => {
                list.remove(position);
            }
            (Some("delete"), None) => {}
            (Some("replace"), _) => list.clear(),
            (_, Some(position)) => merge_strategic(&mut list[position], item, "")?,
            (_, None) => list.push(item),
        }
    }
    *target = Value::Array(list);
    Ok(())
}
