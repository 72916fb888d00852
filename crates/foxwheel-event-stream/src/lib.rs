//! Server-sent events in a stream of bytes.
//!
//! [`boundary`] follows a stream and tells whether it is within an event, without keeping its
//! bytes. [`splitter`] buffers a stream and returns its complete events.

pub mod boundary;
pub mod splitter;

/// The crate's modules, for `use foxwheel_event_stream::prelude::*`.
pub mod prelude {
    pub use crate::{boundary, splitter};
}
