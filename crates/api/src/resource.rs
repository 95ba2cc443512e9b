//! The table of what is served.

use k8s_openapi::api::{batch::v1 as batch, core::v1 as core};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};

/// Converts a value to its published type and back; the paths of unknown fields are appended.
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

/// Unknown fields that are reported of one object.
const MAX_UNKNOWN_FIELDS: usize = 16;

/// A kind of object that is served.
#[derive(Debug)]
pub struct Resource {
    /// Index in [`RESOURCES`].
    pub index: usize,
    /// API group, "" for core.
    pub group: &'static str,
    /// Version in the group.
    pub version: &'static str,
    /// Name in paths.
    pub plural: &'static str,
    /// Name of one.
    pub singular: &'static str,
    /// Kind of its objects.
    pub kind: &'static str,
    /// Short names.
    pub short_names: &'static [&'static str],
    /// Whether it lives in namespaces.
    pub namespaced: bool,
    /// Whether it has a status subresource.
    pub has_status_subresource: bool,
    /// Brings a value through the published type.
    pub convert: TypeConversion,
}

fn convert_through<T: Serialize + DeserializeOwned>(
    value: Value,
    unknown: &mut Vec<String>,
) -> Result<Value, TypeError> {
    let mut track = serde_path_to_error::Track::new();
    let noting = |path: serde_ignored::Path<'_>| {
        let path = path.to_string().replace(".?", "");
        // These two identify the type and are checked by the caller.
        if unknown.len() < MAX_UNKNOWN_FIELDS && path != "kind" && path != "apiVersion" {
            unknown.push(path);
        }
    };
    let mut note = noting;
    let ignored = serde_ignored::Deserializer::new(value, &mut note);
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

/// All that is served, in the order of [`Resource::index`].
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

/// Namespaces.
pub static NAMESPACES: &Resource = &RESOURCES[0];
/// Nodes.
pub static NODES: &Resource = &RESOURCES[1];
/// Pods.
pub static PODS: &Resource = &RESOURCES[2];
/// Events.
pub static EVENTS: &Resource = &RESOURCES[3];
/// Jobs.
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

    /// The one of a group that paths call so.
    pub fn find(group: &str, plural: &str) -> Option<&'static Resource> {
        RESOURCES
            .iter()
            .find(|r| r.group == group && r.plural == plural)
    }

    /// The one that people call so: plural, singular, kind or short name.
    pub fn find_by_alias(word: &str) -> Option<&'static Resource> {
        let word = word.to_ascii_lowercase();
        RESOURCES.iter().find(|r| {
            r.plural == word
                || r.singular == word
                || r.kind.eq_ignore_ascii_case(&word)
                || r.short_names.contains(&word.as_str())
        })
    }

    /// Path of a collection, or of one object.
    pub fn path(&self, namespace: &str, name: &str) -> String {
        let group = if self.group.is_empty() {
            "/api".into()
        } else {
            format!("/apis/{}", self.group)
        };
        let space = if self.namespaced && !namespace.is_empty() {
            format!("/namespaces/{namespace}")
        } else {
            String::new()
        };
        let name = if name.is_empty() {
            String::new()
        } else {
            format!("/{name}")
        };
        format!("{group}/{}{space}/{}{name}", self.version, self.plural)
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

/// `APIResourceList` of a group.
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
