//! Guards against requests that reach a backend server after their front has given them up. The
//! bytes of a request that an interrupted network path delays may arrive once the path recovers,
//! seconds after the server has started to drain. The caller has received an error by then, so
//! that the server would run a request that nobody waits for.

mod common;

use std::time::Duration;

use common::{build_request, call, connect, front_client, submit_job, Fleet, FleetPlan};
use foxwheel_server_emu::server::{self, ServerConfig};
use foxwheel_soak::proxy::{FaultProxy, PathFault};
use hyper::{Method, StatusCode};

/// Within this time a front has received a change of the list of servers.
const LIST_CHANGE_DELAY: Duration = Duration::from_millis(500);

/// Within this time after a path recovers, the bytes that it delayed have arrived and a server
/// would have started to run the request.
const DELIVERY_DELAY: Duration = Duration::from_millis(700);

/// Starts a front and a worker with one server behind a path that can be interrupted. Returns with
/// pooled connections to the server, left over from earlier requests.
async fn fleet_behind_path() -> (Fleet, FaultProxy) {
    let mut fleet = Fleet::start(FleetPlan {
        servers: common::server_shapes(1),
        ..FleetPlan::default()
    })
    .await;
    let shape = ServerConfig {
        id: "far".to_owned(),
        ..ServerConfig::default()
    };
    let localhost = std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);
    let far = server::start(localhost, shape, fleet.cancel.clone()).await;
    let far = far.expect("server starts");
    let any = std::net::SocketAddr::new(localhost, 0);
    let path = FaultProxy::open(any, far.addr, fleet.cancel.clone()).await;
    let path = path.expect("a path");
    let near = fleet.servers[0].addr;
    fleet.register_server("server-0", near, "draining").await;
    fleet.register_server("far", path.addr, "ready").await;
    fleet.servers.push(far);
    common::wait_for_status(fleet.fronts[0], "/plain/first", StatusCode::OK).await;
    tokio::time::sleep(LIST_CHANGE_DELAY).await;
    (fleet, path)
}

/// Drains the server behind the path, then restores the path and waits until the bytes that it
/// delayed have arrived.
async fn drain_and_restore_path(fleet: &Fleet, path: &FaultProxy) {
    fleet.register_server("far", path.addr, "draining").await;
    tokio::time::sleep(LIST_CHANGE_DELAY).await;
    path.clear_fault();
    tokio::time::sleep(DELIVERY_DELAY).await;
}

/// Returns whether a request reached any server.
fn has_arrived(fleet: &Fleet, request_id: &str) -> bool {
    let arrivals = fleet
        .servers
        .iter()
        .flat_map(|server| server.run_log.arrivals());
    let mut ids = arrivals.map(|arrival| arrival.request_id);
    ids.any(|id| id == request_id)
}

#[actix_web::test]
async fn request_given_up_by_its_front_never_reaches_a_server() {
    let (fleet, path) = fleet_behind_path().await;
    for route in ["/plain/a", "/stream/a", "/once/a"] {
        fleet.register_server("far", path.addr, "ready").await;
        common::wait_for_status(fleet.fronts[0], "/plain/again", StatusCode::OK).await;
        path.set_fault(PathFault::Silence);
        let id = format!("given-up{route}");
        let response = call(fleet.fronts[0], Method::POST, route, &id, &[], "").await;
        let status = response.expect("a response").status;
        assert!(status.is_server_error(), "{route}: {status}");
        drain_and_restore_path(&fleet, &path).await;
        assert!(!has_arrived(&fleet, &id), "{route}");
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn request_of_a_disconnected_caller_never_reaches_a_server() {
    let (fleet, path) = fleet_behind_path().await;
    path.set_fault(PathFault::Silence);
    for route in ["/plain/a", "/stream/a", "/once/a"] {
        let mut caller = connect(fleet.fronts[0]).await.expect("connected");
        let sent = build_request(
            Method::POST,
            route,
            &format!("disconnected{route}"),
            &[],
            "",
        );
        let waited = tokio::time::timeout(Duration::from_millis(200), caller.send(sent));
        assert!(waited.await.is_err(), "{route} got a response");
    }
    drain_and_restore_path(&fleet, &path).await;
    for route in ["/plain/a", "/stream/a", "/once/a"] {
        assert!(
            !has_arrived(&fleet, &format!("disconnected{route}")),
            "{route}"
        );
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn item_of_a_job_ended_by_its_caller_never_reaches_a_server() {
    let (fleet, path) = fleet_behind_path().await;
    path.set_fault(PathFault::Silence);
    let accepted = submit_job(fleet.fronts[0], "ended", 1)
        .await
        .expect("a response");
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
    // By then the item's run has been sent.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let ended = front_client::end_job(fleet.fronts[0], "ended").await;
    assert_eq!(ended.expect("a response").status, StatusCode::OK);
    drain_and_restore_path(&fleet, &path).await;
    assert!(!has_arrived(&fleet, &front_client::item_id("ended", 0)));
    fleet.cancel.cancel();
}
