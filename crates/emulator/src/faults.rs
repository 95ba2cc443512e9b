//! What can be made to go wrong.

use serde::{Deserialize, Serialize};

/// A trouble, given to a stand-in as JSON at `/standin/fault`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault", deny_unknown_fields)]
pub enum Fault {
    /// All work takes so many times as long.
    Slow {
        /// Times as long.
        factor: f64,
        /// For this long.
        seconds: f64,
    },
    /// Offers are taken in and nothing is answered.
    Hang {
        /// For this long.
        seconds: f64,
    },
    /// Of offers that were taken, this share of the answers never gets back.
    #[serde(rename = "lose-answers")]
    DropResponses {
        /// From 0 to 1.
        share: f64,
        /// The connection is cut (else silence).
        reset: bool,
        /// For this long.
        seconds: f64,
    },
    /// This share of offers is answered by an error, quickly.
    #[serde(rename = "errors")]
    ReturnErrors {
        /// From 0 to 1.
        share: f64,
        /// For this long.
        seconds: f64,
    },
    /// Nothing passes between this node and these zones.
    #[serde(rename = "cut-zones")]
    PartitionZones {
        /// Names of zones.
        zones: Vec<String>,
        /// For this long.
        seconds: f64,
    },
    /// Tasks use all the cores that they asked for.
    #[serde(rename = "use-all")]
    UseAllRequestedCores {
        /// For this long.
        seconds: f64,
    },
    /// Nobody can see what the node holds: its watches break, and no new one is answered.
    #[serde(rename = "mute")]
    BlockReads {
        /// For this long.
        seconds: f64,
    },
    /// Programs kept on the node are lost.
    #[serde(rename = "flush")]
    ClearProgramCache,
    /// All open watches break.
    #[serde(rename = "break-watches")]
    CloseWatches,
    /// Tasks are sent away, all at once or bit by bit.
    #[serde(rename = "send-away")]
    TerminateTasks {
        /// Between two of them; 0: all at once.
        every: f64,
    },
}
