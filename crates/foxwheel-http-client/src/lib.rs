//! HTTP/1.1 client for calls by URL.
//!
//! `awc` returns a response that was cut off as a complete one, so this crate uses
//! `foxwheel-http1`, which tells the two apart.
//!
//! [`client`] sends requests and reads responses. [`forward`] passes the requests of an actix-web
//! server on and relays the responses to its callers.

pub mod client;
pub mod forward;

/// The crate's modules, for `use foxwheel_http_client::prelude::*`.
pub mod prelude {
    pub use crate::{client, forward};
}
