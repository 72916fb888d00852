//! Access to the platform's object store under this project's own keys.
//!
//! [`api`] holds the types of objects, lists and watches, [`client::StoreClient`] calls the store
//! over HTTP, and [`reflector::Reflector`] keeps a local copy of all objects under a key prefix: it
//! lists them once and then watches for changes from the last revision it has seen.

pub mod api;
pub mod client;
pub mod reflector;

/// The crate's modules, for `use foxwheel_store::prelude::*`.
pub mod prelude {
    pub use crate::{api, client, reflector};
}
