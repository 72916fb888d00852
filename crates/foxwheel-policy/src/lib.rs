//! Scheduling, retry and membership decisions of the serving path, without input or output.
//!
//! Every function takes the current time and its inputs as arguments and opens no socket, so a
//! test can replay any order of events. The runtime (`foxwheel-node`) supplies the inputs.

pub mod admission;
pub mod backend_server;
pub mod batch;
pub mod caller_connections;
pub mod config_in_force;
pub mod drain_timing;
pub mod health;
pub mod hedging;
pub mod load_reports;
pub mod membership;
pub mod moving_average;
pub mod part_quarantine;
pub mod placement;
pub mod quarantine;
pub mod representatives;
pub mod retry;
pub mod routes;
pub mod server_changes;
pub mod server_index;
pub mod stopping;
pub mod stream_origin;
pub mod version_history;
pub mod watcher_selection;
pub mod zone_loads;

/// The decision modules, for `use foxwheel_policy::prelude::*`.
pub mod prelude {
    pub use crate::{
        admission, batch, caller_connections, config_in_force, drain_timing, health, hedging,
        load_reports, membership, part_quarantine, placement, quarantine, representatives, retry,
        routes, server_changes, server_index, stopping, stream_origin, version_history,
        watcher_selection, zone_loads,
    };
}
