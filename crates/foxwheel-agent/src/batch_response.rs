//! Assembles the response to a batch request from one or more streams of the engine.
//!
//! An engine cancels a request when its stream is closed, and can resume a request after a given
//! number of tokens. The agent therefore requests a stream even if the caller wants a complete
//! response: a preempted request frees its slot immediately and later resumes where it stopped.

use foxwheel_event_stream::splitter::EventSplitter;
use serde_json::{json, Map, Value};

/// The part of a batch response received so far. It is kept across preemptions.
#[derive(Debug, Default)]
pub struct BatchResponse {
    /// Fields that every chunk repeats (id, object, model), from the latest chunk.
    common_fields: Map<String, Value>,
    text: String,
    token_count: usize,
    finish_reason: Value,
    events: EventSplitter,
    is_done: bool,
}

impl BatchResponse {
    /// Returns the number of tokens received so far.
    pub fn token_count(&self) -> usize {
        self.token_count
    }

    /// Returns whether the last event has been received.
    pub fn is_complete(&self) -> bool {
        self.is_done
    }

    /// Prepares for a new stream by discarding the incomplete event at the end of a stream that was
    /// cut off.
    pub fn begin_stream(&mut self) {
        self.events.discard_partial_event();
    }

    /// Applies the next bytes of a stream. Returns an error if an event is not a JSON object.
    pub fn apply_bytes(&mut self, bytes: &[u8]) -> Result<(), serde_json::Error> {
        self.events.push(bytes);
        while let Some(event) = self.events.next_event() {
            match event.data().trim_ascii() {
                "" => {}
                "[DONE]" => self.is_done = true,
                data => self.apply_chunk(serde_json::from_str(data)?),
            }
        }
        Ok(())
    }

    fn apply_chunk(&mut self, mut chunk: Map<String, Value>) {
        let choice = chunk
            .remove("choices")
            .and_then(|mut choices| choices.get_mut(0).map(Value::take))
            .unwrap_or_default();
        let content = choice.pointer("/delta/content").or(choice.get("text"));
        if let Some(token_text) = content.and_then(Value::as_str) {
            self.text.push_str(token_text);
            self.token_count += 1;
        }
        if let Some(reason) = choice.get("finish_reason").filter(|r| !r.is_null()) {
            self.finish_reason = reason.clone();
        }
        self.common_fields = chunk;
    }

    /// Returns the response in the form that the engine uses when it does not stream.
    pub fn into_json(self) -> Value {
        let is_chat = self.common_fields.get("object") == Some(&json!("chat.completion.chunk"));
        let mut response = self.common_fields;
        let choice = if is_chat {
            response.insert("object".to_owned(), json!("chat.completion"));
            json!({"index": 0, "message": {"role": "assistant", "content": self.text}, "finish_reason": self.finish_reason})
        } else {
            json!({"index": 0, "text": self.text, "finish_reason": self.finish_reason})
        };
        response.insert("choices".to_owned(), json!([choice]));
        response.insert(
            "usage".to_owned(),
            json!({"completion_tokens": self.token_count}),
        );
        Value::Object(response)
    }
}

/// Returns the request body changed to ask for a stream. Returns `None` if the body is not a JSON
/// object, or if it asks for several choices, since their response cannot be assembled from a
/// stream.
pub fn to_streaming_request(body: &[u8]) -> Option<Vec<u8>> {
    let mut request: Map<String, Value> = serde_json::from_slice(body).ok()?;
    if request.get("n").is_some_and(|n| *n != json!(1)) {
        return None;
    }
    request.insert("stream".to_owned(), Value::Bool(true));
    serde_json::to_vec(&request).ok()
}
