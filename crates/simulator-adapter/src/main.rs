//! Runs schedulers for the operators' simulator: reads a batch of events from each line of standard input, and writes
//! the schedulers' actions to a line of standard output, as JSON.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use tidespur_simulator_adapter::wire::SchedulerHost;

fn main() -> ExitCode {
    let mut host = SchedulerHost::default();
    let mut output = io::BufWriter::new(io::stdout().lock());
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let reply = line
            .map_err(|e| e.to_string())
            .and_then(|line| match line.trim() {
                "" => Ok(None),
                text => host.handle_line(text).map(Some),
            });
        let written = match reply {
            Ok(Some(reply)) => writeln!(output, "{reply}").and_then(|()| output.flush()),
            Ok(None) => Ok(()),
            Err(error) => {
                eprintln!("tidespur-simulator-adapter: line {}: {error}", index + 1);
                return ExitCode::FAILURE;
            }
        };
        if let Err(error) = written {
            eprintln!(
                "tidespur-simulator-adapter: cannot write the reply to line {}: {error}",
                index + 1
            );
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
