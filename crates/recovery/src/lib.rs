//! Controls the recovery of service after an outage. No I/O.
//!
//! [`PlannerCounter`] determines the number of planners that share the slow-start budget of cold nodes. Further parts
//! are planned, see `docs/recovery.md`. Called by the edge that holds the lease of the fleet.

mod planner_count;

pub use planner_count::{MAX_NAME_BYTES, Observation, Output, PlannerCounter};
/// Seconds: a point on the caller's clock, or a length of time.
pub use tidespur_units::Seconds;
