//! Adapter between the operators' simulator and the scheduling policy, which makes all decisions.

pub mod wire;
