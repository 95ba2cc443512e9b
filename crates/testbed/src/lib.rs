//! Runs edges, planners and emulated nodes as processes on loopback, runs scenarios with faults against them, and
//! checks five rules on the recorded traffic.

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
