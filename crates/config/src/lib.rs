//! Settings in HCL, for edge and planner.
//!
//! Both programs read the same file, so that they agree on classes and node types. [`load`] reads and validates it;
//! [`Config::scheduler_settings`] converts it to the settings that a planner starts its policy with. Owns no state;
//! reads files only in [`load`]. The keys of the file are a published interface; the names of the fields in Rust may
//! differ.

mod check;
mod error;
mod locate;
mod model;
mod scheduler_settings;
mod sections;

pub use error::ConfigError;
pub use model::{Class, Config, FailureDomain, NodeType, RetrySafety, Tenant};
pub use sections::{
    CoordinationSection, CostModel, EdgeSection, JobControllerSection, MembershipSection,
    NodesSection, PersistenceSection, PlannerSection, SafetyLimits, Voters,
};

use std::path::{Path, PathBuf};

/// The built-in settings, which `tidespur up` uses without a file; also the documented example.
pub const DEFAULT_CONFIG: &str = include_str!("../default.hcl");

/// Reads and validates a file, or the built-in settings if `path` is `None`.
///
/// # Errors
/// As [`load`].
pub fn load_or_default(path: Option<&Path>) -> Result<Config, ConfigError> {
    match path {
        Some(path) => load(path),
        None => parse("built-in", DEFAULT_CONFIG),
    }
}

/// Reads and validates a file.
///
/// # Errors
/// The file can't be read, or its text is invalid, with line and key.
pub fn load(path: &Path) -> Result<Config, ConfigError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| ConfigError {
        file: file.clone(),
        line_number: 0,
        key: String::new(),
        message: format!("can't be read: {error}"),
    })?;
    parse(&file, &text)
}

/// Parses and validates settings; `file` is the file name for errors.
///
/// # Errors
/// The first syntax error, unknown key or value that is not allowed, with line and key.
pub fn parse(file: &str, text: &str) -> Result<Config, ConfigError> {
    let config = deserialize(file, text)?;
    config.check().map_err(|invalid| {
        let keys: Vec<String> = invalid.key.split('.').map(str::to_owned).collect();
        ConfigError {
            file: file.to_owned(),
            line_number: locate::line_of_key(text, &keys),
            key: invalid.key,
            message: invalid.message,
        }
    })?;
    Ok(config)
}

fn deserialize(file: &str, text: &str) -> Result<Config, ConfigError> {
    let deserializer = hcl::de::Deserializer::from_str(text).map_err(|error| {
        let (line_number, message) = match &error {
            hcl::Error::Parse(parse) => (parse.location().line(), parse.to_string()),
            other => (0, other.to_string()),
        };
        ConfigError {
            file: file.to_owned(),
            line_number,
            key: String::new(),
            message,
        }
    })?;
    serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let message = error.inner().to_string();
        let keys = keys_of(error.path(), &message);
        ConfigError {
            file: file.to_owned(),
            line_number: locate::line_of_key(text, &keys),
            key: keys.join("."),
            message,
        }
    })
}

/// The key that an error is about, with the blocks that contain it. The path lacks an unknown key, which is taken from
/// the message.
fn keys_of(path: &serde_path_to_error::Path, message: &str) -> Vec<String> {
    let mut keys: Vec<String> = path.iter().map(ToString::to_string).collect();
    let unknown = message
        .strip_prefix("unknown field `")
        .and_then(|rest| rest.split('`').next());
    if let Some(unknown) = unknown
        && keys.last().is_none_or(|last| last != unknown)
    {
        keys.push(unknown.to_owned());
    }
    keys
}

/// The parent directory of the processes' data directories: that of the command line, otherwise that of the settings.
/// `None` if neither has one: state is then in memory only.
pub fn data_directory(config: &Config, command_line: Option<&Path>) -> Option<PathBuf> {
    if let Some(directory) = command_line {
        return Some(directory.to_owned());
    }
    let section = config.persistence.as_ref()?;
    Some(PathBuf::from(&section.directory))
}

impl Config {
    /// Name of the cluster that a process belongs to.
    pub fn cluster(&self) -> &str {
        match &self.membership {
            Some(section) => &section.cluster,
            None => MembershipSection::CLUSTER,
        }
    }
}
