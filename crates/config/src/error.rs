//! What is wrong with a settings file, and where.

/// An error in a settings file, with the place that has to be changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Name of the file.
    pub file: String,
    /// Line of the file, from 1; 0 if it is not known.
    pub line_number: usize,
    /// The key, with the blocks that it is in; empty if the file as a whole is wrong.
    pub key: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.file)?;
        if self.line_number > 0 {
            write!(f, ":{}", self.line_number)?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for ConfigError {}

/// A value that is not allowed; the place in the file is looked up later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InvalidValue {
    /// The key, with the blocks that it is in, separated by dots.
    pub(crate) key: String,
    /// What is wrong and what is allowed.
    pub(crate) message: String,
}

impl InvalidValue {
    pub(crate) fn new(key: impl Into<String>, message: &str) -> Self {
        Self {
            key: key.into(),
            message: message.to_owned(),
        }
    }
}

/// Checks that a value is in its range, both ends included.
pub(crate) fn check_range(key: &str, value: f64, min: f64, max: f64) -> Result<(), InvalidValue> {
    if value.is_finite() && value >= min && value <= max {
        return Ok(());
    }
    let message = format!("{value} is out of range: allowed is {min} to {max}");
    Err(InvalidValue::new(key, &message))
}
