//! Follows a stream of server-sent events and tells whether it is between two events.
//!
//! Lines end with LF, CRLF or CR. A blank line ends an event. Lines that start with a colon are
//! comments and belong to no event.

/// What the current line holds so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

/// Position of a stream relative to its events, after the bytes that were passed to
/// [`Self::advance`].
#[derive(Debug, Clone, Copy, Default)]
pub struct EventBoundary {
    line: Line,
    /// Whether the current event has a complete field line.
    has_field: bool,
    /// Whether the last byte is a CR that may be the first half of a CRLF. The line is not ended
    /// until the next byte tells.
    pending_cr: bool,
    /// Whether an earlier line ended with a CR alone, so that each CR ends a line.
    ends_lines_with_cr: bool,
    event_count: u64,
    /// Number of bytes since the last blank line.
    partial_bytes: usize,
}

impl EventBoundary {
    /// Consumes `bytes` up to the end of the next blank line and returns how many these are.
    /// Returns `None` if all bytes were consumed without reaching one.
    pub fn advance(&mut self, bytes: &[u8]) -> Option<usize> {
        let consumed = self.advance_within(bytes);
        self.partial_bytes = match consumed {
            Some(_) => 0,
            None => self.partial_bytes.saturating_add(bytes.len()),
        };
        consumed
    }

    fn advance_within(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            if std::mem::take(&mut self.pending_cr) && *byte != b'\n' {
                self.ends_lines_with_cr = true;
                if self.end_line() {
                    // The blank line ended before this byte, which belongs to the next event.
                    return Some(index);
                }
            }
            let is_blank_line = match byte {
                b'\n' => self.end_line(),
                b'\r' if self.ends_lines_with_cr => self.end_line(),
                b'\r' => {
                    self.pending_cr = true;
                    false
                }
                _ => {
                    self.extend_line(*byte);
                    false
                }
            };
            if is_blank_line {
                return Some(index + 1);
            }
        }
        None
    }

    /// Consumes all of `bytes`.
    pub fn advance_to_end(&mut self, mut bytes: &[u8]) {
        while let Some(consumed) = self.advance(bytes) {
            bytes = &bytes[consumed..];
        }
    }

    /// Returns whether the stream is within an event or within a line.
    pub fn is_within_event(&self) -> bool {
        self.has_field || self.line != Line::Empty
    }

    /// Returns the number of bytes since the end of the last event or block of comments.
    pub fn partial_bytes(&self) -> usize {
        self.partial_bytes
    }

    /// Returns the number of events that are complete. Blocks of comments are not counted.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    fn extend_line(&mut self, byte: u8) {
        if self.line == Line::Empty {
            self.line = match byte {
                b':' => Line::Comment,
                _ => Line::Field,
            };
        }
    }

    /// Ends the current line. Returns whether it is blank.
    fn end_line(&mut self) -> bool {
        match std::mem::take(&mut self.line) {
            Line::Empty => {
                self.event_count += u64::from(std::mem::take(&mut self.has_field));
                return true;
            }
            Line::Comment => {}
            Line::Field => self.has_field = true,
        }
        false
    }
}
