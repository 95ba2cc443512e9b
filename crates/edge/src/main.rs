//! `tidespur-edge`: the program that meets clients.

use clap::Parser;
use std::process::ExitCode;

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

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    tidespur_net::init_logging(arguments.log_json);
    let config = tidespur_config::load_or_default(arguments.options.shared.config.as_deref());
    let ready = |at: &[String]| println!("ready {}", at.join(" "));
    let ran = config.map_err(|e| e.to_string()).and_then(|config| {
        smol::block_on(tidespur_edge::run(config, arguments.options, ready))
            .map_err(|e| e.to_string())
    });
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("tidespur-edge: {problem}");
            ExitCode::FAILURE
        }
    }
}
