//! What a well-typed object must fulfil besides; each fault is a cause of a 422.

use crate::status::Cause;
use crate::{ApiError, Object, Resource, fields, meta, names, quantity};
use serde_json::Value;

/// Names, labels and annotations together may have this many bytes.
const METADATA_MOST: usize = 256 * 1024;
/// The most Pods that one Job may run at a time.
pub const MAX_PARALLELISM: i64 = 10_000;

fn cause(reason: &'static str, field: &str, message: impl Into<String>) -> Cause {
    Cause {
        reason,
        field: field.to_owned(),
        message: message.into(),
    }
}

/// A DNS subdomain of at most 253 characters (or, for `label`, a label of 63).
pub fn dns_name(name: &str, label: bool) -> bool {
    let most = if label { 63 } else { 253 };
    let part = |part: &str| {
        let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        !part.is_empty()
            && part.chars().all(plain)
            && !part.starts_with('-')
            && !part.ends_with('-')
    };
    name.len() <= most
        && if label {
            part(name)
        } else {
            name.split('.').all(part)
        }
}

/// Checks an object that is to be created or changed; `old` is what stands.
pub fn check(
    resource: &Resource,
    object: &Object,
    old: Option<&Object>,
    classes: &[String],
) -> Result<(), ApiError> {
    let mut causes = Vec::new();
    let name = meta::name(object);
    if !dns_name(name, resource.kind == "Namespace") {
        let rule = "must be lower case letters, digits, '-' and '.', 253 characters at most (63 for a namespace)";
        causes.push(cause(
            "FieldValueInvalid",
            "metadata.name",
            format!("{name:?} {rule}"),
        ));
    }
    for (field, most) in [("labels", 63), ("annotations", METADATA_MOST)] {
        let entries = meta::value_at(object, &["metadata", field]).as_object();
        for (key, value) in entries.into_iter().flatten() {
            let value = value.as_str().unwrap_or("");
            if key.is_empty() || key.len() > 317 || value.len() > most {
                let at = format!("metadata.{field}");
                causes.push(cause(
                    "FieldValueInvalid",
                    &at,
                    format!("{key:?} is empty or too long"),
                ));
            }
        }
    }
    fields::check(resource, object, &mut causes);
    match resource.kind {
        "Pod" => pod(
            meta::value_at(object, &["spec"]),
            object,
            "spec",
            classes,
            &mut causes,
        ),
        "Job" => job(object, old, classes, &mut causes),
        _ => {}
    }
    if let Some(old) = old.filter(|_| resource.kind == "Pod") {
        for field in ["containers", "priorityClassName"] {
            let path = ["spec", field];
            if meta::value_at(old, &path) != meta::value_at(object, &path) {
                let at = format!("spec.{field}");
                causes.push(cause(
                    "FieldValueForbidden",
                    &at,
                    "can't be changed once the Pod stands",
                ));
            }
        }
    }
    if causes.is_empty() {
        Ok(())
    } else {
        Err(ApiError::invalid(resource.kind, name, causes))
    }
}

fn job(object: &Object, old: Option<&Object>, classes: &[String], causes: &mut Vec<Cause>) {
    let spec = meta::value_at(object, &["spec"]);
    let fields = [
        "parallelism",
        "completions",
        "backoffLimit",
        "activeDeadlineSeconds",
        "ttlSecondsAfterFinished",
    ];
    for field in fields {
        let most = if field == "parallelism" {
            MAX_PARALLELISM
        } else {
            i64::from(i32::MAX)
        };
        let Some(number) = spec.get(field).and_then(Value::as_i64) else {
            continue;
        };
        let least = i64::from(field == "activeDeadlineSeconds");
        if number < least || number > most {
            let range = format!("{number} must be from {least} to {most}");
            causes.push(cause("FieldValueInvalid", &format!("spec.{field}"), range));
        }
    }
    let template = meta::value_at(spec, &["template"]);
    pod(
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

fn pod(spec: &Value, owner: &Value, at: &str, classes: &[String], causes: &mut Vec<Cause>) {
    let containers = meta::value_at(spec, &["containers"]).as_array();
    if containers.is_none_or(Vec::is_empty) {
        causes.push(cause(
            "FieldValueRequired",
            &format!("{at}.containers"),
            "at least one is needed",
        ));
    }
    for (i, container) in containers.into_iter().flatten().enumerate() {
        if !dns_name(meta::text_at(container, &["name"]), true) {
            let field = format!("{at}.containers[{i}].name");
            causes.push(cause("FieldValueInvalid", &field, "must be a DNS label"));
        }
        for set in ["requests", "limits"] {
            let entries = meta::value_at(container, &["resources", set]).as_object();
            for (key, value) in entries.into_iter().flatten() {
                if let Err(problem) = quantity::parse(value.as_str().unwrap_or("")) {
                    let field = format!("{at}.containers[{i}].resources.{set}[{key}]");
                    causes.push(cause("FieldValueInvalid", &field, problem.0));
                }
            }
        }
    }
    let class = meta::text_at(spec, &["priorityClassName"]);
    if !class.is_empty() && !classes.iter().any(|known| known == class) {
        let known = classes.join(", ");
        let message = format!("{class:?} is no class of the settings; use one of {known}");
        causes.push(cause(
            "FieldValueNotSupported",
            &format!("{at}.priorityClassName"),
            message,
        ));
    }
    for key in [names::EXPECTED_SECONDS, names::GIVE_UP_SECONDS] {
        let Some(text) = meta::annotation(owner, key) else {
            continue;
        };
        if !text
            .parse::<f64>()
            .is_ok_and(|seconds| seconds > 0.0 && seconds <= 1e9)
        {
            let field = format!("metadata.annotations[{key}]");
            causes.push(cause(
                "FieldValueInvalid",
                &field,
                format!("{text:?} must be seconds above 0, 1e9 at most"),
            ));
        }
    }
}
