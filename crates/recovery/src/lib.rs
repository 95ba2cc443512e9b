//! In which order service returns after an outage, by evidence. No I/O.
//!
//! So far: how many planners share what cold nodes bear ([`PlannerCount`]). The rest of the order is to come (`docs/dark.md`).

mod sharers;

pub use sharers::{MAX_NAME_BYTES, Observed, Output, PlannerCount};
