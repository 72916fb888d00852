//! Splits a byte stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// A complete event.
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
            .lines()
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
}

impl EventSplitter {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer and returns it; `None` if more bytes are
    /// needed.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns whether the buffer holds bytes of an event that is not complete yet.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Discards the bytes of an event that will never be completed, as its stream ended.
    pub fn discard_partial_event(&mut self) {
        self.buffer.clear();
    }
}

/// Returns the position after the first blank line.
fn event_end(buffer: &[u8]) -> Option<usize> {
    memchr::memchr_iter(b'\n', buffer).find_map(|index| match &buffer[index + 1..] {
        [b'\n', ..] => Some(index + 2),
        [b'\r', b'\n', ..] => Some(index + 3),
        _ => None,
    })
}

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|id| std::str::from_utf8(id).ok())
        .and_then(|id| id.trim().parse().ok())
}
