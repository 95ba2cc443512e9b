//! The Kubernetes API objects that tidespur serves, without I/O.
//!
//! Objects are JSON values that have been converted through the published types of `k8s-openapi`. This package decodes,
//! validates and patches them, matches selectors against them and formats errors as `Status`. Owns no state; called by
//! the REST API, the store, edge and planner.

pub mod decode;
mod fields;
pub mod meta;
pub mod names;
pub mod openapi;
pub mod patch;
pub mod quantity;
pub mod resource;
pub mod selector;
pub mod status;
pub mod task;
pub mod validate;

pub use resource::Resource;
pub use status::ApiError;

/// An object in the form in which it is stored and sent: JSON that passed [`decode`] or was made by this program.
pub type Object = serde_json::Value;
