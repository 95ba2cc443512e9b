//! Hidden subcommands that run the programs of a cluster. Each process ends when its parent does.

use std::path::PathBuf;
use tidespur_config::Config;
use tidespur_emulator::{NodeSettings, node, registry};
use tidespur_testbed::process::exit_with_parent;

/// Loads a settings file, or the built-in settings when no file is given.
pub fn load_config(path: Option<&PathBuf>) -> Result<Config, String> {
    tidespur_config::load_or_default(path.map(PathBuf::as_path)).map_err(|e| e.to_string())
}

pub fn edge(options: tidespur_edge::Options) -> Result<(), String> {
    exit_with_parent();
    let config = load_config(options.shared.config.as_ref())?;
    let ready = |addresses: &[String]| println!("ready {}", addresses.join(" "));
    smol::block_on(tidespur_edge::run(config, options, ready))
        .map_err(|error| tidespur_edge::error_chain(&error))
}

/// A planner, and how many there are.
#[derive(clap::Args)]
pub struct PlannerOptions {
    #[command(flatten)]
    options: tidespur_planner::Options,
    /// How many planners share the nodes; else as in the settings
    #[arg(long)]
    planners: Option<u32>,
}

pub fn planner(options: PlannerOptions) -> Result<(), String> {
    exit_with_parent();
    let mut config = load_config(options.options.shared.config.as_ref())?;
    if let Some(planners) = options.planners {
        config.planner.planner_count = planners.max(1);
    }
    smol::block_on(tidespur_planner::run(config, options.options))
        .map_err(|error| error.to_string())
}

/// A stand-in node.
#[derive(clap::Args)]
pub struct NodeOptions {
    #[arg(long)]
    listen: String,
    #[arg(long)]
    register: String,
    #[arg(long)]
    name: String,
    #[arg(long)]
    zone: String,
    #[arg(long)]
    rack: String,
    #[arg(long)]
    kind: String,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 0.0)]
    cold: f64,
    #[arg(long)]
    record: Option<PathBuf>,
    #[arg(long)]
    config: Option<PathBuf>,
}

pub fn node(options: NodeOptions) -> Result<(), String> {
    exit_with_parent();
    let config = load_config(options.config.as_ref())?;
    let node_type = config.node_types.get(&options.kind).ok_or(format!(
        "node type {:?} is not defined in the settings",
        options.kind
    ))?;
    let safety = &config.safety_limits;
    let settings = NodeSettings {
        name: options.name,
        zone: options.zone,
        rack: options.rack,
        kind: options.kind,
        cores: node_type.cores,
        memory: node_type.memory,
        cpu_overcommit: config.nodes.cpu_overcommit,
        memory_overcommit: config.nodes.memory_overcommit,
        warm_up_time: options.cold,
        slow_start_speed: safety.slow_start_speed,
        slow_start_offers: safety.slow_start_offers,
        overload_ratio: safety.overload_ratio,
        overload_window: safety.overload_window,
        seed: options.seed,
        ..NodeSettings::default()
    };
    let priorities = config
        .classes
        .iter()
        .map(|(name, class)| (name.clone(), i64::from(class.priority)))
        .collect();
    let (listen, register, record) = (options.listen, options.register, options.record);
    let options = node::Options {
        settings,
        listen,
        registry: register,
        record,
        priorities,
    };
    smol::block_on(node::run(options, |address| println!("ready {address}")))
        .map_err(|e| e.to_string())
}

/// The stand-in register.
#[derive(clap::Args)]
pub struct RegisterOptions {
    #[arg(long)]
    listen: String,
    #[arg(long, default_value_t = 0.5)]
    delay: f64,
    #[arg(long, default_value_t = 2.0)]
    gone_after: f64,
    #[arg(long)]
    record: Option<PathBuf>,
}

pub fn register(options: RegisterOptions) -> Result<(), String> {
    exit_with_parent();
    let RegisterOptions {
        listen,
        delay,
        gone_after,
        record,
    } = options;
    let options = registry::Options {
        listen,
        delay,
        gone_after,
        record,
    };
    smol::block_on(registry::run(options, |address| {
        println!("ready {address}")
    }))
    .map_err(|e| e.to_string())
}
