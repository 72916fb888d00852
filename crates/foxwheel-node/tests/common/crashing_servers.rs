//! Servers that crash under one request, and what must hold then.

use std::time::Duration;

use foxwheel_server_emu::server::Shape;

/// Body of the request that crashes servers.
pub const CRASHING_BODY: &str = "a prompt that the engine cannot stand";

/// The shortest time within which a decision must be known everywhere.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Crashes of servers under one request after which it is known.
pub const CRASHES_TO_QUARANTINE: usize = 3;

/// Servers that it may still reach then.
pub const MAX_RUNS_IN_QUARANTINE: usize = 3;

/// `count` servers that crash on [`CRASHING_BODY`].
pub fn shapes(count: usize) -> Vec<Shape> {
    let shapes = super::server_shapes(count).into_iter();
    let crashing_servers = shapes.map(|shape| Shape {
        crashes_on: Some(CRASHING_BODY.to_owned()),
        ..shape
    });
    crashing_servers.collect()
}
