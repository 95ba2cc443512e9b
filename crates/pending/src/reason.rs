//! What can hold work back.

use serde::{Deserialize, Serialize};

/// Whose doing it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReasonSource {
    /// The scheduler's own choice.
    Policy,
    /// A node turned it away.
    Node,
    /// The owner waits, or settles what may run.
    Owner,
    /// The edge has nobody to give it to.
    Edge,
    /// The list of nodes.
    Register,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $code:ident, $source:ident, $words:literal;)*) => {
        /// A reason. Its name is the label in metrics, its words stand in messages.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum ReasonCode { $($(#[$doc])* $code,)* }
        impl ReasonCode {
            /// All of them.
            pub const ALL: &[ReasonCode] = &[$(ReasonCode::$code),*];
            /// Whose doing it is.
            pub fn source(self) -> ReasonSource {
                match self { $(ReasonCode::$code => ReasonSource::$source,)* }
            }
            /// In words, for people.
            pub fn description(self) -> &'static str {
                match self { $(ReasonCode::$code => $words,)* }
            }
            /// As one word, for labels.
            pub fn name(self) -> &'static str {
                match self { $(ReasonCode::$code => stringify!($code),)* }
            }
        }
    };
}

codes! {
    /// The planner has no list of nodes yet.
    NoList, Register, "no list of nodes yet";
    /// The node is not listed any more.
    Unlisted, Register, "not listed, or gone";
    /// The node is listed and has not said what it holds since the planner began.
    Unheard, Node, "has not said yet what it holds";
    /// The node drains.
    Draining, Policy, "draining";
    /// The class needs another kind.
    WrongKind, Policy, "wrong kind";
    /// Repeats of a keyed task are dropped elsewhere.
    OutsideGroup, Policy, "outside the group that drops repeats";
    /// The node has just come up.
    ColdBudget, Policy, "just come up, bears no more offers now";
    /// The service's limit in that place.
    Spread, Policy, "limit of the service";
    /// Set aside after troubles.
    SetAside, Policy, "set aside after troubles";
    /// Offers that wait for their answers.
    Line, Policy, "offers unanswered";
    /// Too few cores.
    Cores, Policy, "no cores";
    /// Too little memory.
    Memory, Policy, "no memory";
    /// A node would take it now: it is sent at the next look.
    Free, Policy, "would take it now";
    /// All attempts are made.
    AttemptsUsed, Policy, "all attempts are used up";
    /// An attempt may have run.
    MayHaveRun, Policy, "an earlier attempt may have run, and a second start does harm";
    /// An attempt may have run and the window is over.
    WindowOver, Policy, "an earlier attempt may have run, and the window for repeats is over";
    /// The owner gives up.
    GivesUp, Policy, "its owner gives up now";
    /// An offer is out.
    OfferOut, Policy, "an offer is out";
    /// A node said no.
    NodeRefused, Node, "turned away by a node";
    /// No planner.
    NoPlanner, Edge, "no planner is connected";
    /// All planners are full.
    PlannersFull, Edge, "no planner has room";
    /// The planners do not speak.
    PlannersSilent, Edge, "no planner answers";
    /// The owner pauses before it asks again.
    BackingOff, Owner, "its owner pauses before asking again";
    /// It is being found out whether an earlier one runs.
    Settling, Owner, "it is being found out whether an earlier one runs";
    /// The Job is suspended.
    Suspended, Owner, "its Job is suspended";
}
