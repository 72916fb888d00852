//! Backend servers that restart under a new id or the same one, and server list entries that other
//! writers make invalid.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{call, server_entry, server_shapes, Fleet, FleetPlan};
use foxwheel_node::settings::Role;
use foxwheel_server_emu::server::{self, Server, ServerConfig};
use hyper::{Method, StatusCode};
use serde_json::{json, Value};

/// Within this time a process has received a change of the list of servers.
const LIST_CHANGE_DELAY: Duration = Duration::from_millis(500);

async fn start_server(fleet: &Fleet, id: &str) -> Server {
    let ip = "127.0.0.1".parse().expect("an address");
    let shape = ServerConfig {
        id: id.to_owned(),
        ..ServerConfig::default()
    };
    let started = server::start(ip, shape, fleet.cancel.clone()).await;
    started.expect("server starts")
}

fn entry_of_instance(addr: SocketAddr, incarnation: u64) -> Value {
    let mut entry = server_entry(addr, "ready");
    entry["born"] = json!(incarnation);
    entry
}

/// Sends `count` requests and asserts that each is served. Returns how many ran at `server`.
async fn serve_requests(front: SocketAddr, name: &str, count: usize, server: &Server) -> usize {
    for index in 0..count {
        let id = format!("{name}-{index}");
        let response = call(front, Method::POST, "/once/a", &id, &[], "").await;
        assert_eq!(response.expect("a response").status, StatusCode::OK, "{id}");
    }
    let runs = server.run_log.all_runs();
    let named_runs = runs.iter().filter(|run| run.request_id.starts_with(name));
    named_runs.count()
}

/// Eight of ten listed servers have restarted while the list still shows their old instances. Their
/// addresses respond as other instances, and they look best as they have no load. Requests that may
/// run only once are still served by the other two servers, also at a front that has never sent
/// requests to the eight.
#[actix_web::test]
async fn servers_restarted_without_a_list_update_fail_no_request() {
    let fleet = Fleet::start(FleetPlan {
        fronts: 2,
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    for index in 0..8 {
        let restarted = start_server(&fleet, &format!("restarted-{index}")).await;
        fleet
            .register_server(&format!("listed-{index}"), restarted.addr, "ready")
            .await;
    }
    tokio::time::sleep(LIST_CHANGE_DELAY).await;
    for front in [fleet.fronts[0], fleet.fronts[1]] {
        serve_requests(front, &format!("at-{front}"), 12, &fleet.servers[0]).await;
    }
    fleet.cancel.cancel();
}

/// An entry that another writer made invalid takes its server out of use, and no other server. A
/// process that starts meanwhile serves, too. A valid entry brings the server back into use.
#[actix_web::test]
async fn invalid_entry_removes_only_its_own_server() {
    let mut fleet = Fleet::start(FleetPlan {
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let addr = fleet.servers[0].addr;
    let entry_without = |field: &str| {
        let mut entry = server_entry(addr, "ready");
        entry.as_object_mut().expect("an object").remove(field);
        entry
    };
    let invalid_entries = [
        json!("bytes that say nothing"),
        Value::Null,
        entry_without("zone"),
        entry_without("slots"),
        server_entry(addr, "asleep"),
    ];
    for (index, spec) in invalid_entries.iter().enumerate() {
        fleet.write_server_entry("server-0", spec).await;
        tokio::time::sleep(LIST_CHANGE_DELAY).await;
        let name = format!("invalid-{index}");
        let run_count = serve_requests(fleet.fronts[0], &name, 6, &fleet.servers[0]).await;
        assert_eq!(run_count, 0, "requests ran at the server of entry {spec}");
    }
    fleet.add_process(Role::Front).await;
    let late_front = *fleet.fronts.last().expect("a front");
    fleet.wait_until_serving(late_front).await;
    assert_eq!(
        serve_requests(late_front, "late", 6, &fleet.servers[0]).await,
        0
    );
    fleet.register_server("server-0", addr, "ready").await;
    tokio::time::sleep(LIST_CHANGE_DELAY).await;
    for (index, front) in [fleet.fronts[0], late_front].into_iter().enumerate() {
        let run_count =
            serve_requests(front, &format!("valid-{index}"), 12, &fleet.servers[0]).await;
        assert!(run_count > 0, "the server is not used again");
    }
    fleet.cancel.cancel();
}

/// A server that restarts under the same id at another address is used at that address. Entries
/// that its earlier instance still writes are ignored.
#[actix_web::test]
async fn latest_instance_of_a_server_id_is_used() {
    let fleet = Fleet::start(FleetPlan {
        servers: server_shapes(1),
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let front = fleet.fronts[0];
    fleet
        .write_server_entry("server-0", &entry_of_instance(fleet.servers[0].addr, 1_000))
        .await;
    let later = start_server(&fleet, "server-0").await;
    fleet
        .write_server_entry("server-0", &entry_of_instance(later.addr, 2_000))
        .await;
    tokio::time::sleep(LIST_CHANGE_DELAY).await;
    assert_eq!(serve_requests(front, "later", 6, &later).await, 6);
    fleet
        .write_server_entry("server-0", &entry_of_instance(fleet.servers[0].addr, 1_000))
        .await;
    tokio::time::sleep(LIST_CHANGE_DELAY).await;
    assert_eq!(serve_requests(front, "stale", 6, &later).await, 6);
    fleet.cancel.cancel();
}
