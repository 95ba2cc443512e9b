#![doc = include_str!("../README.md")]

mod backoff;
pub mod interface;
mod running_mean;
pub mod scheduler;

pub use scheduler::Scheduler;
