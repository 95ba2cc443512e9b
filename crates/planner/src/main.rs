//! `tidespur-planner`: the program that plans.

use clap::Parser;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "tidespur-planner",
    version,
    about = "Plans: decides which node takes which task, and offers it there"
)]
struct Arguments {
    #[command(flatten)]
    options: tidespur_planner::Options,
    /// Lines of the log as JSON
    #[arg(long)]
    log_json: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    tidespur_net::logs(arguments.log_json);
    let config = tidespur_config::load_or_default(arguments.options.config.as_deref());
    let ran = config
        .map_err(|e| e.to_string())
        .and_then(|config| smol::block_on(tidespur_planner::run(config, arguments.options)));
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("tidespur-planner: {problem}");
            ExitCode::FAILURE
        }
    }
}
