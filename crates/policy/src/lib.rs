#![doc = include_str!("../README.md")]

pub mod choice;
pub mod interface;

pub use choice::Scheduler;
