//! The program `tidespur-planner`: runs a planner, or serves the operators' platform.

use clap::Parser;
use std::error::Error;
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
    command: Option<Command>,
    #[command(flatten)]
    options: Option<tidespur_planner::Options>,
    /// Lines of the log as JSON
    #[arg(long)]
    log_json: bool,
}

#[derive(clap::Subcommand)]
enum Command {
    /// Serve the operators' platform and nothing else; RELAY_CONFIG names the configuration
    Platform,
}

/// Why the program fails.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error(transparent)]
    Gateway(#[from] tidespur_gateway_net::StartError),
    #[error(transparent)]
    Config(#[from] tidespur_config::ConfigError),
    #[error(transparent)]
    Planner(#[from] tidespur_planner::RunError),
    /// The command line has neither the options of a planner nor a subcommand.
    #[error("--edge and --register are required without the subcommand `platform`")]
    MissingOptions,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    tidespur_net::init_logging(arguments.log_json);
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tidespur-planner: {}", with_causes(&error));
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: Arguments) -> Result<(), ProgramError> {
    if let Some(Command::Platform) = arguments.command {
        return Ok(tidespur_gateway_net::run()?);
    }
    let options = arguments.options.ok_or(ProgramError::MissingOptions)?;
    let config = tidespur_config::load_or_default(options.shared.config.as_deref())?;
    Ok(smol::block_on(tidespur_planner::run(config, options))?)
}

/// Formats an error followed by its chain of causes.
fn with_causes(error: &dyn Error) -> String {
    let mut message = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        message.push_str(": ");
        message.push_str(&error.to_string());
        cause = error.source();
    }
    message
}
