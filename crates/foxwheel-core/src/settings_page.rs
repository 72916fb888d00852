//! Generates the documentation of a process's settings from the settings type.
//!
//! Field names, types, defaults and doc comments come from the type's JSON schema, so that the
//! documentation always matches what the process reads.

use std::fmt::Write;

use schemars::JsonSchema;
use serde_json::{Map, Value};

/// Returns a Markdown section about the settings of `process`: a table of the fields, followed by a
/// table for each object type that the settings refer to.
pub fn render_section<T: JsonSchema>(process: &str) -> String {
    let schema = schemars::schema_for!(T);
    let definitions = Definitions(schema.get("$defs").and_then(Value::as_object));
    let mut page = format!("## {process}\n\n");
    definitions.write_object(&mut page, schema.as_value());
    for (name, definition) in definitions.0.into_iter().flatten() {
        if definition.get("properties").is_some() {
            let _ = write!(page, "\n### {process}: `{name}`\n\n");
            definitions.write_object(&mut page, definition);
        }
    }
    page
}

/// JSON schemas of the types that a settings type refers to, by name.
struct Definitions<'a>(Option<&'a Map<String, Value>>);

impl Definitions<'_> {
    /// Appends the description of an object type and the table of its fields to `page`.
    fn write_object(&self, page: &mut String, object: &Value) {
        let _ = writeln!(page, "{}\n", description(object));
        let _ = writeln!(page, "| field | type | default | meaning |");
        let _ = writeln!(page, "|---|---|---|---|");
        let required = list(object, "required");
        let fields = object.get("properties").and_then(Value::as_object);
        for (name, field) in fields.into_iter().flatten() {
            let default = match field.get("default") {
                Some(Value::Null) => "none".to_owned(),
                Some(value) => format!("`{value}`"),
                None if required.iter().any(|field| field == name) => "must be given".to_owned(),
                None => "none".to_owned(),
            };
            let type_name = self.type_name(field);
            let _ = writeln!(
                page,
                "| `{name}` | {type_name} | {default} | {} |",
                description(field)
            );
        }
    }

    /// Returns the JSON type of a field: the choices of an enum, the name of an object type, or the
    /// name of a basic type.
    fn type_name(&self, field: &Value) -> String {
        if let Some(reference) = field.get("$ref").and_then(Value::as_str) {
            let name = reference.rsplit('/').next().unwrap_or(reference);
            let choices = self
                .0
                .and_then(|definitions| definitions.get(name))
                .map(choices);
            return match choices {
                Some(choices) if !choices.is_empty() => choices.join(" or "),
                _ => format!("`{name}`"),
            };
        }
        let alternatives = list(field, "anyOf")
            .iter()
            .filter(|schema| !is_null(schema));
        let alternatives: Vec<String> = alternatives.map(|schema| self.type_name(schema)).collect();
        if !alternatives.is_empty() {
            return alternatives.join(" or ");
        }
        match field.get("type") {
            Some(Value::String(name)) => self.with_item_type(name, field),
            Some(Value::Array(names)) => {
                let names = names.iter().filter_map(Value::as_str);
                let names = names.filter(|name| *name != "null");
                let names: Vec<String> =
                    names.map(|name| self.with_item_type(name, field)).collect();
                names.join(" or ")
            }
            _ => "any".to_owned(),
        }
    }

    /// Adds the type of the items to the name of an array type.
    fn with_item_type(&self, name: &str, field: &Value) -> String {
        match (name, field.get("items")) {
            ("array", Some(items)) => format!("array of {}", self.type_name(items)),
            _ => name.to_owned(),
        }
    }
}

/// Returns the values of an enum, or nothing for any other type.
fn choices(definition: &Value) -> Vec<String> {
    let plain_values = list(definition, "enum").iter();
    let described_values = list(definition, "oneOf").iter();
    let described_values = described_values.filter_map(|schema| schema.get("const"));
    plain_values
        .chain(described_values)
        .map(|value| format!("`{value}`"))
        .collect()
}

/// Returns the doc comment of a type or field as one line.
fn description(schema: &Value) -> String {
    let doc_comment = schema.get("description").and_then(Value::as_str);
    let words: Vec<&str> = doc_comment.unwrap_or_default().split_whitespace().collect();
    words.join(" ")
}

/// Returns the array at `key`, or an empty slice if there is none.
fn list<'a>(schema: &'a Value, key: &str) -> &'a [Value] {
    let values = schema.get(key).and_then(Value::as_array);
    values.map_or(&[], Vec::as_slice)
}

fn is_null(schema: &Value) -> bool {
    schema.get("type").and_then(Value::as_str) == Some("null")
}
