//! Settings in HCL.
//!
//! One file serves edge and planner, so that both mean the same by a class or a kind. [`load`] reads and checks
//! it; [`Config::scheduler_settings`] makes of it what a planner hands to the policy.

mod check;
mod locate;
mod model;
mod policy;
mod sections;

pub use check::ConfigError;
pub use model::*;
pub use sections::*;

use std::path::Path;

/// The settings that `tidespur up` uses where no file is named; also the documented example.
pub const DEFAULT_CONFIG: &str = include_str!("../default.hcl");

/// Reads and checks a file; without one, takes the built-in settings.
pub fn load_or_default(path: Option<&Path>) -> Result<Config, ConfigError> {
    path.map_or_else(|| parse("built-in", DEFAULT_CONFIG), load)
}

/// Reads and checks a file.
pub fn load(path: &Path) -> Result<Config, ConfigError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| ConfigError {
        file: name.clone(),
        line: 0,
        key: String::new(),
        message: format!("can't be read: {e}"),
    })?;
    parse(&name, &text)
}

/// Checks a text; `file` is for messages.
pub fn parse(file: &str, text: &str) -> Result<Config, ConfigError> {
    let problem = |line: usize, key: &str, what: String| ConfigError {
        file: file.into(),
        line,
        key: key.into(),
        message: what,
    };
    let deserializer = hcl::de::Deserializer::from_str(text).map_err(|e| match &e {
        hcl::Error::Parse(p) => problem(p.location().line(), "", p.to_string()),
        other => problem(0, "", other.to_string()),
    })?;
    let config: Config = serde_path_to_error::deserialize(deserializer).map_err(|e| {
        let what = e.inner().to_string();
        let mut path: Vec<String> = e.path().iter().map(|s| s.to_string()).collect();
        // An unknown key is named in the message alone.
        if let Some(key) = what
            .strip_prefix("unknown field `")
            .and_then(|rest| rest.split('`').next())
            && path.last().is_none_or(|last| last != key)
        {
            path.push(key.to_owned());
        }
        problem(locate::line(text, &path), &path.join("."), what)
    })?;
    config.check().map_err(|(path, what)| {
        let keys: Vec<String> = path.split('.').map(str::to_owned).collect();
        problem(locate::line(text, &keys), &path, what)
    })?;
    Ok(config)
}

/// The folder beneath which processes keep what outlives them: as the command line names it, else the settings.
pub fn data_directory(config: &Config, named: Option<&Path>) -> Option<std::path::PathBuf> {
    let block = config
        .persistence
        .as_ref()
        .map(|durable| std::path::PathBuf::from(&durable.directory));
    named.map(Path::to_owned).or(block)
}

impl Config {
    /// The cluster that a process belongs to.
    pub fn cluster(&self) -> &str {
        self.membership
            .as_ref()
            .map_or(MembershipSection::CLUSTER, |fleet| &fleet.cluster)
    }
}
