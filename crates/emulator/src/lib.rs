//! Emulators of a node that runs Pods and of the registry that lists nodes. They are written from published API
//! descriptions, for demos and tests, and can be told to fail in many ways.

mod faults;
pub mod model;
pub mod node;
pub mod registry;

pub use faults::Fault;
pub use model::NodeSettings;
