//! The adapter between the operators' simulator and the policy. Decides nothing.

pub mod wire;
