//! The OpenAI-compatible requests and responses of the emulator.
//!
//! Only the fields that foxwheel depends on are declared. Unknown fields of a request are
//! ignored, as real engines do.

use serde::{Deserialize, Serialize};

/// Number of tokens generated for a request without `max_tokens`.
pub const DEFAULT_MAX_TOKENS: usize = 16;

/// A chat message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text of the message.
    pub content: String,
}

/// A completion request: a chat request with `messages`, or a plain request with `prompt`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The requested model.
    pub model: String,
    /// The messages of a chat request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<Message>,
    /// The prompt of a plain request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Number of tokens to generate, [`DEFAULT_MAX_TOKENS`] if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<usize>,
    /// Whether the response is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl CompletionRequest {
    /// Returns the text that the response depends on: the prompt, or else the contents of the
    /// messages joined by newlines.
    pub fn prompt_text(&self) -> String {
        match &self.prompt {
            Some(prompt) => prompt.clone(),
            None => self
                .messages
                .iter()
                .map(|message| message.content.as_str())
                .collect::<Vec<_>>()
                .join("\n"),
        }
    }

    /// Returns the number of tokens to generate.
    pub fn max_tokens(&self) -> usize {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Returns whether this is a chat request.
    pub fn is_chat(&self) -> bool {
        self.prompt.is_none()
    }
}

/// The token counts of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens of the prompt.
    pub prompt_tokens: usize,
    /// Number of generated tokens.
    pub completion_tokens: usize,
    /// Sum of both counts.
    pub total_tokens: usize,
}

/// Returns the body of a response that is not streamed.
pub fn full_response(
    id: &str,
    request: &CompletionRequest,
    text: &str,
    usage: Usage,
) -> serde_json::Value {
    let choice = if request.is_chat() {
        serde_json::json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "length"})
    } else {
        serde_json::json!({"index": 0, "text": text, "finish_reason": "length"})
    };
    let object = if request.is_chat() {
        "chat.completion"
    } else {
        "text_completion"
    };
    serde_json::json!({
        "id": id,
        "object": object,
        "model": request.model,
        "choices": [choice],
        "usage": usage,
    })
}

/// Returns one chunk of a streamed response with the text `piece`. The last chunk, with
/// `is_last`, carries a finish reason.
pub fn stream_chunk(
    id: &str,
    request: &CompletionRequest,
    piece: &str,
    is_last: bool,
) -> serde_json::Value {
    let finish_reason = is_last.then_some("length");
    let choice = if request.is_chat() {
        serde_json::json!({"index": 0, "delta": {"content": piece}, "finish_reason": finish_reason})
    } else {
        serde_json::json!({"index": 0, "text": piece, "finish_reason": finish_reason})
    };
    let object = if request.is_chat() {
        "chat.completion.chunk"
    } else {
        "text_completion"
    };
    serde_json::json!({"id": id, "object": object, "model": request.model, "choices": [choice]})
}

/// Returns the text of a chunk or of a full response, of a chat or of a plain request; `None` if
/// `value` is neither.
pub fn extract_text(value: &serde_json::Value) -> Option<&str> {
    let choice = value.get("choices")?.get(0)?;
    choice
        .get("delta")
        .and_then(|delta| delta.get("content"))
        .or_else(|| {
            choice
                .get("message")
                .and_then(|message| message.get("content"))
        })
        .or_else(|| choice.get("text"))
        .and_then(|text| text.as_str())
}
