//! For tests: many callers at once that do not behave, the process that they call, and what it holds
//! meanwhile.
//!
//! [`callers`] are the callers. [`process`] runs a program of this workspace. [`usage`] measures the
//! memory and the open files of a process.

pub mod callers;
pub mod process;
pub mod usage;

/// The crate's modules, for `use foxwheel_crowd::prelude::*`.
pub mod prelude {
    pub use crate::{callers, process, usage};
}
