//! Backend servers that crash under one request, and the limits that then apply.

use std::time::Duration;

use foxwheel_server_emu::server::ServerConfig;

/// Body of the request that crashes the servers.
pub const CRASHING_BODY: &str = "a prompt that the engine cannot stand";

/// Time after which a quarantine must be known to every process.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Number of servers that must crash under a request before it is quarantined.
pub const CRASHES_TO_QUARANTINE: usize = 3;

/// Maximum number of servers that a quarantined request may still reach.
pub const MAX_RUNS_IN_QUARANTINE: usize = 3;

/// Returns `count` servers that crash on [`CRASHING_BODY`].
pub fn shapes(count: usize) -> Vec<ServerConfig> {
    let shapes = super::server_shapes(count).into_iter();
    let crashing_shapes = shapes.map(|shape| ServerConfig {
        crashing_body: Some(CRASHING_BODY.to_owned()),
        ..shape
    });
    crashing_shapes.collect()
}
