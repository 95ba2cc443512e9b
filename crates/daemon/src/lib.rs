//! What the long-running programs (edge, planner, and the voter's loop) share: command-line options, opening their
//! store, receiving inputs in batches, measuring loop lag, and shutdown. Decides nothing.

mod batch;
mod lag;
mod options;
mod shutdown;
mod store;

pub use batch::receive_batch;
pub use lag::report_loop_lag;
pub use options::SharedOptions;
pub use shutdown::shutdown_without_membership;
pub use store::open_store;
