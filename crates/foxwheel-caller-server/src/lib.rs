//! What an actix-web server needs so that its callers share the memory and the open files of its host.
//!
//! [`connections`] registers the connections and closes those that must make room. [`request_body`]
//! reads the bodies of requests. [`response_body`] follows how far callers have read the responses.

pub mod connections;
pub mod request_body;
pub mod response_body;

/// The crate's modules, for `use foxwheel_caller_server::prelude::*`.
pub mod prelude {
    pub use crate::{connections, request_body, response_body};
}
