//! `tidespur-edge`: the API server.

use clap::Parser;
use std::process::ExitCode;
use tidespur_config::ConfigError;
use tidespur_edge::{RunError, error_chain, run};

#[derive(Parser)]
#[command(
    name = "tidespur-edge",
    version,
    about = "Meets clients: REST API with watches, Jobs, and the link to planners"
)]
struct Arguments {
    #[command(flatten)]
    options: tidespur_edge::Options,
    /// Lines of the log as JSON
    #[arg(long)]
    log_json: bool,
}

#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Run(#[from] RunError),
}

fn run_edge(arguments: Arguments) -> Result<(), ProgramError> {
    let config = tidespur_config::load_or_default(arguments.options.shared.config.as_deref())?;
    let on_ready = |addresses: &[String]| println!("ready {}", addresses.join(" "));
    smol::block_on(run(config, arguments.options, on_ready))?;
    Ok(())
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    tidespur_net::init_logging(arguments.log_json);
    match run_edge(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tidespur-edge: {}", error_chain(&error));
            ExitCode::FAILURE
        }
    }
}
