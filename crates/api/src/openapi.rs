//! OpenAPI documents under `/openapi/v3`: paths, verbs and top-level fields of each object.

use crate::Resource;
use crate::resource::RESOURCES;
use serde_json::{Map, Value, json};

/// The index document, with the URLs of the documents of the groups.
pub fn index() -> Value {
    json!({"paths": {
        "api/v1": {"serverRelativeURL": "/openapi/v3/api/v1"},
        "apis/batch/v1": {"serverRelativeURL": "/openapi/v3/apis/batch/v1"},
    }})
}

/// The document of one API group; `group` is empty for the core group.
pub fn group(group: &str) -> Value {
    let (mut paths, mut schemas) = (Map::new(), Map::new());
    for r in RESOURCES.iter().filter(|r| r.group == group) {
        schemas.insert(
            schema_name(r),
            json!({"type": "object", "properties": {
                "apiVersion": {"type": "string"}, "kind": {"type": "string"},
                "metadata": {"type": "object"}, "spec": {"type": "object"}, "status": {"type": "object"}},
            "x-kubernetes-group-version-kind": [{"group": r.group, "version": r.version, "kind": r.kind}]}),
        );
        let namespace = if r.namespaced { "{namespace}" } else { "" };
        let operation = |action: &str, verb: &str| {
            json!({"operationId": format!("{verb}{}", r.kind), "x-kubernetes-action": action,
                "x-kubernetes-group-version-kind": {"group": r.group, "version": r.version, "kind": r.kind},
                "responses": {"200": {"description": "OK", "content": {"application/json": {"schema":
                    {"$ref": format!("#/components/schemas/{}", schema_name(r))}}}}}})
        };
        let collection = json!({"get": operation("list", "list"), "post": operation("post", "create"),
            "delete": operation("deletecollection", "deleteCollection")});
        let single = json!({"get": operation("get", "read"), "put": operation("put", "replace"),
            "patch": operation("patch", "patch"), "delete": operation("delete", "delete")});
        paths.insert(r.path(namespace, ""), collection);
        paths.insert(r.path(namespace, "{name}"), single);
    }
    json!({"openapi": "3.0.0", "info": {"title": "tidespur", "version": env!("CARGO_PKG_VERSION")},
        "paths": paths, "components": {"schemas": schemas}})
}

fn schema_name(r: &Resource) -> String {
    let group = if r.group.is_empty() { "core" } else { r.group };
    format!("io.k8s.api.{group}.{}.{}", r.version, r.kind)
}
