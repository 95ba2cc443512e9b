#![doc = include_str!("../README.md")]

pub mod interface;
mod running_mean;
pub mod scheduler;

pub use scheduler::Scheduler;
