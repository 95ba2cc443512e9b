//! Validates objects that have the published type; each violation is a cause of a 422.

use crate::status::Cause;
use crate::{ApiError, Object, Resource, fields, meta, names, quantity};
use serde_json::Value;

/// Longest value of an annotation, in bytes.
const MAX_ANNOTATION_BYTES: usize = 256 * 1024;
/// Largest `parallelism` of a Job.
pub const MAX_PARALLELISM: i64 = 10_000;

/// Longest value of a label, in bytes.
const MAX_LABEL_BYTES: usize = 63;
/// Longest key of a label or annotation, in bytes: a prefix of 253, a slash and a name of 63.
const MAX_KEY_BYTES: usize = 317;
/// Longest duration in an annotation, in seconds.
const MAX_SECONDS: f64 = 1e9;

fn cause(reason: &'static str, field: &str, message: impl Into<String>) -> Cause {
    Cause {
        reason,
        field: field.to_owned(),
        message: message.into(),
    }
}

/// Whether a name is a DNS subdomain of at most 253 characters or, if `is_label`, a DNS label of at most 63 (RFC 1123).
pub fn is_dns_name(name: &str, is_label: bool) -> bool {
    let max_bytes = if is_label { 63 } else { 253 };
    if name.len() > max_bytes {
        return false;
    }
    if is_label {
        return is_dns_part(name);
    }
    name.split('.').all(is_dns_part)
}

fn is_dns_part(part: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let has_dash_at_end = part.starts_with('-') || part.ends_with('-');
    !part.is_empty() && part.chars().all(is_allowed) && !has_dash_at_end
}

/// Validates an object that is to be created or changed. `old` is the stored object, `None` on creation; `classes` are
/// the class names of the settings.
///
/// # Errors
/// 422 with all causes.
pub fn check(
    resource: &Resource,
    object: &Object,
    old: Option<&Object>,
    classes: &[String],
) -> Result<(), ApiError> {
    let mut causes = Vec::new();
    check_metadata(resource, object, &mut causes);
    fields::check(resource, object, &mut causes);
    match resource.kind {
        "Pod" => {
            let spec = meta::value_at(object, &["spec"]);
            check_pod(spec, object, "spec", classes, &mut causes);
            if let Some(old) = old {
                check_unchanged(old, object, &mut causes);
            }
        }
        "Job" => check_job(object, old, classes, &mut causes),
        _ => {}
    }
    if causes.is_empty() {
        return Ok(());
    }
    Err(ApiError::invalid(resource.kind, meta::name(object), causes))
}

fn check_metadata(resource: &Resource, object: &Object, causes: &mut Vec<Cause>) {
    let name = meta::name(object);
    if !is_dns_name(name, resource.kind == "Namespace") {
        let rule = "must be lower case letters, digits, '-' and '.', 253 characters at most (63 for a namespace)";
        let message = format!("{name:?} {rule}");
        causes.push(cause("FieldValueInvalid", "metadata.name", message));
    }
    for (field, max_bytes) in [
        ("labels", MAX_LABEL_BYTES),
        ("annotations", MAX_ANNOTATION_BYTES),
    ] {
        let entries = meta::value_at(object, &["metadata", field]).as_object();
        for (key, value) in entries.into_iter().flatten() {
            let value = value.as_str().unwrap_or("");
            if key.is_empty() || key.len() > MAX_KEY_BYTES || value.len() > max_bytes {
                let field = format!("metadata.{field}");
                let message = format!("{key:?} is empty or too long");
                causes.push(cause("FieldValueInvalid", &field, message));
            }
        }
    }
}

/// Checks that the fields of a Pod that its placement depends on are unchanged.
fn check_unchanged(old: &Object, object: &Object, causes: &mut Vec<Cause>) {
    for field in ["containers", "priorityClassName"] {
        let path = ["spec", field];
        if meta::value_at(old, &path) != meta::value_at(object, &path) {
            let field = format!("spec.{field}");
            let message = "can't be changed once the Pod stands";
            causes.push(cause("FieldValueForbidden", &field, message));
        }
    }
}

fn check_job(object: &Object, old: Option<&Object>, classes: &[String], causes: &mut Vec<Cause>) {
    let spec = meta::value_at(object, &["spec"]);
    let fields = [
        "parallelism",
        "completions",
        "backoffLimit",
        "activeDeadlineSeconds",
        "ttlSecondsAfterFinished",
    ];
    for field in fields {
        let max = if field == "parallelism" {
            MAX_PARALLELISM
        } else {
            i64::from(i32::MAX)
        };
        let Some(number) = spec.get(field).and_then(Value::as_i64) else {
            continue;
        };
        let min = i64::from(field == "activeDeadlineSeconds");
        if number < min || number > max {
            let range = format!("{number} must be from {min} to {max}");
            causes.push(cause("FieldValueInvalid", &format!("spec.{field}"), range));
        }
    }
    let template = meta::value_at(spec, &["template"]);
    check_pod(
        meta::value_at(template, &["spec"]),
        template,
        "spec.template.spec",
        classes,
        causes,
    );
    let policy = meta::text_at(template, &["spec", "restartPolicy"]);
    if !matches!(policy, "Never" | "OnFailure") {
        let message = format!("{policy:?} must be Never or OnFailure");
        causes.push(cause(
            "FieldValueNotSupported",
            "spec.template.spec.restartPolicy",
            message,
        ));
    }
    if old.is_some_and(|old| meta::value_at(old, &["spec", "template"]) != template) {
        causes.push(cause(
            "FieldValueForbidden",
            "spec.template",
            "field is immutable",
        ));
    }
}

/// Checks the spec of a Pod or of a Pod template. `owner` is the object with the annotations, `path` the field path of
/// the spec.
fn check_pod(spec: &Value, owner: &Value, path: &str, classes: &[String], causes: &mut Vec<Cause>) {
    let containers = meta::value_at(spec, &["containers"]).as_array();
    if containers.is_none_or(Vec::is_empty) {
        let field = format!("{path}.containers");
        let message = "at least one is needed";
        causes.push(cause("FieldValueRequired", &field, message));
    }
    for (index, container) in containers.into_iter().flatten().enumerate() {
        check_container(container, &format!("{path}.containers[{index}]"), causes);
    }
    let class = meta::text_at(spec, &["priorityClassName"]);
    if !class.is_empty() && !classes.iter().any(|known| known == class) {
        let field = format!("{path}.priorityClassName");
        let known = classes.join(", ");
        let message = format!("{class:?} is no class of the settings; use one of {known}");
        causes.push(cause("FieldValueNotSupported", &field, message));
    }
    check_durations(owner, causes);
}

fn check_container(container: &Value, path: &str, causes: &mut Vec<Cause>) {
    if !is_dns_name(meta::text_at(container, &["name"]), true) {
        let field = format!("{path}.name");
        causes.push(cause("FieldValueInvalid", &field, "must be a DNS label"));
    }
    for kind in ["requests", "limits"] {
        let entries = meta::value_at(container, &["resources", kind]).as_object();
        for (key, value) in entries.into_iter().flatten() {
            if let Err(error) = quantity::parse(value.as_str().unwrap_or("")) {
                let field = format!("{path}.resources.{kind}[{key}]");
                causes.push(cause("FieldValueInvalid", &field, error.to_string()));
            }
        }
    }
}

/// Checks the annotations that are durations in seconds.
fn check_durations(owner: &Value, causes: &mut Vec<Cause>) {
    for key in [names::EXPECTED_SECONDS, names::GIVE_UP_SECONDS] {
        let Some(text) = meta::annotation(owner, key) else {
            continue;
        };
        let seconds = text.parse::<f64>();
        if !seconds.is_ok_and(|seconds| seconds > 0.0 && seconds <= MAX_SECONDS) {
            let field = format!("metadata.annotations[{key}]");
            let message = format!("{text:?} must be seconds above 0, 1e9 at most");
            causes.push(cause("FieldValueInvalid", &field, message));
        }
    }
}
