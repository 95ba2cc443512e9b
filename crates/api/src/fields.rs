//! Fields of the published types that are supported. A request with an unsupported field is rejected with the name of
//! the field; no field is accepted and then ignored. Fields that only a node's runtime reads (image, command, volumes,
//! ...) are passed to the node unchanged.

use crate::status::Cause;
use crate::{Object, Resource, meta};
use serde_json::Value;

/// Supported fields of a Job's spec.
const JOB_FIELDS: [&str; 10] = [
    "parallelism",
    "completions",
    "backoffLimit",
    "activeDeadlineSeconds",
    "ttlSecondsAfterFinished",
    "suspend",
    "template",
    "completionMode",
    "podReplacementPolicy",
    "manualSelector",
];

/// Supported fields of a Pod's spec: the first four are read for placement, the others by nodes.
const POD_FIELDS: [&str; 25] = [
    "containers",
    "priorityClassName",
    "restartPolicy",
    "nodeName",
    "schedulerName",
    "terminationGracePeriodSeconds",
    "volumes",
    "imagePullSecrets",
    "serviceAccountName",
    "serviceAccount",
    "automountServiceAccountToken",
    "securityContext",
    "hostname",
    "subdomain",
    "dnsPolicy",
    "dnsConfig",
    "hostAliases",
    "enableServiceLinks",
    "hostNetwork",
    "hostPID",
    "hostIPC",
    "hostUsers",
    "setHostnameAsFQDN",
    "shareProcessNamespace",
    "os",
];

/// Supported fields of a container.
const CONTAINER_FIELDS: [&str; 18] = [
    "name",
    "resources",
    "image",
    "imagePullPolicy",
    "command",
    "args",
    "workingDir",
    "env",
    "envFrom",
    "ports",
    "volumeMounts",
    "volumeDevices",
    "securityContext",
    "stdin",
    "stdinOnce",
    "tty",
    "terminationMessagePath",
    "terminationMessagePolicy",
];

/// Fields of a Job's spec for which only one value is supported.
const JOB_SINGLE_VALUES: [(&str, &str); 2] = [
    ("completionMode", "NonIndexed"),
    ("podReplacementPolicy", "TerminatingOrFailed"),
];

fn unsupported(field: String, message: &str) -> Cause {
    Cause {
        reason: "FieldValueNotSupported",
        field,
        message: message.to_owned(),
    }
}

const UNSUPPORTED_FIELD: &str =
    "is not served by tidespur; leave it out (docs/api.md lists what is)";

/// Reports each field of `object` that is not empty and not among `names`.
fn check_field_names(object: &Value, path: &str, names: &[&str], causes: &mut Vec<Cause>) {
    for (key, value) in object.as_object().into_iter().flatten() {
        let is_empty = value.is_null() || value.as_array().is_some_and(Vec::is_empty);
        if !is_empty && !names.contains(&key.as_str()) {
            causes.push(unsupported(format!("{path}.{key}"), UNSUPPORTED_FIELD));
        }
    }
}

/// Reports each unsupported field of an object.
pub(crate) fn check(resource: &Resource, object: &Object, causes: &mut Vec<Cause>) {
    let is_nonempty_list = |path: &[&str]| {
        meta::value_at(object, path)
            .as_array()
            .is_some_and(|list| !list.is_empty())
    };
    if is_nonempty_list(&["metadata", "finalizers"]) {
        let message = "is not served: a deletion is at once; leave it out";
        causes.push(unsupported("metadata.finalizers".into(), message));
    }
    let spec = meta::value_at(object, &["spec"]);
    match resource.kind {
        "Pod" => check_pod(spec, "spec", causes),
        "Job" => {
            check_field_names(spec, "spec", &JOB_FIELDS, causes);
            for (field, only) in JOB_SINGLE_VALUES {
                if spec.get(field).is_some_and(|value| value != only) {
                    causes.push(unsupported(
                        format!("spec.{field}"),
                        &format!("only {only} is served"),
                    ));
                }
            }
            if spec
                .get("manualSelector")
                .is_some_and(|value| value != false)
            {
                causes.push(unsupported(
                    "spec.manualSelector".into(),
                    "only false is served",
                ));
            }
            let template = meta::value_at(spec, &["template"]);
            check_field_names(template, "spec.template", &["metadata", "spec"], causes);
            check_pod(
                meta::value_at(template, &["spec"]),
                "spec.template.spec",
                causes,
            );
        }
        "Namespace" if is_nonempty_list(&["spec", "finalizers"]) => {
            causes.push(unsupported("spec.finalizers".into(), UNSUPPORTED_FIELD));
        }
        _ => {}
    }
}

fn check_pod(spec: &Value, path: &str, causes: &mut Vec<Cause>) {
    check_field_names(spec, path, &POD_FIELDS, causes);
    if spec
        .get("terminationGracePeriodSeconds")
        .is_some_and(|grace| grace.as_i64() != Some(0))
    {
        let message = "only 0 is served: nodes stop a Pod at once";
        causes.push(unsupported(
            format!("{path}.terminationGracePeriodSeconds"),
            message,
        ));
    }
    let scheduler = meta::text_at(spec, &["schedulerName"]);
    if !["", "default-scheduler", "tidespur"].contains(&scheduler) {
        let message = format!("{scheduler:?} is not served here: use tidespur, or leave it out");
        causes.push(unsupported(format!("{path}.schedulerName"), &message));
    }
    let containers = meta::value_at(spec, &["containers"]).as_array();
    for (i, container) in containers.into_iter().flatten().enumerate() {
        let path = format!("{path}.containers[{i}]");
        check_field_names(container, &path, &CONTAINER_FIELDS, causes);
        let resources = meta::value_at(container, &["resources"]);
        check_field_names(
            resources,
            &format!("{path}.resources"),
            &["requests", "limits"],
            causes,
        );
        let requests = meta::value_at(resources, &["requests"]);
        check_field_names(
            requests,
            &format!("{path}.resources.requests"),
            &["cpu", "memory"],
            causes,
        );
    }
}
