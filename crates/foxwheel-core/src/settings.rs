//! Settings files: JSON files that are read and checked once when a process starts.
//!
//! Each process has its own settings type, which implements [`Check`], so that values that parse
//! but are not usable (a zero timeout, an empty address) are refused at startup with an error that
//! names the field.

use std::fmt;
use std::path::Path;

use serde::de::DeserializeOwned;

/// Why a settings file was refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot read settings file {path}: {source}")]
    Read {
        /// Path of the file, as given.
        path: String,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The file is not valid JSON or does not match the settings type, for example because of an
    /// unknown or missing field.
    #[error("settings file {path} is not valid: {source}")]
    Parse {
        /// Path of the file, as given.
        path: String,
        /// Error of `serde_json`, which gives the line, the column and the field.
        source: serde_json::Error,
    },
    /// The file could be parsed, but the values of some fields are not valid.
    #[error("settings file {path}: {problems}")]
    Invalid {
        /// Path of the file, as given.
        path: String,
        /// All fields that are not valid.
        problems: Problems,
    },
}

/// A field whose value is not valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field within the settings, for example `engine_url`.
    pub field: String,
    /// What is wrong with the value, for example `must not be empty`.
    pub problem: String,
}

/// The fields that are not valid, in the order of the checks. They are displayed as one line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Problems {
    /// The fields that are not valid.
    pub fields: Vec<FieldError>,
}

impl Problems {
    /// Records that the value of `field` is not valid because of `problem`.
    pub fn add(&mut self, field: impl Into<String>, problem: impl Into<String>) {
        self.fields.push(FieldError {
            field: field.into(),
            problem: problem.into(),
        });
    }

    /// Records a problem if `value` is empty or consists of white space.
    pub fn require_non_empty(&mut self, field: &str, value: &str) {
        if value.trim().is_empty() {
            self.add(field, "must not be empty");
        }
    }

    /// Records a problem if `value`, a duration or a count, is zero.
    pub fn require_positive(&mut self, field: &str, value: u64) {
        if value == 0 {
            self.add(field, "must be greater than zero");
        }
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.fields.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}field `{}` {}", error.field, error.problem)?;
        }
        Ok(())
    }
}

/// Checks of values beyond what parsing ensures.
pub trait Check {
    /// Adds every field whose value is not valid to `problems`.
    fn check(&self, problems: &mut Problems);
}

/// Reads, parses and checks a settings file. Returns an error if it cannot be read or parsed, or if
/// a value is not valid.
pub fn load<T: DeserializeOwned + Check>(path: &Path) -> Result<T, SettingsError> {
    let display_path = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: display_path.clone(),
        source,
    })?;
    parse(&display_path, &text)
}

/// Parses and checks the text of a settings file. `path` is used only in errors.
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
