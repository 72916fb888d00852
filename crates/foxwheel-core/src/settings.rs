//! Settings files: JSON, read once at start, checked with an error that names the field.
//!
//! Every process has its own settings type; each implements [`Check`] so that values which
//! parse but make no sense (a zero timeout, an empty address) are refused before start.

use std::path::Path;

use serde::de::DeserializeOwned;

/// Why a settings file was refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot read settings file {path}: {source}")]
    Read {
        /// The file's path as given.
        path: String,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// The file is not valid JSON for this process, e.g. an unknown or missing field.
    #[error("settings file {path} is not valid: {source}")]
    Parse {
        /// The file's path as given.
        path: String,
        /// serde_json's error, which gives the line, column and field.
        source: serde_json::Error,
    },
    /// A field parsed but its value is refused.
    #[error("settings file {path}: field `{field}` {problem}")]
    Invalid {
        /// The file's path as given.
        path: String,
        /// The field's path, e.g. `listen_addr`.
        field: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// A refused field, before the file's path is attached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// The field's path, e.g. `engine_url`.
    pub field: String,
    /// What is wrong with it, e.g. `must not be empty`.
    pub problem: String,
}

impl FieldError {
    /// A refusal of `field` because of `problem`.
    pub fn new(field: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            problem: problem.into(),
        }
    }
}

/// Checks that go beyond parsing.
pub trait Check {
    /// Returns the first refused field, if any.
    fn check(&self) -> Result<(), FieldError>;
}

/// Reads, parses and checks a settings file.
pub fn load<T: DeserializeOwned + Check>(path: &Path) -> Result<T, SettingsError> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: shown.clone(),
        source,
    })?;
    parse(&shown, &text)
}

/// Parses and checks settings text; `path` is only used in errors.
pub fn parse<T: DeserializeOwned + Check>(path: &str, text: &str) -> Result<T, SettingsError> {
    let value: T = serde_json::from_str(text).map_err(|source| SettingsError::Parse {
        path: path.to_owned(),
        source,
    })?;
    value.check().map_err(|e| SettingsError::Invalid {
        path: path.to_owned(),
        field: e.field,
        problem: e.problem,
    })?;
    Ok(value)
}

/// Refuses an empty string field.
pub fn require_non_empty(field: &str, value: &str) -> Result<(), FieldError> {
    if value.trim().is_empty() {
        return Err(FieldError::new(field, "must not be empty"));
    }
    Ok(())
}

/// Refuses a zero duration or count.
pub fn require_positive(field: &str, value: u64) -> Result<(), FieldError> {
    if value == 0 {
        return Err(FieldError::new(field, "must be greater than zero"));
    }
    Ok(())
}
