//! Reads the structured (JSON) log lines of processes. Logs of older builds must stay readable.

use std::path::PathBuf;

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::CtlError;

/// One log line of a process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct LogLine {
    /// `INFO` or `WARN`.
    pub level: String,
    /// Time by the clock of the host, in milliseconds since the Unix epoch.
    pub unix_ms: i64,
    /// Host that the process runs on.
    pub node: String,
    /// Fixed text that names the event.
    pub message: String,
    /// Details of the event, by key.
    #[serde(default)]
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Returns a field as text; `None` if it is missing or not a string.
    pub fn text_field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).and_then(Value::as_str)
    }

    /// Returns a field as a number; `None` if it is missing or not a non-negative integer.
    pub fn number_field(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// Returns a field as a boolean; `None` if it is missing or of another type.
    pub fn bool_field(&self, name: &str) -> Option<bool> {
        self.fields.get(name).and_then(Value::as_bool)
    }

    /// Returns whether the field `name` is a string equal to `text`.
    pub fn field_equals(&self, name: &str, text: &str) -> bool {
        self.text_field(name) == Some(text)
    }

    /// Formats the fields as `name=value`, separated by spaces and sorted by name.
    pub fn format_fields(&self) -> String {
        let pairs = self.fields.iter().map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        pairs.collect::<Vec<_>>().join(" ")
    }
}

/// How every log line begins: `level` is its first key.
const LINE_START: &str = "{\"level\":";

/// Returns every complete log line in `text`. Skips text between the lines, such as the prefix of
/// a log collector, and lines that were cut off.
pub fn parse_all(text: &str) -> Vec<LogLine> {
    let offsets = text.match_indices(LINE_START).map(|(at, _)| at);
    offsets
        .filter_map(|at| {
            let mut values = serde_json::Deserializer::from_str(&text[at..]).into_iter();
            values.next()?.ok()
        })
        .collect()
}

/// Returns the log lines of several files, in the order of the files. Bytes that are not UTF-8 are
/// replaced by U+FFFD. Fails if a file cannot be read.
pub fn read_all(files: &[PathBuf]) -> Result<Vec<LogLine>, CtlError> {
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
