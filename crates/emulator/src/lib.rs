//! Stand-ins: a node that takes Pods, and the register that lists nodes. They are written from published
//! descriptions for demos and tests, and can fail in many ways on demand.

mod faults;
pub mod model;
pub mod node;
pub mod registry;

pub use faults::Fault;
pub use model::NodeSettings;
