//! Runs edges, planners and stand-ins as real processes on loopback; plays scripted days through them; judges the
//! five rules from what was recorded at the sockets.

pub mod checker;
pub mod cluster;
mod layout;

pub mod measure;
pub mod oracle;
pub mod process;
pub mod relay;
mod sample;
pub mod scenario;
pub mod scenario_run;
pub mod simnet;
pub mod supervisor;

pub use cluster::Cluster;
pub use layout::{Layout, NodeLocation};
