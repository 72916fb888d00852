//! Servers that crash under one request, and what must hold then.

use std::time::Duration;

use foxwheel_server_emu::server::Shape;

/// Body of the request that crashes servers.
pub const CRASH: &str = "a prompt that the engine cannot stand";

/// The shortest time within which a decision must be known everywhere.
pub const STABLE_AFTER: Duration = Duration::from_secs(3);

/// Crashes of servers under one request after which it is known.
pub const ENOUGH_CRASHES: usize = 3;

/// Servers that it may still reach then.
pub const MOST_RETRIES: usize = 3;

/// `count` servers that crash on [`CRASH`].
pub fn shapes(count: usize) -> Vec<Shape> {
    let shapes = super::shapes(count).into_iter();
    let frail = shapes.map(|shape| Shape {
        crashes_on: Some(CRASH.to_owned()),
        ..shape
    });
    frail.collect()
}
