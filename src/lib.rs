#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]

pub mod choice;
pub mod interface;
pub mod wire;

pub use choice::Scheduler;
