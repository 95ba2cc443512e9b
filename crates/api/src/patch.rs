//! The three published kinds of patch.

use crate::{ApiError, Object};
use serde_json::Value;

/// Kind of a patch, by its media type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PatchKind {
    /// RFC 6902.
    Json,
    /// RFC 7396.
    Merge,
    /// Lists of known keys are merged item by item.
    Strategic,
}

impl PatchKind {
    /// By media type; 415 for others.
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

/// A patch of more operations than this is refused.
const OPERATIONS_MOST: usize = 1_000;

/// The object after the patch.
pub fn apply(kind: PatchKind, object: &Object, patch: Value) -> Result<Object, ApiError> {
    let mut after = object.clone();
    match kind {
        PatchKind::Json => {
            let patch: json_patch::Patch = serde_json::from_value(patch)
                .map_err(|e| ApiError::bad_request(format!("the body is no JSON patch: {e}")))?;
            if patch.0.len() > OPERATIONS_MOST {
                return Err(ApiError::new(
                    413,
                    "RequestEntityTooLarge",
                    format!("a JSON patch may have {OPERATIONS_MOST} operations at most"),
                ));
            }
            json_patch::patch(&mut after, &patch).map_err(|e| {
                ApiError::new(
                    422,
                    "Invalid",
                    format!("the JSON patch can't be applied: {e}"),
                )
            })?;
        }
        PatchKind::Merge if patch.is_object() => json_patch::merge(&mut after, &patch),
        PatchKind::Strategic if patch.is_object() => strategic(&mut after, patch, "")?,
        _ => return Err(ApiError::bad_request("a merge patch must be a JSON object")),
    }
    Ok(after)
}

/// Keys by which the published types merge their lists.
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

fn strategic(target: &mut Value, patch: Value, name: &str) -> Result<(), ApiError> {
    match patch {
        Value::Object(mut fields) => {
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
                    return Err(ApiError::bad_request(format!(
                        "unknown $patch directive {other:?}"
                    )));
                }
            }
            if !target.is_object() {
                *target = Value::Object(Default::default());
            }
            for (key, value) in fields {
                if let Some(list) = key.strip_prefix("$deleteFromPrimitiveList/") {
                    if let (Some(Value::Array(old)), Value::Array(gone)) =
                        (target.get_mut(list), value)
                    {
                        old.retain(|one| !gone.contains(one));
                    }
                } else if key.starts_with("$setElementOrder/") || key.starts_with("$retainKeys") {
                    // The order of the elements is kept as it stands, which every reader allows.
                } else if value.is_null() {
                    if let Some(map) = target.as_object_mut() {
                        map.remove(&key);
                    }
                } else {
                    strategic(&mut target[&key], value, &key)?;
                }
            }
        }
        Value::Array(items) => match merge_key(name) {
            Some(by) if items.iter().all(Value::is_object) => {
                let mut list = match target.take() {
                    Value::Array(list) => list,
                    _ => vec![],
                };
                for item in items {
                    let place = list
                        .iter()
                        .position(|old| old.get(by) == item.get(by) && item.get(by).is_some());
                    match (item["$patch"].as_str(), place) {
                        (Some("delete"), Some(place)) => drop(list.remove(place)),
                        (Some("delete"), None) => {}
                        (Some("replace"), _) => list.clear(),
                        (_, Some(place)) => strategic(&mut list[place], item, "")?,
                        (_, None) => list.push(item),
                    }
                }
                *target = Value::Array(list);
            }
            _ => *target = Value::Array(items),
        },
        scalar => *target = scalar,
    }
    Ok(())
}
