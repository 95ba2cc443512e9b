//! Hosts many schedulers on the simulator's wire: JSON lines to events, actions to JSON. Decides nothing.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use tidespur_simulator_adapter::wire::SchedulerHost;

fn main() -> ExitCode {
    let mut host = SchedulerHost::default();
    let mut output = io::BufWriter::new(io::stdout().lock());
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let answered = line
            .map_err(|e| e.to_string())
            .and_then(|line| match line.trim() {
                "" => Ok(None),
                text => host.handle_line(text),
            });
        let written = match answered {
            Ok(Some(reply)) => writeln!(output, "{reply}").and_then(|()| output.flush()),
            Ok(None) => Ok(()),
            Err(problem) => {
                eprintln!("tidespur-simulator-adapter: line {}: {problem}", number + 1);
                return ExitCode::FAILURE;
            }
        };
        if let Err(problem) = written {
            eprintln!(
                "tidespur-simulator-adapter: writing the reply to line {}: {problem}",
                number + 1
            );
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
