//! Support code of the long-running programs: command-line options, opening the store, receiving inputs in batches,
//! measuring the lag of an event loop, and shutdown. Used by the edge, the planner and the voter's event loop; owns no
//! state and makes no decisions.

mod batch;
mod lag_probe;
mod options;
mod shutdown;
mod store;

pub use batch::receive_batch;
pub use lag_probe::send_lag_probes;
pub use options::SharedOptions;
pub use shutdown::wait_for_shutdown_without_membership;
pub use store::open_store;
