//! The connections of callers to a process, and the memory that they may make it hold.
//!
//! [`connections`] keeps the connections of a process and closes those that
//! [`foxwheel_policy::caller_connections`] chooses. [`listener`] accepts them, and [`transport`] is the
//! socket of one. [`body`] collects the bodies of requests. [`host`] derives the limits of all of them
//! from those of the host.

pub mod body;
pub mod connections;
pub mod host;
pub mod listener;
pub mod transport;

/// The crate's modules, for `use foxwheel_callers::prelude::*`.
pub mod prelude {
    pub use crate::{body, connections, host, listener, transport};
}
