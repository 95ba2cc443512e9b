//! A scripted day, read from HCL. All that is drawn is drawn from one seed.

use indexmap::IndexMap;
use serde::Deserialize;

/// A day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Nodes.
    #[serde(default = "sixteen")]
    pub nodes: usize,
    /// Planners.
    #[serde(default = "three")]
    pub planners: usize,
    /// Edges.
    #[serde(default = "one")]
    pub edges: usize,
    /// Clients that submit side by side.
    #[serde(default = "twenty")]
    pub clients: usize,
    /// Jobs are submitted over this many seconds.
    pub seconds: f64,
    /// After that the day runs on until all Jobs are done, this long at most.
    #[serde(default = "rest")]
    pub rest: f64,
    /// The register is so late.
    #[serde(default = "half")]
    pub delay: f64,
    /// What is submitted.
    #[serde(rename = "work")]
    pub workloads: IndexMap<String, Workload>,
    /// What goes wrong.
    #[serde(default, rename = "trouble")]
    pub faults: IndexMap<String, FaultSpec>,
}

fn sixteen() -> usize {
    16
}
fn three() -> usize {
    3
}
fn one() -> usize {
    1
}
fn twenty() -> usize {
    20
}
fn rest() -> f64 {
    45.0
}
fn half() -> f64 {
    0.5
}

/// Jobs of one sort.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Class.
    pub class: String,
    /// Jobs in all.
    pub jobs: usize,
    /// Pods of each, from and to.
    pub pods: [u32; 2],
    /// Shapes of Pods: cores and memory units.
    pub shapes: Vec<[f64; 2]>,
    /// Mean life of a Pod, in seconds; drawn from an exponential distribution, hinted roughly.
    pub life: f64,
    /// How long owners wait for a placement; else the class's deadline.
    pub give_up: Option<f64>,
    /// Submitted within this many seconds from the start; else over the whole day.
    pub within: Option<f64>,
}

/// What can go wrong.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Nodes die at once and come back cold.
    Crash,
    /// Nodes stand still for moments, again and again.
    Pauses,
    /// Nodes run slower.
    Slow,
    /// Nodes take offers and answer none.
    Hang,
    /// Answers get lost after the work was taken.
    AnswerLost,
    /// Nodes fail offers quickly.
    FastErrors,
    /// Tasks use all the cores that they asked for.
    UseAll,
    /// Programs that nodes kept are lost.
    Flush,
    /// A zone is cut off from the others.
    ZoneCut,
    /// The register stands still.
    RegisterDown,
    /// Nodes drain: cordoned, and their tasks sent away.
    Drain,
    /// Nodes are cordoned and uncordoned in quick turns.
    Flap,
    /// All watches break.
    BreakWatches,
    /// Owners stop Jobs and ask for all of them again.
    MassRestart,
    /// A planner is killed and started again.
    KillPlanner,
    /// An edge is killed and started again.
    KillEdge,
    /// A planner stands still.
    PausePlanner,
}

/// One trouble.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When, in seconds from the start.
    pub at: f64,
    /// For how long.
    #[serde(default = "five")]
    pub seconds: f64,
    /// Share of the nodes (Jobs, planners) that are struck.
    #[serde(default = "fifth")]
    pub share: f64,
    /// Those struck share a rack.
    #[serde(default)]
    pub rack: bool,
    /// How much: times as slow, share of answers lost or failed.
    #[serde(default = "four")]
    pub strength: f64,
}

fn five() -> f64 {
    5.0
}
fn fifth() -> f64 {
    0.2
}
fn four() -> f64 {
    4.0
}

impl Scenario {
    /// Reads and checks a scenario.
    pub fn parse(text: &str) -> Result<Self, String> {
        let day: Self = hcl::from_str(text).map_err(|e| e.to_string())?;
        let bad = |x: f64, most: f64| !(x.is_finite() && (0.0..=most).contains(&x));
        if day.nodes == 0
            || day.nodes > 200
            || day.planners == 0
            || day.planners > 50
            || day.edges == 0
            || day.edges > 10
        {
            return Err(
                "nodes must be from 1 to 200, planners from 1 to 50, edges from 1 to 10".into(),
            );
        }
        if bad(day.seconds, 3600.0)
            || bad(day.rest, 3600.0)
            || day.clients == 0
            || day.clients > 500
        {
            return Err("seconds and rest must be from 0 to 3600, clients from 1 to 500".into());
        }
        for (name, work) in &day.workloads {
            if work.shapes.is_empty()
                || work.pods[0] == 0
                || work.pods[0] > work.pods[1]
                || bad(work.life, 3600.0)
            {
                return Err(format!(
                    "work {name}: it needs shapes, pods from 1 up in order, and a life up to 3600"
                ));
            }
        }
        for (name, trouble) in &day.faults {
            if bad(trouble.at, 3600.0)
                || bad(trouble.seconds, 3600.0)
                || bad(trouble.share, 1.0)
                || bad(trouble.strength, 1000.0)
            {
                return Err(format!(
                    "trouble {name}: times up to 3600, share from 0 to 1, strength up to 1000"
                ));
            }
        }
        Ok(day)
    }
}
