//! Structured log lines of several processes.

use std::path::PathBuf;

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::CtlError;

/// One line of a process's log.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Line {
    /// `INFO` or `WARN`.
    pub level: String,
    /// Time of its host's clock, in milliseconds since the Unix epoch.
    pub unix_ms: i64,
    /// The process's host.
    pub node: String,
    /// What happened.
    pub message: String,
    /// The inputs that decided it.
    #[serde(default)]
    pub fields: Map<String, Value>,
}

impl Line {
    /// A field as text.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    /// A field as a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// A field as a truth value.
    pub fn flag(&self, name: &str) -> Option<bool> {
        self.fields.get(name).and_then(Value::as_bool)
    }

    /// Whether a field holds exactly this text.
    pub fn has(&self, name: &str, text: &str) -> bool {
        self.field(name) == Some(text)
    }

    /// The fields as `name=value`, in order of their names.
    pub fn shown_fields(&self) -> String {
        let shown = self.fields.iter().map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        shown.collect::<Vec<_>>().join(" ")
    }
}

/// How a line begins.
const START: &str = "{\"level\":";

/// Every whole line of a log. Text around the lines (a collector's prefix) and lines that
/// were cut are passed over.
pub fn parse_all(text: &str) -> Vec<Line> {
    let starts = text.match_indices(START).map(|(at, _)| at);
    starts
        .filter_map(|at| {
            let mut values = serde_json::Deserializer::from_str(&text[at..]).into_iter();
            values.next()?.ok()
        })
        .collect()
}

/// The lines of several log files, in the order of the files. Bytes that are no text are
/// passed over with their line; fails on a file that cannot be read.
pub fn read_all(files: &[PathBuf]) -> Result<Vec<Line>, CtlError> {
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read(file).map_err(|source| CtlError::File {
            path: file.display().to_string(),
            source,
        })?;
        lines.extend(parse_all(&String::from_utf8_lossy(&text)));
    }
    Ok(lines)
}
