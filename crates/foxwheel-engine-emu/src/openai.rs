//! The OpenAI-compatible request and answer shapes the emulator reads and writes.
//!
//! Only the fields foxwheel relies on are typed; unknown request fields are ignored, as
//! engines do.

use serde::{Deserialize, Serialize};

/// Tokens answered when the request names no `max_tokens`.
pub const DEFAULT_MAX_TOKENS: usize = 16;

/// One chat message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// A chat or plain completion request; `messages` for chat, `prompt` for plain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// The model asked for.
    pub model: String,
    /// Chat messages.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub messages: Vec<Message>,
    /// Plain prompt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// Tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<usize>,
    /// Whether to stream server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl CompletionRequest {
    /// The text the answer depends on: the prompt, or the messages joined by newlines.
    pub fn prompt_text(&self) -> String {
        match &self.prompt {
            Some(p) => p.clone(),
            None => self
                .messages
                .iter()
                .map(|m| m.content.as_str())
                .collect::<Vec<_>>()
                .join("\n"),
        }
    }

    /// Tokens to generate.
    pub fn max_tokens(&self) -> usize {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Whether this is a chat request.
    pub fn is_chat(&self) -> bool {
        self.prompt.is_none()
    }
}

/// Token counts of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: usize,
    /// Generated tokens.
    pub completion_tokens: usize,
    /// Both.
    pub total_tokens: usize,
}

/// Builds the whole (non-streamed) answer body.
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

/// Builds one streamed chunk carrying `piece`; `finish` on the last.
pub fn stream_chunk(
    id: &str,
    request: &CompletionRequest,
    piece: &str,
    finish: bool,
) -> serde_json::Value {
    let finish_reason = finish.then_some("length");
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

/// The text of one chunk or whole answer, whichever shape it has.
pub fn extract_text(value: &serde_json::Value) -> Option<&str> {
    let choice = value.get("choices")?.get(0)?;
    choice
        .get("delta")
        .and_then(|d| d.get("content"))
        .or_else(|| choice.get("message").and_then(|m| m.get("content")))
        .or_else(|| choice.get("text"))
        .and_then(|t| t.as_str())
}
