//! `tidespur-planner`: the program that plans.

use clap::Parser;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "tidespur-planner",
    version,
    args_conflicts_with_subcommands = true,
    about = "Plans: decides which node takes which task, and offers it there"
)]
struct Arguments {
    #[command(subcommand)]
    front: Option<Front>,
    #[command(flatten)]
    options: Option<tidespur_planner::Options>,
    /// Lines of the log as JSON
    #[arg(long)]
    log_json: bool,
}

#[derive(clap::Subcommand)]
enum Front {
    /// Serve the operators' platform and nothing else; RELAY_CONFIG names the configuration
    Platform,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    tidespur_net::init_logging(arguments.log_json);
    let ran = match (arguments.front, arguments.options) {
        (Some(Front::Platform), _) => tidespur_gateway_net::run().map_err(|e| e.to_string()),
        (None, Some(options)) => tidespur_config::load_or_default(options.shared.config.as_deref())
            .map_err(|e| e.to_string())
            .and_then(|config| {
                smol::block_on(tidespur_planner::run(config, options)).map_err(|e| e.to_string())
            }),
        (None, None) => {
            Err("--edge and --register are needed, or the subcommand `platform`".into())
        }
    };
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("tidespur-planner: {problem}");
            ExitCode::FAILURE
        }
    }
}
