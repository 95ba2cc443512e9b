//! The program that plans.
//!
//! [`core::Core`] is the planner as a state machine: what came from edges, nodes and the register goes in, the
//! policy is asked, and what is to be done comes out. [`run`] is the loop around it, which decides nothing.

pub mod book;
pub mod core;
pub mod nodes;
pub mod run;
mod waits;
pub mod words;

pub use run::{Options, run};
