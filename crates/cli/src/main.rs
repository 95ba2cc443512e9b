//! The `tidespur` command: the operators' subcommands, and the hidden subcommands that run each program of a cluster.

mod badday;
mod children;
mod client;
mod commands;
mod demo;
mod explain;
mod fleet;
mod show;
mod up;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "tidespur",
    version,
    about = "A scheduler that assigns long-running work to the machines of a cluster"
)]
struct Arguments {
    /// Address of an edge's API
    #[arg(
        long,
        short = 's',
        global = true,
        env = "TIDESPUR_API",
        default_value = "127.0.0.1:8001"
    )]
    server: String,
    /// Namespace
    #[arg(long, short, global = true, default_value = "default")]
    namespace: String,
    /// Lines of the log as JSON
    #[arg(long, global = true)]
    log_json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run edge, planners and stand-in nodes on loopback until SIGINT or SIGTERM
    Up(up::UpOptions),
    /// Submit a morning of Jobs to a cluster on loopback, lose a rack, tell what became of every task
    Demo(demo::DemoOptions),
    /// Create objects from a file (YAML or JSON), or bring those that stand to what it says
    Apply(commands::ApplyOptions),
    /// Show objects
    Get(commands::GetOptions),
    /// Show one object with its events
    Describe(commands::DescribeOptions),
    /// Tell why a Job or Pod waits, or what holds work back in the whole fleet
    Explain(explain::ExplainOptions),
    /// Show edges and planners as an edge sees them, and whether all see the same
    Fleet(fleet::FleetOptions),
    /// Delete an object
    Delete(commands::DeleteOptions),
    /// Let a node take nothing new
    Cordon(commands::NodeOptions),
    /// Let a node take Pods again
    Uncordon(commands::NodeOptions),
    /// Cordon a node and delete its Pods, so that their owners place them elsewhere
    Drain(commands::DrainOptions),
    /// Play a scripted bad day through real processes and judge the rules from the traffic
    Badday(badday::BadDayOptions),
    /// Measure the whole path through sockets on this machine
    Measure(up::MeasureOptions),
    /// Check a settings file
    CheckConfig(commands::CheckOptions),
    /// Write completions for a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
    /// Run an edge (as tidespur-edge does)
    #[command(hide = true)]
    Edge(tidespur_edge::Options),
    /// Run a planner (as tidespur-planner does)
    #[command(hide = true)]
    Planner(children::PlannerOptions),
    /// Run a stand-in of a node
    #[command(hide = true)]
    StandinNode(children::NodeOptions),
    /// Run a stand-in of the register
    #[command(hide = true)]
    StandinRegister(children::RegisterOptions),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    tidespur_net::init_logging(arguments.log_json);
    let target = client::Target::new(&arguments.server, &arguments.namespace);
    let result = match arguments.command {
        Command::Up(options) => up::up(options),
        Command::Demo(options) => return demo::demo(options),
        Command::Badday(options) => match badday::bad_day(options) {
            Ok(true) => Ok(()),
            Ok(false) => return ExitCode::FAILURE,
            Err(error) => Err(error),
        },
        Command::Measure(options) => up::measure(options),
        Command::Apply(options) => commands::apply(&target, options),
        Command::Get(options) => commands::get(&target, options),
        Command::Describe(options) => commands::describe(&target, options),
        Command::Explain(options) => explain::explain(&target, options),
        Command::Delete(options) => commands::delete(&target, options),
        Command::Fleet(options) => fleet::fleet(&target, options),
        Command::Cordon(options) => commands::cordon(&target, &options.node, true),
        Command::Uncordon(options) => commands::cordon(&target, &options.node, false),
        Command::Drain(options) => commands::drain(&target, options),
        Command::CheckConfig(options) => commands::check_config(options),
        Command::Completions { shell } => {
            let mut command = <Arguments as clap::CommandFactory>::command();
            clap_complete::generate(shell, &mut command, "tidespur", &mut std::io::stdout());
            Ok(())
        }
        Command::Edge(options) => children::edge(options),
        Command::Planner(options) => children::planner(options),
        Command::StandinNode(options) => children::node(options),
        Command::StandinRegister(options) => children::register(options),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tidespur: {error}");
            ExitCode::FAILURE
        }
    }
}
