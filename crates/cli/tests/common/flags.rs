//! Subcommands and flags of a program, as its help lists them and its parser accepts them. Packages of other programs
//! include this file by its path.
//!
//! Each line of a fixture is an item: `PROGRAM [SUBCOMMAND]`, followed by nothing, by a flag, by a flag and one of its
//! properties (`takes a value`, `default X`, `value X`), or by `argument N required|optional`.

use crate::fixture;
use std::process::Command;

/// A flag that no program has: the parser rejects the command line instead of starting the program.
const UNKNOWN_FLAG: &str = "--no-such-argument";

/// A program under test.
pub struct Program {
    pub name: &'static str,
    pub path: &'static str,
    /// Subcommands that its help does not list.
    pub hidden: &'static [&'static str],
    /// The folder of the package whose fixture it is.
    pub package: &'static str,
}

impl Program {
    fn run(&self, arguments: &[&str]) -> String {
        let output = Command::new(self.path)
            .args(arguments)
            .env_remove("TIDESPUR_API")
            .env_remove("RELAY_CONFIG")
            .output()
            .unwrap_or_else(|e| panic!("{}: {e}", self.path));
        format!(
            "{}{}",
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr)
        )
    }

    /// Checks that the parser accepts each item of the fixture and that the fixture has each item that the help lists.
    pub fn check(&self) {
        let fixture = format!("{}.flags.txt", self.name);
        let listed = self.items_listed();
        if fixture::is_update() {
            return fixture::add(self.package, &fixture, listed);
        }
        let expected = fixture::read(self.package, &fixture);
        let unaccepted: Vec<&String> = expected.iter().filter(|item| !self.accepts(item)).collect();
        assert!(unaccepted.is_empty(), "no longer accepted: {unaccepted:#?}");
        let added: Vec<&String> = listed
            .iter()
            .filter(|item| !expected.contains(item))
            .collect();
        assert!(
            added.is_empty(),
            "missing from {fixture}; UPDATE_FIXTURES=1 adds them: {added:#?}"
        );
    }

    /// Whether the program has an item of the fixture. Aliases are accepted even if the help doesn't list them.
    fn accepts(&self, item: &str) -> bool {
        let arguments: Vec<&str> = item.split(' ').skip(1).collect();
        let at = arguments
            .iter()
            .position(|word| word.starts_with('-') || *word == "argument");
        let (subcommand, rest) = arguments.split_at(at.unwrap_or(arguments.len()));
        let unexpected = format!("unexpected argument '{UNKNOWN_FLAG}'");
        let parse =
            |arguments: &[&str]| self.run(&[subcommand, arguments, &[UNKNOWN_FLAG]].concat());
        match rest {
            [] => parse(&[]).contains(&unexpected),
            ["-h" | "--help" | "-V" | "--version"] => !parse(rest).contains("error:"),
            [flag] => parse(&[flag]).contains(&unexpected),
            [flag, "takes", "a", "value"] => {
                // A value of the wrong type still shows that the flag takes one; else the error is `unexpected value`.
                let output = parse(&[&format!("{flag}=1")]);
                output.contains(&unexpected) || output.contains("invalid value")
            }
            [flag, "value", value] => parse(&[flag, value]).contains(&unexpected),
            _ => {
                let command = [&[self.name], subcommand].concat().join(" ");
                let help = self.run(&[subcommand, &["-h"]].concat());
                items_of_help(&command, &help)
                    .iter()
                    .any(|line| line == item)
            }
        }
    }

    /// All items that the help lists.
    fn items_listed(&self) -> Vec<String> {
        let top = self.run(&["-h"]);
        let shown = section(&top, "Commands:");
        let mut subcommands: Vec<&str> = shown
            .iter()
            .filter_map(|line| line.split(' ').next())
            .collect();
        subcommands.retain(|name| *name != "help");
        subcommands.extend(self.hidden);
        let mut items = vec![self.name.to_owned()];
        items.extend(items_of_help(self.name, &top));
        for subcommand in subcommands {
            let command = format!("{} {subcommand}", self.name);
            items.extend(items_of_help(&command, &self.run(&[subcommand, "-h"])));
            items.push(command);
        }
        items
    }
}

/// The lines of one section of a help text.
fn section<'a>(help: &'a str, title: &str) -> Vec<&'a str> {
    let lines = help.lines().skip_while(|line| *line != title).skip(1);
    lines
        .take_while(|line| !line.is_empty())
        .map(str::trim)
        .collect()
}

fn items_of_help(command: &str, help: &str) -> Vec<String> {
    let mut items = Vec::new();
    for (index, line) in section(help, "Arguments:").iter().enumerate() {
        let need = if line.starts_with('<') {
            "required"
        } else {
            "optional"
        };
        items.push(format!("{command} argument {} {need}", index + 1));
    }
    for line in section(help, "Options:") {
        items.extend(items_of_option(command, line));
    }
    items
}

/// For example `-o, --output <OUTPUT>  How to show them [default: table] [possible values: table, wide]`.
fn items_of_option(command: &str, line: &str) -> Vec<String> {
    let names = line.split("  ").next().unwrap_or(line);
    let flags: Vec<&str> = names
        .split([' ', ','])
        .filter(|word| word.starts_with('-') && word.len() > 1)
        .collect();
    let bracketed = |title: &str| {
        let start = line.find(&format!("[{title}: "))? + title.len() + 3;
        Some(&line[start..start + line[start..].find(']')?])
    };
    let mut items = Vec::new();
    for flag in flags {
        items.push(format!("{command} {flag}"));
        if names.contains('<') {
            items.push(format!("{command} {flag} takes a value"));
        }
        items.extend(bracketed("default").map(|value| format!("{command} {flag} default {value}")));
        let values = bracketed("possible values")
            .into_iter()
            .flat_map(|values| values.split(", "));
        items.extend(values.map(|value| format!("{command} {flag} value {value}")));
    }
    items
}
