//! Collects the body of a request in one buffer.

use std::time::Instant;

use bytes::Bytes;
use foxwheel_policy::caller_connections::{NoRoom, SMALL_BYTES};

use crate::connections::{CallerConnection, HeldBytes};

/// The buffer of a body doubles as it grows, by this much at most.
const MAX_GROWTH_BYTES: usize = 512 * 1024;

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
            announced_bytes,
            ..Self::new(connection, max_bytes)
        })
    }

    /// Begins a body of at most `max_bytes` whose length is not known.
    pub fn new(connection: &CallerConnection, max_bytes: usize) -> Self {
        Self {
            bytes: Vec::new(),
            held: connection.hold_nothing(),
            max_bytes,
            announced_bytes: None,
        }
    }

    /// Appends what has arrived.
    pub fn push(&mut self, data: &[u8]) -> Result<(), BodyRefusal> {
        let needed_bytes = self.bytes.len() + data.len();
        if needed_bytes > self.max_bytes {
            return Err(BodyRefusal::TooLarge(self.max_bytes));
        }
        let capacity = self.bytes.capacity();
        if needed_bytes > capacity {
            let grown = capacity + capacity.min(MAX_GROWTH_BYTES);
            let grown = grown.min(self.largest_bytes()).max(needed_bytes);
            self.held.grow_to(grown)?;
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Does the same as [`Self::push`], and waits for room until `deadline`. A body that is not small
    /// waits for all the room that it may need: bodies that each have a part of it could wait for each
    /// other.
    pub async fn push_until(&mut self, data: &[u8], deadline: Instant) -> Result<(), BodyRefusal> {
        if self.bytes.len() + data.len() > SMALL_BYTES {
            let largest_bytes = self.largest_bytes();
            self.held.grow_until(largest_bytes, deadline).await?;
        }
        self.push(data)
    }

    /// Returns the size of the largest body that this may become.
    fn largest_bytes(&self) -> usize {
        self.announced_bytes.unwrap_or(self.max_bytes)
    }

    /// Returns the body. What is held for it is given back when the last copy is dropped.
    pub fn finish(mut self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.held.shrink_to(self.bytes.capacity());
        self.held.attach_to(self.bytes)
    }
}
