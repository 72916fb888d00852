//! HTTP/1.1 client that works with single connections.
//!
//! `awc` and pooled clients hide which connection a request was sent on and whether its bytes were
//! written. Whether a request may be repeated depends on exactly that, so this crate works at
//! hyper's connection level.
//!
//! [`body`] reads the body of a response and tells how its end is marked. [`connection`] opens a
//! connection and sends one request at a time. If an unfinished exchange is dropped, it closes the
//! socket, and can reset it so that a request without a response is no longer delivered. [`pool`] keeps
//! idle connections for reuse, and [`exchange_ids`] tells what they have carried. [`transport`] is the
//! socket beneath them.

pub mod body;
pub mod connection;
pub mod exchange_ids;
pub mod pool;
pub mod transport;

/// The crate's modules, for `use foxwheel_http1::prelude::*`.
pub mod prelude {
    pub use crate::{body, connection, exchange_ids, pool, transport};
}
