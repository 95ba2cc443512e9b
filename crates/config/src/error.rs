//! Errors in settings files and range checks.

/// An error in a settings file, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// File name as given by the caller; `built-in` for the built-in settings.
    pub file: String,
    /// Line number, from 1; 0 if it is not known.
    pub line_number: usize,
    /// The key and the blocks that contain it, separated by dots; empty if the error concerns the whole file.
    pub key: String,
    /// What is wrong and which values are allowed.
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

/// A value that is not allowed. Its line in the file is looked up by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InvalidValue {
    /// The key and the blocks that contain it, separated by dots.
    pub(crate) key: String,
    /// What is wrong and which values are allowed.
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

/// Checks that a value is finite and from `min` to `max`, both included.
pub(crate) fn check_range(key: &str, value: f64, min: f64, max: f64) -> Result<(), InvalidValue> {
    if value.is_finite() && value >= min && value <= max {
        return Ok(());
    }
    let message = format!("{value} is out of range: allowed is {min} to {max}");
    Err(InvalidValue::new(key, &message))
}
