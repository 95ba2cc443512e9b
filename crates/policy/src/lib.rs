#![doc = include_str!("../README.md")]

pub mod choice;
pub mod interface;
mod mean;

pub use choice::Scheduler;
