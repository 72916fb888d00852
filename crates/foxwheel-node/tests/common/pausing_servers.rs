//! Backend servers that pause within their streams and go on.

use std::time::Duration;

use foxwheel_server_emu::server::ServerConfig;

use super::{Fleet, FleetPlan};

/// Number of events of a complete stream.
pub const EVENTS: u64 = 8;

/// Time between two events.
pub const STEP_TIME: Duration = Duration::from_millis(25);

/// A stream pauses after this number of events.
pub const EVENTS_BEFORE_PAUSE: u64 = 2;

/// Longer than any silence after which a front tries another server.
pub const PAUSE: Duration = Duration::from_millis(1_300);

/// A server that is given up must have stopped working on a request so soon after another one began.
pub const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Returns the shape of the server with this number. It has slots for all calls of a test.
pub fn shape(number: usize) -> ServerConfig {
    ServerConfig {
        id: format!("server-{number}"),
        slots: 64,
        events_per_stream: EVENTS,
        step_time: STEP_TIME,
        ..ServerConfig::default()
    }
}

/// Starts a front and servers of these shapes.
pub async fn start_fleet(servers: Vec<ServerConfig>) -> Fleet {
    Fleet::start(FleetPlan {
        servers,
        workers: 0,
        ..FleetPlan::default()
    })
    .await
}
