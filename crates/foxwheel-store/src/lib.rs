//! The platform object API as foxwheel speaks it.
//!
//! [`api`] holds the wire types, [`client::StoreClient`] calls the API over HTTP, and
//! [`reflector::Reflector`] keeps a local copy of a key prefix by listing once and then
//! watching from the last version seen.

pub mod api;
pub mod client;
pub mod reflector;

/// The store's types for `use foxwheel_store::prelude::*`.
pub mod prelude {
    pub use crate::{api, client, reflector};
}
