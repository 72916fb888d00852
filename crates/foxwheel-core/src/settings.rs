//! Settings files: JSON, read once at start, checked with an error that names the field.
//!
//! Every process has its own settings type; each implements [`Check`] so that values which
//! parse but make no sense (a zero timeout, an empty address) are refused before start.

use std::fmt;
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
    /// Fields parsed but their values are refused.
    #[error("settings file {path}: {problems}")]
    Invalid {
        /// The file's path as given.
        path: String,
        /// Every refused field.
        problems: Problems,
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

/// Every refused field, in the order of the checks; shown as one line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Problems {
    /// The refused fields.
    pub fields: Vec<FieldError>,
}

impl Problems {
    /// Refuses `field` because of `problem`.
    pub fn add(&mut self, field: impl Into<String>, problem: impl Into<String>) {
        self.fields.push(FieldError {
            field: field.into(),
            problem: problem.into(),
        });
    }

    /// Refuses an empty string field.
    pub fn require_non_empty(&mut self, field: &str, value: &str) {
        if value.trim().is_empty() {
            self.add(field, "must not be empty");
        }
    }

    /// Refuses a zero duration or count.
    pub fn require_positive(&mut self, field: &str, value: u64) {
        if value == 0 {
            self.add(field, "must be greater than zero");
        }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, refused) in self.fields.iter().enumerate() {
            let separator = if at == 0 { "" } else { "; " };
            write!(
                f,
                "{separator}field `{}` {}",
                refused.field, refused.problem
            )?;
        }
        Ok(())
    }
}

/// Checks that go beyond parsing.
pub trait Check {
    /// Adds every refused field to `problems`.
    fn check(&self, problems: &mut Problems);
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
    let mut problems = Problems::default();
    value.check(&mut problems);
    if problems.fields.is_empty() {
        return Ok(value);
    }
    Err(SettingsError::Invalid {
        path: path.to_owned(),
        problems,
    })
}
