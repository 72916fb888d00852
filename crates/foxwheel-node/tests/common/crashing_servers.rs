//! Backend servers that crash under one request, and the limits that then apply.

use std::time::Duration;

use foxwheel_server_emu::server::{Server, ServerConfig};

use super::Fleet;

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

/// Returns shapes of `count` servers whose streams take about 200 ms.
pub fn slow_shapes(count: usize) -> Vec<ServerConfig> {
    let shapes = super::server_shapes(count).into_iter();
    let slow_shapes = shapes.map(|shape| ServerConfig {
        events_per_stream: 40,
        step_time: Duration::from_millis(5),
        ..shape
    });
    slow_shapes.collect()
}

/// Returns the server that runs the request now, or `None` if no server does.
pub fn busy_server<'a>(fleet: &'a Fleet, request_id: &str) -> Option<&'a Server> {
    fleet.servers.iter().find(|server| {
        let runs = server.run_log.runs_of(request_id);
        !server.has_terminated() && runs.iter().any(|run| run.completed.is_none())
    })
}

/// Waits until a server runs the request.
pub async fn wait_until_running(fleet: &Fleet, request_id: &str) {
    while busy_server(fleet, request_id).is_none() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Terminates each server that starts to run the request, some time after its start. Never returns.
pub async fn terminate_each_server_of(fleet: &Fleet, request_id: &str) {
    loop {
        tokio::time::sleep(Duration::from_millis(2)).await;
        if let Some(server) = busy_server(fleet, request_id) {
            tokio::time::sleep(Duration::from_millis(40)).await;
            server.terminate();
        }
    }
}

/// Returns the number of servers that have ended.
pub fn ended_servers(fleet: &Fleet) -> usize {
    let servers = fleet.servers.iter();
    servers.filter(|server| server.has_terminated()).count()
}
