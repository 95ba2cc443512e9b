//! Faults that an emulated node can be told to show.

use serde::{Deserialize, Serialize};

/// A fault, posted to a node as JSON at `/standin/fault`. A fault that lasts starts when it arrives; a second one of the
/// same type replaces the first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault", deny_unknown_fields)]
pub enum Fault {
    /// Offers and starts are processed more slowly.
    Slow {
        /// Multiple of the usual time; values below 1 count as 1.
        factor: f64,
        /// Duration in seconds.
        seconds: f64,
    },
    /// Offers are received and never answered.
    Hang {
        /// Duration in seconds.
        seconds: f64,
    },
    /// Offers are accepted, but a share of the responses never reaches the planner.
    #[serde(rename = "lose-answers")]
    DropResponses {
        /// Share of the responses, from 0 to 1.
        share: f64,
        /// Closes the connection instead of sending nothing.
        reset: bool,
        /// Duration in seconds.
        seconds: f64,
    },
    /// A share of the offers is answered with an error at once.
    #[serde(rename = "errors")]
    ReturnErrors {
        /// Share of the offers, from 0 to 1.
        share: f64,
        /// Duration in seconds.
        seconds: f64,
    },
    /// Requests from these zones are not answered, and all open watches are closed once.
    #[serde(rename = "cut-zones")]
    PartitionZones {
        /// Names of the zones.
        zones: Vec<String>,
        /// Duration in seconds.
        seconds: f64,
    },
    /// Running tasks use all the cores that they requested, instead of a part of them.
    #[serde(rename = "use-all")]
    UseAllRequestedCores {
        /// Duration in seconds.
        seconds: f64,
    },
    /// Closes all open watches and answers no GET request, so that nobody can see which tasks the node runs.
    #[serde(rename = "mute")]
    BlockReads {
        /// Duration in seconds.
        seconds: f64,
    },
    /// Drops all cached programs, so that the next task of each service needs its set-up again.
    #[serde(rename = "flush")]
    ClearProgramCache,
    /// Closes all open watches once.
    #[serde(rename = "break-watches")]
    CloseWatches,
    /// Terminates all tasks and refuses new ones until none is left.
    #[serde(rename = "send-away")]
    TerminateTasks {
        /// Seconds between two terminations; 0 terminates all at once.
        every: f64,
    },
}
