//! Optional blocks of the settings. A missing block or key has its default value, which `default.hcl` documents. The
//! keys of the file are a published interface; the names of the fields in Rust may differ.

mod decisions;
mod fleet;
mod programs;

pub use decisions::{CostModel, NodesSection, SafetyLimits};
pub use fleet::{CoordinationSection, MembershipSection, PersistenceSection, Voters};
pub use programs::{EdgeSection, JobControllerSection, PlannerSection};
