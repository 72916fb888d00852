//! The page of a process's settings, made from their types.
//!
//! Field names, types, defaults and doc comments come from the JSON schema of the settings
//! type, so that the page says what the process reads.

use std::fmt::Write;

use schemars::JsonSchema;
use serde_json::{Map, Value};

/// A Markdown section on the settings of `process`: a table of their fields, then one for
/// each type of object that they hold.
pub fn render_section<T: JsonSchema>(process: &str) -> String {
    let schema = schemars::schema_for!(T);
    let types = Types(schema.get("$defs").and_then(Value::as_object));
    let mut page = format!("## {process}\n\n");
    types.write_object(&mut page, schema.as_value());
    for (name, definition) in types.0.into_iter().flatten() {
        if definition.get("properties").is_some() {
            let _ = write!(page, "\n### {process}: `{name}`\n\n");
            types.write_object(&mut page, definition);
        }
    }
    page
}

/// The types that a settings type refers to, by name.
struct Types<'a>(Option<&'a Map<String, Value>>);

impl Types<'_> {
    fn write_object(&self, page: &mut String, object: &Value) {
        let _ = writeln!(page, "{}\n", text(object));
        let _ = writeln!(page, "| field | type | default | meaning |");
        let _ = writeln!(page, "|---|---|---|---|");
        let required = list(object, "required");
        let fields = object.get("properties").and_then(Value::as_object);
        for (name, field) in fields.into_iter().flatten() {
            let default = match field.get("default") {
                Some(Value::Null) => "none".to_owned(),
                Some(value) => format!("`{value}`"),
                None if required.iter().any(|one| one == name) => "must be given".to_owned(),
                None => "none".to_owned(),
            };
            let kind = self.type_name(field);
            let _ = writeln!(page, "| `{name}` | {kind} | {default} | {} |", text(field));
        }
    }

    /// What a field takes, in the words of JSON.
    fn type_name(&self, field: &Value) -> String {
        if let Some(reference) = field.get("$ref").and_then(Value::as_str) {
            let name = reference.rsplit('/').next().unwrap_or(reference);
            let choices = self.0.and_then(|types| types.get(name)).map(choices);
            return match choices {
                Some(choices) if !choices.is_empty() => choices.join(" or "),
                _ => format!("`{name}`"),
            };
        }
        let alternatives = list(field, "anyOf").iter().filter(|one| !is_null(one));
        let alternatives: Vec<String> = alternatives.map(|one| self.type_name(one)).collect();
        if !alternatives.is_empty() {
            return alternatives.join(" or ");
        }
        match field.get("type") {
            Some(Value::String(name)) => self.with_items(name, field),
            Some(Value::Array(names)) => {
                let names = names.iter().filter_map(Value::as_str);
                let names = names.filter(|name| *name != "null");
                let names: Vec<String> = names.map(|name| self.with_items(name, field)).collect();
                names.join(" or ")
            }
            _ => "any".to_owned(),
        }
    }

    fn with_items(&self, name: &str, field: &Value) -> String {
        match (name, field.get("items")) {
            ("array", Some(items)) => format!("array of {}", self.type_name(items)),
            _ => name.to_owned(),
        }
    }
}

/// The values of a type that is a choice of words.
fn choices(definition: &Value) -> Vec<String> {
    let plain = list(definition, "enum").iter();
    let described = list(definition, "oneOf").iter();
    let described = described.filter_map(|one| one.get("const"));
    plain
        .chain(described)
        .map(|value| format!("`{value}`"))
        .collect()
}

/// The doc comment of a type or field as one line.
fn text(schema: &Value) -> String {
    let description = schema.get("description").and_then(Value::as_str);
    let words: Vec<&str> = description.unwrap_or_default().split_whitespace().collect();
    words.join(" ")
}

fn list<'a>(schema: &'a Value, key: &str) -> &'a [Value] {
    let values = schema.get(key).and_then(Value::as_array);
    values.map_or(&[], Vec::as_slice)
}

fn is_null(schema: &Value) -> bool {
    schema.get("type").and_then(Value::as_str) == Some("null")
}
