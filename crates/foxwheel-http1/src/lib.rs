//! Single HTTP/1.1 client connections.
//!
//! `awc` and pooled clients hide which connection a request went out on and whether its
//! bytes were written. What may be repeated depends on exactly that, so this crate works
//! at hyper's connection level: [`connection`] opens one, sends one request at a time, and
//! when an unfinished exchange is dropped closes the socket, and takes back a request that
//! was not answered.

pub mod connection;
pub mod pool;
mod transport;

/// The crate's modules, for `use foxwheel_http1::prelude::*`.
pub mod prelude {
    pub use crate::{connection, pool};
}
