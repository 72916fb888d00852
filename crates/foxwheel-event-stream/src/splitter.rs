//! Splits a stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

use crate::boundary::EventBoundary;

/// A complete event, or a block of comments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The bytes as received, including the blank line that ends the event.
    pub bytes: Bytes,
    /// The event id, if the event has one that is a number.
    pub id: Option<u64>,
}

impl Event {
    /// Returns the values of the `data` lines, joined by line feeds. Invalid UTF-8 is replaced.
    pub fn data(&self) -> String {
        let text = String::from_utf8_lossy(&self.bytes);
        let lines: Vec<&str> = text
            .split(['\n', '\r'])
            .filter_map(|line| line.strip_prefix("data:"))
            .map(|data| data.strip_prefix(' ').unwrap_or(data))
            .collect();
        lines.join("\n")
    }
}

/// Buffers received bytes and returns the complete events among them.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that `boundary` has consumed. They hold no end of an
    /// event.
    scanned_bytes: usize,
    boundary: EventBoundary,
}

impl EventSplitter {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer and returns it; `None` if more bytes are
    /// needed.
    pub fn next_event(&mut self) -> Option<Event> {
        let unscanned = &self.buffer[self.scanned_bytes..];
        let Some(consumed) = self.boundary.advance(unscanned) else {
            self.scanned_bytes = self.buffer.len();
            return None;
        };
        let end = std::mem::take(&mut self.scanned_bytes) + consumed;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns whether bytes were pushed after the last complete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        std::mem::take(self).buffer.freeze()
    }

    /// Discards the bytes after the last complete event. The next bytes start a new stream.
    pub fn discard_partial_event(&mut self) {
        *self = Self::default();
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok())
        .and_then(|id| id.trim().parse().ok())
}
