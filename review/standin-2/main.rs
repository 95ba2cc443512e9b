//! Stand-ins for the platform around one scheduler: owners, machines, a proxy before each machine, and the notice board.
//! One sub-command for each case of the second review. Uses the standard library only; all addresses are loopback
//! addresses.

mod cases;
mod machine;
mod owner;
mod platform;
mod proxy;
mod wire;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    /// The rule held.
    Held(String),
    /// The rule was broken.
    Broken(String),
    /// The case could not run as planned, so it says nothing.
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match platform::Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, TROUBLE={}", u8::from(trouble)));
    let verdict = match cases::run(&case, trouble, &record) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::CouldNotRun(error.to_string()),
    };
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("HELD: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("COULD NOT RUN: {text}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
