//! The order in which service returns after an outage. No I/O.
//!
//! Its first part is [`PlannerCounter`]: among how many planners the slow-start budget of cold nodes is divided. The
//! others are planned, see `docs/recovery.md`. Called by the edge that holds the lease of the fleet.

mod planner_count;

pub use planner_count::{MAX_NAME_BYTES, Observation, Output, PlannerCounter};
/// Seconds: a point on the caller's clock, or a length of time.
pub use tidespur_units::Seconds;
