//! The published API objects that tidespur serves, without I/O.
//!
//! Objects travel as JSON values that have been through the published types of `k8s-openapi`; this crate decodes
//! them, checks them, patches them, matches selectors against them and words errors as `Status`.

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

/// An object as it is stored and sent.
pub type Object = serde_json::Value;
