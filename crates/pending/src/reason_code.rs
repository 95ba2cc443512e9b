//! Reasons why a task can be pending, as published in conditions, metrics and messages.

use serde::{Deserialize, Serialize};

/// The part of the system that blocks a pending task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReasonSource {
    /// A decision of the policy.
    Policy,
    /// A node has rejected the task, or has not reported its Pods.
    Node,
    /// The owner backs off, has suspended the Job, or is determining whether an earlier Pod runs.
    Owner,
    /// The edge has no planner that can accept the task.
    Edge,
    /// The node registry does not list the node, or no list was received yet.
    Register,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $code:ident, $source:ident, $description:literal;)*) => {
        /// Why a task is pending. The variant names are published as metric labels and as codes in JSON.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum ReasonCode { $($(#[$doc])* $code,)* }
        impl ReasonCode {
            /// All reasons, in the order in which they sort.
            pub const ALL: &[ReasonCode] = &[$(ReasonCode::$code),*];
            /// The part of the system that this reason belongs to.
            pub fn source(self) -> ReasonSource {
                match self { $(ReasonCode::$code => ReasonSource::$source,)* }
            }
            /// Description for users, as it appears in messages.
            pub fn description(self) -> &'static str {
                match self { $(ReasonCode::$code => $description,)* }
            }
            /// Published name, as it appears in metric labels and JSON.
            pub fn name(self) -> &'static str {
                match self { $(ReasonCode::$code => stringify!($code),)* }
            }
        }
    };
}

codes! {
    /// The planner has not received a node list yet.
    NoList, Register, "no list of nodes yet";
    /// The node is no longer in the node list.
    Unlisted, Register, "not listed, or gone";
    /// The node is listed but has not reported its Pods since the planner started.
    Unheard, Node, "has not said yet what it holds";
    /// The node is being drained.
    Draining, Policy, "draining";
    /// The class requires another node type.
    WrongKind, Policy, "wrong kind";
    /// The node is outside the failure domain that deduplicates retries of the task.
    OutsideGroup, Policy, "outside the group that drops repeats";
    /// The node is in slow start and its budget of offers is used up.
    ColdBudget, Policy, "just come up, bears no more offers now";
    /// The service has reached its spread limit in the node's failure domain.
    Spread, Policy, "limit of the service";
    /// The circuit breaker of the node is open.
    SetAside, Policy, "set aside after troubles";
    /// Too many offers to the node are unanswered.
    Line, Policy, "offers unanswered";
    /// The node has too few free cores.
    Cores, Policy, "no cores";
    /// The node has too little free memory.
    Memory, Policy, "no memory";
    /// A node can accept the task; it is offered at the next attempt.
    Free, Policy, "would take it now";
    /// The maximum number of attempts has been made.
    AttemptsUsed, Policy, "all attempts are used up";
    /// An earlier attempt may have run, and a second run would do harm.
    MayHaveRun, Policy, "an earlier attempt may have run, and a second start does harm";
    /// An earlier attempt may have run, and its deduplication window has expired.
    WindowOver, Policy, "an earlier attempt may have run, and the window for repeats is over";
    /// The deadline of the task has passed.
    GivesUp, Policy, "its owner gives up now";
    /// An offer of the task is unanswered.
    OfferOut, Policy, "an offer is out";
    /// A node rejected an earlier attempt.
    NodeRefused, Node, "turned away by a node";
    /// No planner is connected.
    NoPlanner, Edge, "no planner is connected";
    /// All planners have reached their maximum number of tasks.
    PlannersFull, Edge, "no planner has room";
    /// No planner responds.
    PlannersSilent, Edge, "no planner answers";
    /// The owner backs off before it creates the next Pod.
    BackingOff, Owner, "its owner pauses before asking again";
    /// The Job controller is determining whether an earlier Pod still runs.
    Settling, Owner, "it is being found out whether an earlier one runs";
    /// The Job is suspended.
    Suspended, Owner, "its Job is suspended";
}
