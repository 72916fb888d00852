//! Backend servers that start again, under a new id or the one they had, and entries that
//! other writers spoil.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{call, server_entry, server_shapes, Fleet, FleetPlan};
use foxwheel_node::settings::Role;
use foxwheel_server_emu::server::{self, Server, Shape};
use hyper::{Method, StatusCode};
use serde_json::{json, Value};

/// How long a change of the list may take to be known to a process.
const KNOWN_AFTER: Duration = Duration::from_millis(500);

async fn start_server(fleet: &Fleet, id: &str) -> Server {
    let ip = "127.0.0.1".parse().expect("an address");
    let shape = Shape {
        id: id.to_owned(),
        ..Shape::default()
    };
    let started = server::start(ip, shape, fleet.cancel.clone()).await;
    started.expect("server starts")
}

fn started(addr: SocketAddr, incarnation: u64) -> Value {
    let mut entry = server_entry(addr, "ready");
    entry["born"] = json!(incarnation);
    entry
}

/// Sends `count` requests; asserts that each is served, and answers how many ran at `server`.
async fn served(front: SocketAddr, name: &str, count: usize, server: &Server) -> usize {
    for at in 0..count {
        let id = format!("{name}-{at}");
        let answer = call(front, Method::POST, "/once/a", &id, &[], "").await;
        assert_eq!(answer.expect("answered").status, StatusCode::OK, "{id}");
    }
    let runs = server.runs.all();
    let of_name = runs.iter().filter(|run| run.request_id.starts_with(name));
    of_name.count()
}

/// Of ten listed servers eight started again while the list cannot show it: their addresses
/// answer as other instances, and having no load they look best. Requests that may run once
/// are served by the two that are left, at a front that never met the eight too.
#[actix_web::test]
async fn servers_that_started_again_behind_a_cut_cost_no_request() {
    let fleet = Fleet::start(FleetPlan {
        fronts: 2,
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    for at in 0..8 {
        let reborn = start_server(&fleet, &format!("reborn-{at}")).await;
        fleet
            .register_server(&format!("listed-{at}"), reborn.addr, "ready")
            .await;
    }
    tokio::time::sleep(KNOWN_AFTER).await;
    for front in [fleet.fronts[0], fleet.fronts[1]] {
        served(front, &format!("at-{front}"), 12, &fleet.servers[0]).await;
    }
    fleet.cancel.cancel();
}

/// What other writers make of a server's entry takes that server out of use at once, and no
/// other; a process that starts meanwhile serves too. A whole entry brings it back.
#[actix_web::test]
async fn a_spoiled_entry_takes_one_server_out_and_no_other() {
    let mut fleet = Fleet::start(FleetPlan {
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let addr = fleet.servers[0].addr;
    let without = |field: &str| {
        let mut spoiled = server_entry(addr, "ready");
        spoiled.as_object_mut().expect("an object").remove(field);
        spoiled
    };
    let spoiled = [
        json!("bytes that say nothing"),
        Value::Null,
        without("zone"),
        without("slots"),
        server_entry(addr, "asleep"),
    ];
    for (at, spec) in spoiled.iter().enumerate() {
        fleet.write_server_entry("server-0", spec).await;
        tokio::time::sleep(KNOWN_AFTER).await;
        let name = format!("spoiled-{at}");
        let ran = served(fleet.fronts[0], &name, 6, &fleet.servers[0]).await;
        assert_eq!(ran, 0, "{spec} named a server");
    }
    fleet.add_process(Role::Front).await;
    let late = *fleet.fronts.last().expect("a front");
    fleet.wait_until_serving(late).await;
    assert_eq!(served(late, "late", 6, &fleet.servers[0]).await, 0);
    fleet.register_server("server-0", addr, "ready").await;
    tokio::time::sleep(KNOWN_AFTER).await;
    for (at, front) in [fleet.fronts[0], late].into_iter().enumerate() {
        let ran = served(front, &format!("whole-{at}"), 12, &fleet.servers[0]).await;
        assert!(ran > 0, "the server is used again");
    }
    fleet.cancel.cancel();
}

/// A server that starts again under its id at another address is used there; what its
/// earlier start still writes changes nothing.
#[actix_web::test]
async fn a_later_start_under_the_same_id_is_the_one_that_serves() {
    let fleet = Fleet::start(FleetPlan {
        servers: server_shapes(1),
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let front = fleet.fronts[0];
    fleet
        .write_server_entry("server-0", &started(fleet.servers[0].addr, 1_000))
        .await;
    let later = start_server(&fleet, "server-0").await;
    fleet
        .write_server_entry("server-0", &started(later.addr, 2_000))
        .await;
    tokio::time::sleep(KNOWN_AFTER).await;
    assert_eq!(served(front, "later", 6, &later).await, 6);
    fleet
        .write_server_entry("server-0", &started(fleet.servers[0].addr, 1_000))
        .await;
    tokio::time::sleep(KNOWN_AFTER).await;
    assert_eq!(served(front, "stale", 6, &later).await, 6);
    fleet.cancel.cancel();
}
