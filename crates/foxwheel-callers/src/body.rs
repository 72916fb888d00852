//! Collects the body of a request in one buffer.

use bytes::Bytes;
use foxwheel_policy::caller_connections::NoRoom;

use crate::connections::{CallerConnection, HeldBytes};

/// Why a body is not read further.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyRefusal {
    /// The body is larger than it may be.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The process may not hold more for its callers.
    #[error(transparent)]
    NoRoom(#[from] NoRoom),
}

/// The part of a body that was received. What arrives is copied, because a small chunk would keep the
/// buffer alive that it was read into.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    held: HeldBytes,
    max_bytes: usize,
    announced_bytes: Option<usize>,
}

impl BodyBuffer {
    /// Begins a body of at most `max_bytes`. Returns an error if its head announces more.
    pub fn begin(
        connection: &CallerConnection,
        max_bytes: usize,
        announced_bytes: Option<u64>,
    ) -> Result<Self, BodyRefusal> {
        let announced_bytes = match announced_bytes.map(usize::try_from) {
            None => None,
            Some(Ok(bytes)) if bytes <= max_bytes => Some(bytes),
            Some(_) => return Err(BodyRefusal::TooLarge(max_bytes)),
        };
        Ok(Self {
            bytes: Vec::new(),
            held: connection.hold_nothing(),
            max_bytes,
            announced_bytes,
        })
    }

    /// Appends what has arrived.
    pub fn push(&mut self, data: &[u8]) -> Result<(), BodyRefusal> {
        let needed_bytes = self.bytes.len() + data.len();
        if needed_bytes > self.max_bytes {
            return Err(BodyRefusal::TooLarge(self.max_bytes));
        }
        if needed_bytes > self.bytes.capacity() {
            let largest = self.announced_bytes.unwrap_or(self.max_bytes);
            let capacity = (2 * self.bytes.capacity()).min(largest).max(needed_bytes);
            self.held.grow_to(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the body. What is held for it is given back when the last copy is dropped.
    pub fn finish(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.held.attach_to(self.bytes)
    }
}
