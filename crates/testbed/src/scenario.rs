//! Scenario files in HCL: the load and the faults of one run. All random choices come from one seed.

use indexmap::IndexMap;
use serde::Deserialize;

/// A scenario. Times are in seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Number of nodes, from 1 to 200.
    #[serde(default = "default_nodes")]
    pub nodes: usize,
    /// Number of planners, from 1 to 50.
    #[serde(default = "default_planners")]
    pub planners: usize,
    /// Number of edges, from 1 to 10.
    #[serde(default = "default_edges")]
    pub edges: usize,
    /// Number of clients that submit Jobs concurrently, from 1 to 500.
    #[serde(default = "default_clients")]
    pub clients: usize,
    /// Period over which Jobs are submitted.
    pub seconds: f64,
    /// Maximum time after that until all Jobs are done.
    #[serde(default = "default_rest")]
    pub rest: f64,
    /// Delay after which the registry publishes a change.
    #[serde(default = "default_delay")]
    pub delay: f64,
    /// Jobs to submit, by name.
    #[serde(rename = "work")]
    pub workloads: IndexMap<String, Workload>,
    /// Faults to inject, by name.
    #[serde(default, rename = "trouble")]
    pub faults: IndexMap<String, FaultSpec>,
}

fn default_nodes() -> usize {
    16
}
fn default_planners() -> usize {
    3
}
fn default_edges() -> usize {
    1
}
fn default_clients() -> usize {
    20
}
fn default_rest() -> f64 {
    45.0
}
fn default_delay() -> f64 {
    0.5
}

/// Jobs that are drawn from the same distributions.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Priority class of the Pods.
    pub class: String,
    /// Number of Jobs.
    pub jobs: usize,
    /// Smallest and largest number of Pods per Job.
    pub pods: [u32; 2],
    /// Possible sizes of a Pod, in cores and memory units.
    pub shapes: Vec<[f64; 2]>,
    /// Mean run time of a Pod in seconds, exponentially distributed. The Pod announces its run time times a random
    /// factor from 0.8 to 1.25.
    pub life: f64,
    /// Seconds that the owner waits for a placement; `None` uses the deadline of the class.
    pub give_up: Option<f64>,
    /// Submits all Jobs within this many seconds from the start; `None` uses the whole period.
    pub within: Option<f64>,
}

/// Types of fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Nodes are killed together, and restarted cold at the end.
    Crash,
    /// Nodes are suspended repeatedly for a fraction of a second.
    Pauses,
    /// Nodes process offers and starts more slowly.
    Slow,
    /// Nodes receive offers and answer none.
    Hang,
    /// Responses of nodes that accepted an offer are lost.
    AnswerLost,
    /// Nodes answer offers with an error at once.
    FastErrors,
    /// Tasks use all the cores that they requested.
    UseAll,
    /// Nodes lose their cached programs.
    Flush,
    /// Nodes and planners of one zone cannot reach those of the others.
    ZoneCut,
    /// The registry is suspended.
    RegisterDown,
    /// Nodes are cordoned and terminate their tasks.
    Drain,
    /// Nodes are cordoned and uncordoned repeatedly.
    Flap,
    /// Nodes close all watches.
    BreakWatches,
    /// Owners suspend Jobs and resume them at once.
    MassRestart,
    /// A planner is killed, and restarted at the end.
    KillPlanner,
    /// An edge is killed, and restarted at the end.
    KillEdge,
    /// A planner is suspended.
    PausePlanner,
}

/// One fault. Times are in seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// What the fault does to its targets.
    pub kind: FaultKind,
    /// Start, counted from the start of the run.
    pub at: f64,
    /// Duration of the fault in seconds.
    #[serde(default = "default_fault_seconds")]
    pub seconds: f64,
    /// Share of the nodes or Jobs that are affected, from 0 to 1.
    #[serde(default = "default_share")]
    pub share: f64,
    /// Affects only nodes of one rack.
    #[serde(default)]
    pub rack: bool,
    /// Slowdown factor, or share of responses that are lost or errors.
    #[serde(default = "default_strength")]
    pub strength: f64,
}

fn default_fault_seconds() -> f64 {
    5.0
}
fn default_share() -> f64 {
    0.2
}
fn default_strength() -> f64 {
    4.0
}

impl Scenario {
    /// Parses a scenario and checks its ranges.
    pub fn parse(text: &str) -> Result<Self, String> {
        let scenario: Self = hcl::from_str(text).map_err(|e| e.to_string())?;
        let out_of_range = |x: f64, max: f64| !(x.is_finite() && (0.0..=max).contains(&x));
        if scenario.nodes == 0
            || scenario.nodes > 200
            || scenario.planners == 0
            || scenario.planners > 50
            || scenario.edges == 0
            || scenario.edges > 10
        {
            return Err(
                "nodes must be from 1 to 200, planners from 1 to 50, edges from 1 to 10".into(),
            );
        }
        if out_of_range(scenario.seconds, 3600.0)
            || out_of_range(scenario.rest, 3600.0)
            || scenario.clients == 0
            || scenario.clients > 500
        {
            return Err("seconds and rest must be from 0 to 3600, clients from 1 to 500".into());
        }
        for (name, work) in &scenario.workloads {
            if work.shapes.is_empty()
                || work.pods[0] == 0
                || work.pods[0] > work.pods[1]
                || out_of_range(work.life, 3600.0)
            {
                return Err(format!(
                    "work {name}: shapes must not be empty, pods must be [min, max] with min >= 1, life must be from 0 to 3600"
                ));
            }
        }
        for (name, fault) in &scenario.faults {
            if out_of_range(fault.at, 3600.0)
                || out_of_range(fault.seconds, 3600.0)
                || out_of_range(fault.share, 1.0)
                || out_of_range(fault.strength, 1000.0)
            {
                return Err(format!(
                    "trouble {name}: at and seconds must be from 0 to 3600, share from 0 to 1, strength from 0 to 1000"
                ));
            }
        }
        Ok(scenario)
    }
}
