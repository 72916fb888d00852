//! A batch request's answer, put together from the engine's streams.
//!
//! Engines cancel a stream whose reader leaves and resume one after so many tokens, so the
//! agent asks for a stream even where the caller wants a whole answer: a preempted request
//! frees its slot at once and goes on later where it stopped.

use bytes::BytesMut;
use memchr::memmem;
use serde_json::{json, Map, Value};

/// Ends one server-sent event.
const EVENT_END: &[u8] = b"\n\n";

/// The tokens that have come so far, across preemptions.
#[derive(Debug, Default)]
pub struct BatchAnswer {
    /// The fields every chunk repeats (id, object, model), from the latest chunk.
    head: Map<String, Value>,
    text: String,
    tokens: usize,
    finish_reason: Value,
    /// Read but not yet a whole event.
    partial: BytesMut,
    done: bool,
}

impl BatchAnswer {
    /// Tokens that have come.
    pub fn tokens(&self) -> usize {
        self.tokens
    }

    /// Whether the last event has come.
    pub fn is_whole(&self) -> bool {
        self.done
    }

    /// Drops the part of an event that a cut stream left.
    pub fn start_stream(&mut self) {
        self.partial.clear();
    }

    /// Takes the next part of a stream; the error is an event that is not JSON.
    pub fn feed(&mut self, part: &[u8]) -> Result<(), serde_json::Error> {
        self.partial.extend_from_slice(part);
        while let Some(end) = memmem::find(&self.partial, EVENT_END) {
            let event = self.partial.split_to(end + EVENT_END.len());
            let data = event.strip_prefix(b"data: ").unwrap_or_default();
            match data.trim_ascii() {
                b"" => {}
                b"[DONE]" => self.done = true,
                data => self.add(serde_json::from_slice(data)?),
            }
        }
        Ok(())
    }

    fn add(&mut self, mut chunk: Map<String, Value>) {
        let choice = chunk
            .remove("choices")
            .and_then(|mut choices| choices.get_mut(0).map(Value::take))
            .unwrap_or_default();
        let content = choice.pointer("/delta/content").or(choice.get("text"));
        if let Some(piece) = content.and_then(Value::as_str) {
            self.text.push_str(piece);
            self.tokens += 1;
        }
        if let Some(reason) = choice.get("finish_reason").filter(|r| !r.is_null()) {
            self.finish_reason = reason.clone();
        }
        self.head = chunk;
    }

    /// The answer as the engine gives it when it does not stream.
    pub fn into_json(self) -> Value {
        let is_chat = self.head.get("object") == Some(&json!("chat.completion.chunk"));
        let mut answer = self.head;
        let choice = if is_chat {
            answer.insert("object".to_owned(), json!("chat.completion"));
            json!({"index": 0, "message": {"role": "assistant", "content": self.text}, "finish_reason": self.finish_reason})
        } else {
            json!({"index": 0, "text": self.text, "finish_reason": self.finish_reason})
        };
        answer.insert("choices".to_owned(), json!([choice]));
        answer.insert(
            "usage".to_owned(),
            json!({"completion_tokens": self.tokens}),
        );
        Value::Object(answer)
    }
}

/// The request asking for a stream; `None` for one that cannot be put together from a
/// stream (several choices) or is no JSON object.
pub fn streaming_request(body: &[u8]) -> Option<Vec<u8>> {
    let mut request: Map<String, Value> = serde_json::from_slice(body).ok()?;
    if request.get("n").is_some_and(|n| *n != json!(1)) {
        return None;
    }
    request.insert("stream".to_owned(), Value::Bool(true));
    serde_json::to_vec(&request).ok()
}
