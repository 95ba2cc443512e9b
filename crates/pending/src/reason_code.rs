//! The reasons why work can be pending, as published in conditions, metrics and messages.

use serde::{Deserialize, Serialize};

/// The part of the system that holds the work back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReasonSource {
    /// The policy's choice.
    Policy,
    /// A node rejected it.
    Node,
    /// The owner backs off, or finds out whether an earlier Pod runs.
    Owner,
    /// The edge has no planner for it.
    Edge,
    /// The node registry.
    Register,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $code:ident, $source:ident, $description:literal;)*) => {
        /// A reason. The names of the variants are published: they are the labels in metrics and the codes in JSON.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum ReasonCode { $($(#[$doc])* $code,)* }
        impl ReasonCode {
            /// All reasons.
            pub const ALL: &[ReasonCode] = &[$(ReasonCode::$code),*];
            /// The part of the system that holds the work back.
            pub fn source(self) -> ReasonSource {
                match self { $(ReasonCode::$code => ReasonSource::$source,)* }
            }
            /// A description for people, as used in messages.
            pub fn description(self) -> &'static str {
                match self { $(ReasonCode::$code => $description,)* }
            }
            /// The published name, for labels.
            pub fn name(self) -> &'static str {
                match self { $(ReasonCode::$code => stringify!($code),)* }
            }
        }
    };
}

codes! {
    /// The planner has no list of nodes yet.
    NoList, Register, "no list of nodes yet";
    /// The node is no longer in the list.
    Unlisted, Register, "not listed, or gone";
    /// The node is in the list and has not reported its Pods since the planner started.
    Unheard, Node, "has not said yet what it holds";
    /// The node drains.
    Draining, Policy, "draining";
    /// The class needs another node type.
    WrongKind, Policy, "wrong kind";
    /// The node is outside the failure domain that deduplicates retries of the task.
    OutsideGroup, Policy, "outside the group that drops repeats";
    /// The node is in slow start and its budget is used up.
    ColdBudget, Policy, "just come up, bears no more offers now";
    /// The spread limit of the service is reached in the node's failure domain.
    Spread, Policy, "limit of the service";
    /// The circuit breaker of the node is open.
    SetAside, Policy, "set aside after troubles";
    /// Too many offers are in flight to the node.
    Line, Policy, "offers unanswered";
    /// Too few cores.
    Cores, Policy, "no cores";
    /// Too little memory.
    Memory, Policy, "no memory";
    /// A node would accept it now: it is offered at the next attempt.
    Free, Policy, "would take it now";
    /// All attempts are made.
    AttemptsUsed, Policy, "all attempts are used up";
    /// An attempt may have run.
    MayHaveRun, Policy, "an earlier attempt may have run, and a second start does harm";
    /// An attempt may have run and the deduplication window is over.
    WindowOver, Policy, "an earlier attempt may have run, and the window for repeats is over";
    /// The deadline of the task has passed.
    GivesUp, Policy, "its owner gives up now";
    /// An offer is in flight.
    OfferOut, Policy, "an offer is out";
    /// A node rejected an earlier attempt.
    NodeRefused, Node, "turned away by a node";
    /// No planner is connected.
    NoPlanner, Edge, "no planner is connected";
    /// All planners have as many tasks as they may have.
    PlannersFull, Edge, "no planner has room";
    /// No planner responds.
    PlannersSilent, Edge, "no planner answers";
    /// The owner backs off before the next Pod.
    BackingOff, Owner, "its owner pauses before asking again";
    /// The controller finds out whether an earlier Pod runs.
    Settling, Owner, "it is being found out whether an earlier one runs";
    /// The Job is suspended.
    Suspended, Owner, "its Job is suspended";
}
