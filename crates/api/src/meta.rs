//! Accessors for metadata and conditions of objects, and for timestamps.

use serde_json::{Map, Value, json};

static NULL: Value = Value::Null;

/// The value at a path of keys; null if there is none.
pub fn value_at<'a>(object: &'a Value, path: &[&str]) -> &'a Value {
    path.iter()
        .try_fold(object, |value, key| value.get(key))
        .unwrap_or(&NULL)
}

/// The string at a path; "" if there is none.
pub fn text_at<'a>(object: &'a Value, path: &[&str]) -> &'a str {
    value_at(object, path).as_str().unwrap_or("")
}

/// `metadata.name`; empty if there is none.
pub fn name(object: &Value) -> &str {
    text_at(object, &["metadata", "name"])
}

/// `metadata.namespace`; empty if there is none.
pub fn namespace(object: &Value) -> &str {
    text_at(object, &["metadata", "namespace"])
}

/// `metadata.uid`; empty if there is none.
pub fn uid(object: &Value) -> &str {
    text_at(object, &["metadata", "uid"])
}

/// `metadata.resourceVersion`; 0 if it is missing or not a number.
pub fn version(object: &Value) -> u64 {
    text_at(object, &["metadata", "resourceVersion"])
        .parse()
        .unwrap_or(0)
}

/// The value of an annotation; `None` if it is missing or not a string.
pub fn annotation<'a>(object: &'a Value, key: &str) -> Option<&'a str> {
    value_at(object, &["metadata", "annotations"])
        .get(key)
        .and_then(Value::as_str)
}

/// The value of a label; `None` if it is missing or not a string.
pub fn label<'a>(object: &'a Value, key: &str) -> Option<&'a str> {
    value_at(object, &["metadata", "labels"])
        .get(key)
        .and_then(Value::as_str)
}

/// The object's map of this key; created if it is missing or of another type.
pub fn map_mut<'a>(object: &'a mut Value, key: &str) -> &'a mut Map<String, Value> {
    if !object.is_object() {
        *object = json!({});
    }
    if !object[key].is_object() {
        object[key] = json!({});
    }
    match &mut object[key] {
        Value::Object(map) => map,
        _ => unreachable!("made an object just above"),
    }
}

/// Sets a field of the metadata, which is created if it is missing.
pub fn set(object: &mut Value, key: &str, value: Value) {
    map_mut(object, "metadata").insert(key.to_owned(), value);
}

/// Adds a condition to the status, or replaces the one of the same type.
pub fn set_condition(object: &mut Value, condition: Value) {
    let status = map_mut(object, "status");
    let list = status.entry("conditions").or_insert_with(|| json!([]));
    if !list.is_array() {
        *list = json!([]);
    }
    let Value::Array(list) = list else { return };
    match list.iter_mut().find(|old| old["type"] == condition["type"]) {
        Some(old) => *old = condition,
        None => list.push(condition),
    }
}

/// Whether the object has a condition of this type with the status `True`.
pub fn has_condition(object: &Value, kind: &str) -> bool {
    let list = value_at(object, &["status", "conditions"]).as_array();
    list.is_some_and(|list| {
        list.iter()
            .any(|c| c["type"] == kind && c["status"] == "True")
    })
}

/// Formats a time, in Unix seconds, as the published `Time`, with whole seconds; empty if it is out of range.
pub fn timestamp(unix: f64) -> String {
    jiff::Timestamp::from_second(unix as i64)
        .map(|t| t.to_string())
        .unwrap_or_default()
}

/// Formats a time, in Unix seconds, as the published `MicroTime`; empty if it is out of range.
pub fn timestamp_micro(unix: f64) -> String {
    let stamp = jiff::Timestamp::from_microsecond((unix * 1e6) as i64);
    stamp.map(|t| format!("{t:.6}")).unwrap_or_default()
}

/// Parses a published `Time` or `MicroTime` to Unix seconds, with a resolution of 1 ms; `None` if it is malformed.
pub fn parse_timestamp(text: &str) -> Option<f64> {
    text.parse::<jiff::Timestamp>()
        .ok()
        .map(|t| t.as_millisecond() as f64 / 1e3)
}
