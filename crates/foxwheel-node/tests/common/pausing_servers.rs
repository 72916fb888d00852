//! Backend servers that pause within their streams and go on.

use std::time::Duration;

use foxwheel_server_emu::runs::Run;
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

/// Checks the runs of each request: at most two, and a server that was asked earlier had stopped
/// working on it soon after the next one began.
pub fn check_runs(fleet: &Fleet, request_ids: &[&str]) {
    for id in request_ids {
        let runs = runs_in_order_asked(fleet, id);
        assert!(runs.len() <= 2, "{id}: {} runs", runs.len());
        for pair in runs.windows(2) {
            let ended_at = pair[0].ended_at.expect("the earlier run has ended");
            let overlap = ended_at.saturating_duration_since(pair[1].started_at);
            assert!(overlap < MAX_OVERLAP, "{id}: {overlap:?}");
        }
    }
}

/// Returns the runs of a request in the order in which it arrived at their servers. In a server's queue
/// a request may begin later than at one that was asked after it.
fn runs_in_order_asked(fleet: &Fleet, id: &str) -> Vec<Run> {
    let mut runs = Vec::new();
    for server in &fleet.servers {
        let arrivals = server.run_log.arrivals().into_iter();
        let arrivals = arrivals.filter(|arrival| arrival.request_id == id);
        let own_runs = server.run_log.runs_of(id);
        runs.extend(arrivals.map(|arrival| arrival.received_at).zip(own_runs));
    }
    runs.sort_by_key(|(asked_at, _)| *asked_at);
    runs.into_iter().map(|(_, run)| run).collect()
}

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
