//! Resource types that are served.

use k8s_openapi::api::{batch::v1 as batch, core::v1 as core};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};

/// Converts a value to its published type and back, which drops unknown fields; their paths are appended to the list.
pub type TypeConversion = fn(Value, &mut Vec<String>) -> Result<Value, TypeError>;

/// A value that does not have the published type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {message}")]
pub struct TypeError {
    /// Path of the field with the wrong type.
    pub path: String,
    /// What was found and what is expected.
    pub message: String,
}

/// Most unknown fields that are reported for one object.
const MAX_UNKNOWN_FIELDS: usize = 16;

/// A resource type that is served.
#[derive(Debug)]
pub struct Resource {
    /// Index in [`RESOURCES`].
    pub index: usize,
    /// API group; empty for the core group.
    pub group: &'static str,
    /// API version within the group.
    pub version: &'static str,
    /// Plural name, as in paths.
    pub plural: &'static str,
    /// Singular name, for command lines and messages.
    pub singular: &'static str,
    /// Kind of its objects.
    pub kind: &'static str,
    /// Short names for the command line, such as `po`.
    pub short_names: &'static [&'static str],
    /// Whether its objects belong to namespaces.
    pub namespaced: bool,
    /// Whether it has a status subresource.
    pub has_status_subresource: bool,
    /// Converts a value through the published type of this resource.
    pub convert: TypeConversion,
}

fn convert_through<T: Serialize + DeserializeOwned>(
    value: Value,
    unknown: &mut Vec<String>,
) -> Result<Value, TypeError> {
    let mut track = serde_path_to_error::Track::new();
    let mut record_unknown = |path: serde_ignored::Path<'_>| {
        let path = path.to_string().replace(".?", "");
        // These two identify the type and are checked by the caller.
        if unknown.len() < MAX_UNKNOWN_FIELDS && path != "kind" && path != "apiVersion" {
            unknown.push(path);
        }
    };
    let ignored = serde_ignored::Deserializer::new(value, &mut record_unknown);
    let typed: Result<T, _> =
        T::deserialize(serde_path_to_error::Deserializer::new(ignored, &mut track));
    let typed = typed.map_err(|error| TypeError {
        path: track.path().to_string(),
        message: error.to_string(),
    })?;
    serde_json::to_value(typed).map_err(|error| TypeError {
        path: String::new(),
        message: error.to_string(),
    })
}

/// All resource types that are served, in the order of [`Resource::index`].
pub static RESOURCES: [Resource; 5] = [
    Resource {
        index: 0,
        group: "",
        version: "v1",
        plural: "namespaces",
        singular: "namespace",
        kind: "Namespace",
        short_names: &["ns"],
        namespaced: false,
        has_status_subresource: true,
        convert: convert_through::<core::Namespace>,
    },
    Resource {
        index: 1,
        group: "",
        version: "v1",
        plural: "nodes",
        singular: "node",
        kind: "Node",
        short_names: &["no"],
        namespaced: false,
        has_status_subresource: true,
        convert: convert_through::<core::Node>,
    },
    Resource {
        index: 2,
        group: "",
        version: "v1",
        plural: "pods",
        singular: "pod",
        kind: "Pod",
        short_names: &["po"],
        namespaced: true,
        has_status_subresource: true,
        convert: convert_through::<core::Pod>,
    },
    Resource {
        index: 3,
        group: "",
        version: "v1",
        plural: "events",
        singular: "event",
        kind: "Event",
        short_names: &["ev"],
        namespaced: true,
        has_status_subresource: false,
        convert: convert_through::<core::Event>,
    },
    Resource {
        index: 4,
        group: "batch",
        version: "v1",
        plural: "jobs",
        singular: "job",
        kind: "Job",
        short_names: &[],
        namespaced: true,
        has_status_subresource: true,
        convert: convert_through::<batch::Job>,
    },
];

/// Resource type `Namespace` of the core group.
pub static NAMESPACES: &Resource = &RESOURCES[0];
/// Resource type `Node` of the core group.
pub static NODES: &Resource = &RESOURCES[1];
/// Resource type `Pod` of the core group.
pub static PODS: &Resource = &RESOURCES[2];
/// Resource type `Event` of the core group.
pub static EVENTS: &Resource = &RESOURCES[3];
/// Resource type `Job` of the group `batch`.
pub static JOBS: &Resource = &RESOURCES[4];

impl Resource {
    /// `apiVersion` of its objects.
    pub fn api_version(&self) -> String {
        if self.group.is_empty() {
            self.version.into()
        } else {
            format!("{}/{}", self.group, self.version)
        }
    }

    /// Finds a resource by group and plural name, as in paths.
    pub fn find(group: &str, plural: &str) -> Option<&'static Resource> {
        RESOURCES
            .iter()
            .find(|r| r.group == group && r.plural == plural)
    }

    /// Finds a resource by any name that command lines allow: plural, singular, kind or short name, in any case.
    pub fn find_by_alias(alias: &str) -> Option<&'static Resource> {
        let alias = alias.to_ascii_lowercase();
        RESOURCES.iter().find(|r| {
            r.plural == alias
                || r.singular == alias
                || r.kind.eq_ignore_ascii_case(&alias)
                || r.short_names.contains(&alias.as_str())
        })
    }

    /// Path of a collection if `name` is empty, otherwise of one object. An empty `namespace` stands for all
    /// namespaces.
    pub fn path(&self, namespace: &str, name: &str) -> String {
        let group = if self.group.is_empty() {
            "/api".into()
        } else {
            format!("/apis/{}", self.group)
        };
        let namespace = if self.namespaced && !namespace.is_empty() {
            format!("/namespaces/{namespace}")
        } else {
            String::new()
        };
        let name = if name.is_empty() {
            String::new()
        } else {
            format!("/{name}")
        };
        format!("{group}/{}{namespace}/{}{name}", self.version, self.plural)
    }
}

const VERBS: [&str; 8] = [
    "create",
    "delete",
    "deletecollection",
    "get",
    "list",
    "patch",
    "update",
    "watch",
];

/// The `APIResourceList` of a group, as discovery returns it.
pub fn resource_list(group: &str) -> Value {
    let mut list = Vec::new();
    for r in RESOURCES.iter().filter(|r| r.group == group) {
        list.push(
            json!({"name": r.plural, "singularName": r.singular, "namespaced": r.namespaced,
            "kind": r.kind, "verbs": VERBS, "shortNames": r.short_names}),
        );
        if r.has_status_subresource {
            list.push(
                json!({"name": format!("{}/status", r.plural), "singularName": "",
                "namespaced": r.namespaced, "kind": r.kind, "verbs": ["get", "patch", "update"]}),
            );
        }
    }
    let version = if group.is_empty() {
        "v1".into()
    } else {
        format!("{group}/v1")
    };
    json!({"kind": "APIResourceList", "apiVersion": "v1", "groupVersion": version, "resources": list})
}
