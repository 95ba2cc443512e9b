//! The program that plans.
//!
//! [`core::Core`] is the planner as a state machine: what came from edges, nodes and the register goes in, the
//! policy is asked, and what is to be done comes out. [`run`] is the loop around it, which decides nothing.

pub mod attempts;
pub mod book;
mod carry;
pub mod core;
mod links;
pub mod nodes;
mod offers;
mod options;
pub mod run;
mod waits;
mod watches;
pub mod words;

pub use options::Options;
pub use run::run;
