//! Creates and reads values of any size in the platform's store, which limits the size of an object.
//!
//! The text of a value that is larger than one object is split into chunks, each an object of its
//! own. The object of the value, which lists them, is created last: a value is either complete or
//! does not exist. Chunks are never changed, and their names are not used again.

use std::time::Instant;

use foxwheel_platform::store::{EncodedJson, StoreError, Write};
use foxwheel_policy::batch::packing;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::node::Node;
use crate::store_relay;

/// Kind of the chunks of all values.
const CHUNKS_KIND: &str = "foxwheel-chunks";

/// Values are not split into objects smaller than this.
pub const MIN_OBJECT_BYTES: usize = 1_024;

/// Error of reading or writing a value.
#[derive(Debug, thiserror::Error)]
pub enum ValueError {
    /// A call to the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A chunk that the object of the value lists does not exist.
    #[error("chunk '{chunk}' of {kind} '{name}' is missing")]
    MissingChunk {
        /// Kind of the value's object.
        kind: String,
        /// Name of the value's object.
        name: String,
        /// Name of the chunk.
        chunk: String,
    },
    /// The chunks of a value, or a chunk, cannot be decoded.
    #[error("{kind} '{name}' cannot be decoded from its chunks: {source}")]
    Format {
        /// Kind of the value's object.
        kind: String,
        /// Name of the value's object.
        name: String,
        /// The error of the decoder.
        source: serde_json::Error,
    },
}

/// The content of the object of a value that is stored in chunks.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChunkList {
    /// Names of the chunks, in the order of the text.
    chunks: Vec<String>,
}

/// Creates the object `name` with the value `encoded`, in chunks of at most `max_bytes` if it is
/// larger, and in smaller ones if the store refuses these. Retries after errors until `deadline`.
///
/// Returns `None` if this created the object, otherwise the value that the object had at that time;
/// an earlier try whose response was lost may have created it.
pub async fn create(
    node: &Node,
    kind: &str,
    name: &str,
    encoded: EncodedJson,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Option<Value>, ValueError> {
    let mut max_bytes = max_bytes;
    loop {
        let created = match encoded.len() <= max_bytes {
            true => create_object(node, kind, name, encoded.clone(), deadline).await,
            false => create_in_chunks(node, kind, name, &encoded, max_bytes, deadline).await,
        };
        match created {
            Err(ValueError::Store(StoreError::TooLarge { .. })) if max_bytes > MIN_OBJECT_BYTES => {
                max_bytes = max_bytes.min(encoded.len()) / 2;
                log::warn!(kind, name, bytes = encoded.len(), max_bytes; "value too large for the store; storing it in smaller objects");
            }
            settled => return settled,
        }
    }
}

/// Reads the value of the object `name`, or returns `None` if the object does not exist. Retries
/// after errors until `deadline`.
pub async fn get(
    node: &Node,
    kind: &str,
    name: &str,
    deadline: Instant,
) -> Result<Option<Value>, ValueError> {
    match store_relay::get_with_retries(node, kind, name, deadline).await? {
        Some(object) => read_chunks(node, kind, name, object.spec, deadline)
            .await
            .map(Some),
        None => Ok(None),
    }
}

async fn create_object(
    node: &Node,
    kind: &str,
    name: &str,
    spec: EncodedJson,
    deadline: Instant,
) -> Result<Option<Value>, ValueError> {
    match store_relay::create_with_retries(node, kind, name, spec, deadline).await? {
        Some(existing) => read_chunks(node, kind, name, existing.spec, deadline)
            .await
            .map(Some),
        None => Ok(None),
    }
}

async fn create_in_chunks(
    node: &Node,
    kind: &str,
    name: &str,
    encoded: &str,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Option<Value>, ValueError> {
    // Another process may store another value under the same name.
    let nonce: u64 = rand::random();
    let texts = split_text(encoded, max_bytes);
    let names = (0..texts.len()).map(|number| format!("{kind}.{name}.{nonce:016x}-{number}"));
    let list = ChunkList {
        chunks: names.collect(),
    };
    let created = create_listed(node, kind, name, &list, &texts, deadline).await;
    // After an unknown outcome the object may exist and need its chunks.
    let is_unused = match &created {
        Ok(existing) => existing.is_some(),
        Err(e) => e.is_not_done(),
    };
    if is_unused {
        delete_chunks(node, &list.chunks).await;
    }
    match created? {
        Some(spec) => read_chunks(node, kind, name, spec, deadline)
            .await
            .map(Some),
        None => Ok(None),
    }
}

/// Creates the chunks of `list` with these texts, and then the object that lists them. Returns the
/// content of the object if another one existed.
async fn create_listed(
    node: &Node,
    kind: &str,
    name: &str,
    list: &ChunkList,
    texts: &[&str],
    deadline: Instant,
) -> Result<Option<Value>, StoreError> {
    for (chunk, text) in list.chunks.iter().zip(texts) {
        let spec = encode(text);
        store_relay::create_with_retries(node, CHUNKS_KIND, chunk, spec, deadline).await?;
    }
    let spec = encode(list);
    let existing = store_relay::create_with_retries(node, kind, name, spec, deadline).await?;
    let existing = existing.map(|object| object.spec);
    // It may be the object of an earlier try whose response was lost.
    Ok(existing.filter(|spec| ChunkList::deserialize(spec).ok().as_ref() != Some(list)))
}

/// Returns `spec`, or the value whose chunks it lists.
async fn read_chunks(
    node: &Node,
    kind: &str,
    name: &str,
    spec: Value,
    deadline: Instant,
) -> Result<Value, ValueError> {
    let Ok(list) = ChunkList::deserialize(&spec) else {
        return Ok(spec);
    };
    let format_error = |source| ValueError::Format {
        kind: kind.to_owned(),
        name: name.to_owned(),
        source,
    };
    let mut encoded = String::new();
    for chunk in list.chunks {
        let object = store_relay::get_with_retries(node, CHUNKS_KIND, &chunk, deadline).await?;
        let Some(object) = object else {
            return Err(ValueError::MissingChunk {
                kind: kind.to_owned(),
                name: name.to_owned(),
                chunk,
            });
        };
        let text: String = serde_json::from_value(object.spec).map_err(format_error)?;
        encoded.push_str(&text);
    }
    serde_json::from_str(&encoded).map_err(format_error)
}

async fn delete_chunks(node: &Node, chunks: &[String]) {
    for chunk in chunks {
        let delete = Write::Delete {
            kind: CHUNKS_KIND.to_owned(),
            name: chunk.clone(),
            revision: None,
        };
        if let Err(e) = store_relay::write(node, &delete).await {
            log::warn!(chunk, error:% = e; "could not delete an unused chunk");
        }
    }
}

/// Splits `text` so that each part has at most `max_bytes` as a JSON string.
fn split_text(text: &str, max_bytes: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let sizes = rest.chars().map(encoded_char_bytes);
        let count = packing::leading_values_that_fit(sizes, max_bytes);
        let end = rest
            .char_indices()
            .nth(count)
            .map_or(rest.len(), |(at, _)| at);
        let (part, others) = rest.split_at(end);
        parts.push(part);
        rest = others;
    }
    parts
}

/// Returns the size of a character in a JSON string.
fn encoded_char_bytes(character: char) -> usize {
    match character {
        '"' | '\\' => 2,
        character if character.is_ascii_control() => "\\u0000".len(),
        character => character.len_utf8(),
    }
}

fn encode<T: Serialize + ?Sized>(value: &T) -> EncodedJson {
    serde_json::to_string(value).expect("strings and lists of strings always encode")
}
