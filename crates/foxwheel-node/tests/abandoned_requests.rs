//! A front gave a request up, and its bytes, which a broken path held back, still reached the
//! backend server when the path was whole again, seconds after the server had begun to drain.
//! The caller had been told of a failure by then, and the server worked for nobody.

mod common;

use std::time::Duration;

use common::{call, caller, connect, request, submit, Fleet, FleetPlan};
use foxwheel_server_emu::server::{self, Shape};
use foxwheel_soak::proxy::{Path, PathFault};
use hyper::{Method, StatusCode};

/// By then a front knows of a change of the servers' list.
const KNOWN_AFTER: Duration = Duration::from_millis(500);

/// By then what a path held back has arrived and was begun.
const DELIVERED_AFTER: Duration = Duration::from_millis(700);

/// A front and a worker before one server, behind a path that can be broken. The connections
/// of an earlier request are kept.
async fn fleet_behind_path() -> (Fleet, Path) {
    let mut fleet = Fleet::start(FleetPlan {
        servers: common::server_shapes(1),
        ..FleetPlan::default()
    })
    .await;
    let shape = Shape {
        id: "far".to_owned(),
        ..Shape::default()
    };
    let localhost = std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);
    let far = server::start(localhost, shape, fleet.cancel.clone()).await;
    let far = far.expect("server starts");
    let any = std::net::SocketAddr::new(localhost, 0);
    let path = Path::open(any, far.addr, fleet.cancel.clone()).await;
    let path = path.expect("a path");
    let near = fleet.servers[0].addr;
    fleet.register_server("server-0", near, "draining").await;
    fleet.register_server("far", path.addr, "ready").await;
    fleet.servers.push(far);
    common::wait_for_status(fleet.fronts[0], "/plain/first", StatusCode::OK).await;
    tokio::time::sleep(KNOWN_AFTER).await;
    (fleet, path)
}

/// Has the far server drain, makes the path whole and gives what it held back time to arrive.
async fn drain_and_heal(fleet: &Fleet, path: &Path) {
    fleet.register_server("far", path.addr, "draining").await;
    tokio::time::sleep(KNOWN_AFTER).await;
    path.heal();
    tokio::time::sleep(DELIVERED_AFTER).await;
}

/// Whether a request reached any server.
fn arrived(fleet: &Fleet, request_id: &str) -> bool {
    let arrivals = fleet.servers.iter().flat_map(|one| one.runs.arrivals());
    let mut ids = arrivals.map(|arrival| arrival.request_id);
    ids.any(|id| id == request_id)
}

#[actix_web::test]
async fn a_request_that_its_front_gave_up_reaches_no_server_later() {
    let (fleet, path) = fleet_behind_path().await;
    for route in ["/plain/a", "/stream/a", "/once/a"] {
        fleet.register_server("far", path.addr, "ready").await;
        common::wait_for_status(fleet.fronts[0], "/plain/again", StatusCode::OK).await;
        path.set(PathFault::Silence);
        let id = format!("given-up{route}");
        let answer = call(fleet.fronts[0], Method::POST, route, &id, &[], "").await;
        let status = answer.expect("an answer").status;
        assert!(status.is_server_error(), "{route}: {status}");
        drain_and_heal(&fleet, &path).await;
        assert!(!arrived(&fleet, &id), "{route}");
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn a_request_whose_caller_left_reaches_no_server_later() {
    let (fleet, path) = fleet_behind_path().await;
    path.set(PathFault::Silence);
    for route in ["/plain/a", "/stream/a", "/once/a"] {
        let mut caller = connect(fleet.fronts[0]).await.expect("connected");
        let asked = request(Method::POST, route, &format!("left{route}"), &[], "");
        let waited = tokio::time::timeout(Duration::from_millis(200), caller.send(asked));
        assert!(waited.await.is_err(), "{route} was answered");
    }
    drain_and_heal(&fleet, &path).await;
    for route in ["/plain/a", "/stream/a", "/once/a"] {
        assert!(!arrived(&fleet, &format!("left{route}")), "{route}");
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn an_item_whose_job_was_ended_reaches_no_server_later() {
    let (fleet, path) = fleet_behind_path().await;
    path.set(PathFault::Silence);
    let taken = submit(fleet.fronts[0], "ended", 1).await.expect("answered");
    assert_eq!(taken.status, StatusCode::ACCEPTED);
    // The item's run is on its way by then.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let ended = caller::end(fleet.fronts[0], "ended").await;
    assert_eq!(ended.expect("answered").status, StatusCode::OK);
    drain_and_heal(&fleet, &path).await;
    assert!(!arrived(&fleet, &caller::item_id("ended", 0)));
    fleet.cancel.cancel();
}
