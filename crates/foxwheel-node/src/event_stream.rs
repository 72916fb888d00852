//! Splitting a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes as they came, with the blank line behind it.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

impl Event {
    /// Its data: the data lines joined by line feeds.
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

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether bytes of an event that is not whole yet are left.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the bytes of an event that will not become whole.
    pub fn clear(&mut self) {
        self.buffer.clear();
    }
}

/// The position behind the first blank line.
fn event_end(buffer: &[u8]) -> Option<usize> {
    memchr::memchr_iter(b'\n', buffer).find_map(|at| match &buffer[at + 1..] {
        [b'\n', ..] => Some(at + 2),
        [b'\r', b'\n', ..] => Some(at + 3),
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
