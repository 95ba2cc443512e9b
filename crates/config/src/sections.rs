//! Blocks of the settings that may be left out. Their defaults are what holds without the block, and are documented in
//! `default.hcl`. Keys in the file keep their published names; the fields have the terms of the field.

mod decisions;
mod fleet;
mod programs;

pub use decisions::{CostModel, NodesSection, SafetyLimits};
pub use fleet::{CoordinationSection, MembershipSection, PersistenceSection, Voters};
pub use programs::{EdgeSection, JobControllerSection, PlannerSection};
