//! Which fields of the published types mean something here. A field is honoured or refused by name; none is taken
//! and then ignored. What only a node's runtime reads (image, command, volumes, ...) travels to the node as written.

use crate::status::Cause;
use crate::{Object, Resource, meta};
use serde_json::Value;

const JOB: [&str; 10] = [
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

/// Of a Pod's spec: placement reads the first four, nodes the others.
const POD: [&str; 25] = [
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

const CONTAINER: [&str; 18] = [
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

/// Fields of which one value only is served.
const JOB_ONLY: [(&str, &str); 2] = [
    ("completionMode", "NonIndexed"),
    ("podReplacementPolicy", "TerminatingOrFailed"),
];

fn refused(field: String, message: &str) -> Cause {
    Cause {
        reason: "FieldValueNotSupported",
        field,
        message: message.to_owned(),
    }
}

const NOT_SERVED: &str = "is not served by tidespur; leave it out (docs/api.md lists what is)";

fn known(object: &Value, at: &str, names: &[&str], causes: &mut Vec<Cause>) {
    for (key, value) in object.as_object().into_iter().flatten() {
        let empty = value.is_null() || value.as_array().is_some_and(Vec::is_empty);
        if !empty && !names.contains(&key.as_str()) {
            causes.push(refused(format!("{at}.{key}"), NOT_SERVED));
        }
    }
}

/// Names each field of an object that can't be honoured.
pub(crate) fn check(resource: &Resource, object: &Object, causes: &mut Vec<Cause>) {
    let listed = |path: &[&str]| {
        meta::value_at(object, path)
            .as_array()
            .is_some_and(|list| !list.is_empty())
    };
    if listed(&["metadata", "finalizers"]) {
        let message = "is not served: a deletion is at once; leave it out";
        causes.push(refused("metadata.finalizers".into(), message));
    }
    let spec = meta::value_at(object, &["spec"]);
    match resource.kind {
        "Pod" => pod(spec, "spec", causes),
        "Job" => {
            known(spec, "spec", &JOB, causes);
            for (field, only) in JOB_ONLY {
                if spec.get(field).is_some_and(|value| value != only) {
                    causes.push(refused(
                        format!("spec.{field}"),
                        &format!("only {only} is served"),
                    ));
                }
            }
            if spec
                .get("manualSelector")
                .is_some_and(|value| value != false)
            {
                causes.push(refused(
                    "spec.manualSelector".into(),
                    "only false is served",
                ));
            }
            let template = meta::value_at(spec, &["template"]);
            known(template, "spec.template", &["metadata", "spec"], causes);
            pod(
                meta::value_at(template, &["spec"]),
                "spec.template.spec",
                causes,
            );
        }
        "Namespace" if listed(&["spec", "finalizers"]) => {
            causes.push(refused("spec.finalizers".into(), NOT_SERVED));
        }
        _ => {}
    }
}

fn pod(spec: &Value, at: &str, causes: &mut Vec<Cause>) {
    known(spec, at, &POD, causes);
    if spec
        .get("terminationGracePeriodSeconds")
        .is_some_and(|grace| grace.as_i64() != Some(0))
    {
        let message = "only 0 is served: nodes stop a Pod at once";
        causes.push(refused(
            format!("{at}.terminationGracePeriodSeconds"),
            message,
        ));
    }
    let scheduler = meta::text_at(spec, &["schedulerName"]);
    if !["", "default-scheduler", "tidespur"].contains(&scheduler) {
        let message = format!("{scheduler:?} is not served here: use tidespur, or leave it out");
        causes.push(refused(format!("{at}.schedulerName"), &message));
    }
    let containers = meta::value_at(spec, &["containers"]).as_array();
    for (i, container) in containers.into_iter().flatten().enumerate() {
        let at = format!("{at}.containers[{i}]");
        known(container, &at, &CONTAINER, causes);
        let resources = meta::value_at(container, &["resources"]);
        known(
            resources,
            &format!("{at}.resources"),
            &["requests", "limits"],
            causes,
        );
        let requests = meta::value_at(resources, &["requests"]);
        known(
            requests,
            &format!("{at}.resources.requests"),
            &["cpu", "memory"],
            causes,
        );
    }
}
