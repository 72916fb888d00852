//! Configuration, backend servers and processes that come and go, with and without the
//! store.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{call, get_status, move_plain_route, wait_for_status, Fleet, FleetPlan};
use foxwheel_node::settings::Role;
use foxwheel_server_emu::server::Shape;
use foxwheel_store::api::Faults;
use hyper::{Method, StatusCode};
use serde_json::json;

fn readiness(fleet: &Fleet, at: usize) -> SocketAddr {
    fleet.processes[at]
        .settings
        .readiness_address
        .expect("a front")
}

#[actix_web::test]
async fn a_configuration_reaches_every_front_and_an_older_one_none() {
    let fleet = Fleet::start(FleetPlan {
        fronts: 3,
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    fleet.configure(7, move_plain_route).await;
    for front in &fleet.fronts {
        wait_for_status(*front, "/moved/a", StatusCode::OK).await;
        assert_eq!(
            get_status(*front, "/plain/a").await,
            Some(StatusCode::NOT_FOUND)
        );
    }
    fleet.configure(5, |_| {}).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    for front in &fleet.fronts {
        assert_eq!(get_status(*front, "/moved/a").await, Some(StatusCode::OK));
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn an_unreadable_configuration_changes_nothing_and_a_bad_route_only_itself() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    fleet
        .configure(2, |config| config["limits"] = json!("none"))
        .await;
    fleet
        .configure(3, |config| {
            config["routes"][1]["kind"] = json!("of its own");
            move_plain_route(config);
        })
        .await;
    wait_for_status(fleet.fronts[0], "/moved/a", StatusCode::OK).await;
    assert_eq!(
        get_status(fleet.fronts[0], "/once/a").await,
        Some(StatusCode::NOT_FOUND)
    );
    fleet.cancel.cancel();
}

/// The store turns one front away: it goes on serving and follows changes through peers.
#[actix_web::test]
async fn a_front_without_the_store_follows_its_peers() {
    let fleet = Fleet::start(FleetPlan {
        fronts: 2,
        ..FleetPlan::default()
    })
    .await;
    fleet.processes[0].store_path.cut();
    fleet.configure(4, move_plain_route).await;
    wait_for_status(fleet.fronts[1], "/moved/a", StatusCode::OK).await;
    wait_for_status(fleet.fronts[0], "/moved/a", StatusCode::OK).await;
    fleet.processes[0].store_path.heal();
    fleet.configure(6, |_| {}).await;
    wait_for_status(fleet.fronts[0], "/plain/a", StatusCode::OK).await;
    fleet.cancel.cancel();
}

/// A front that starts while the store is down takes over what a peer knows; until then it
/// answers that nothing was run, and is not ready.
#[actix_web::test]
async fn a_front_started_in_an_outage_learns_from_a_peer() {
    let mut fleet = Fleet::start(FleetPlan::default()).await;
    fleet.add_process(Role::Front).await;
    let front = fleet.fronts[1];
    fleet.processes[2].store_path.cut();
    let mut refused = 0;
    for _ in 0..500 {
        match get_status(front, "/plain/a").await {
            Some(StatusCode::OK) => {
                let ready = get_status(readiness(&fleet, 2), "/api/readyz").await;
                assert_eq!(ready, Some(StatusCode::OK));
                fleet.cancel.cancel();
                return;
            }
            Some(StatusCode::SERVICE_UNAVAILABLE) => refused += 1,
            None => {}
            Some(other) => panic!("answered {other} without a configuration"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("never served; refused {refused} times");
}

/// All entries vanish in an outage and come back after it: requests are served all along.
#[actix_web::test]
async fn servers_whose_entries_lapsed_in_an_outage_stay_in_use() {
    let fleet = Fleet::start(FleetPlan {
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let front = fleet.fronts[0];
    fleet.processes[0].store_path.cut();
    tokio::time::sleep(Duration::from_millis(300)).await;
    for id in ["server-0", "server-1"] {
        fleet
            .store
            .delete(&format!("servers/{id}"), None)
            .await
            .expect("removed");
    }
    fleet.processes[0].store_path.heal();
    for at in 0..20 {
        if at == 15 {
            for (id, server) in ["server-0", "server-1"].iter().zip(&fleet.servers) {
                fleet.register_server(id, server.addr, "ready").await;
            }
        }
        assert_eq!(
            get_status(front, "/plain/a").await,
            Some(StatusCode::OK),
            "at {at}"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.cancel.cancel();
}

/// The same when the watch of the servers waits through the outage, and only other calls show
/// that the store is away.
#[actix_web::test]
async fn servers_whose_entries_lapsed_behind_a_waiting_watch_stay_in_use() {
    let fleet = Fleet::start(FleetPlan::default()).await;
    let front = fleet.fronts[0];
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fleet.set_store_faults(outage).await;
    let refused = common::submit(front, "job-in-an-outage", 1).await;
    assert_ne!(refused.expect("an answer").status, StatusCode::ACCEPTED);
    fleet.set_store_faults(Faults::default()).await;
    for id in ["server-0", "server-1"] {
        let removed = fleet.store.delete(&format!("servers/{id}"), None).await;
        removed.expect("removed");
    }
    for at in 0..18 {
        let served = get_status(front, "/plain/a").await;
        assert_eq!(served, Some(StatusCode::OK), "at {at}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.cancel.cancel();
}

/// The address of a server that went is reused by another: the request is not run there.
#[actix_web::test]
async fn a_reused_address_never_runs_a_request() {
    let fleet = Fleet::start(FleetPlan {
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let other = foxwheel_server_emu::server::start(
        "127.0.0.1".parse().expect("an address"),
        Shape {
            id: "of another service".to_owned(),
            ..Shape::default()
        },
        fleet.cancel.clone(),
    )
    .await
    .expect("server starts");
    fleet.register_server("server-0", other.addr, "ready").await;
    fleet
        .register_server("server-1", other.addr, "draining")
        .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let status = get_status(fleet.fronts[0], "/once/a").await;
    assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(other.runs.all().is_empty());
    fleet.cancel.cancel();
}

/// A front before `count` servers whose streams have `events` events, one each `step`.
async fn slow_fleet(count: usize, step: Duration, events: u64) -> Fleet {
    let shapes = common::server_shapes(count).into_iter();
    let slow = shapes.map(|shape| Shape {
        step,
        events,
        ..shape
    });
    Fleet::start(FleetPlan {
        servers: slow.collect(),
        workers: 0,
        ..FleetPlan::default()
    })
    .await
}

/// A front that is told to stop is not ready at once, ends what it took, and is gone in
/// time. A request sent meanwhile is served or refused as not run, never cut.
#[actix_web::test]
async fn a_stopping_front_cuts_nothing() {
    let usual = Shape::default().events;
    let fleet = slow_fleet(2, Duration::from_millis(60), usual).await;
    let front = fleet.fronts[0];
    let ready = readiness(&fleet, 0);
    assert_eq!(get_status(ready, "/api/readyz").await, Some(StatusCode::OK));
    fleet.processes[0].stop.cancel();
    assert_eq!(
        get_status(ready, "/api/readyz").await,
        Some(StatusCode::SERVICE_UNAVAILABLE)
    );
    let mut served = 0;
    for at in 0.. {
        if fleet.processes[0].has_ended() {
            break;
        }
        let id = format!("late-{at}");
        // A refused or reset connection took no request.
        let Ok(answer) = call(front, Method::POST, "/stream-once/a", &id, &[], "").await else {
            assert!(fleet.runs_of_request(&id).is_empty(), "{id} was cut");
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        match answer.status {
            StatusCode::OK => {
                assert!(answer.whole, "{id} was cut");
                served += 1;
            }
            StatusCode::SERVICE_UNAVAILABLE => assert!(fleet.runs_of_request(&id).is_empty()),
            other => panic!("{id} was answered {other}"),
        }
    }
    assert!(
        served > 0,
        "requests are served while the stop is announced"
    );
    fleet.cancel.cancel();
}

/// A front that was stopping closed connections that callers had just opened, before their
/// first request had arrived; those callers saw a broken connection and could not tell whether
/// their request had run. It stays up here as long as a stream goes on.
#[actix_web::test]
async fn a_stopping_front_answers_the_first_request_of_each_connection() {
    let fleet = slow_fleet(1, Duration::from_millis(100), 25).await;
    let front = fleet.fronts[0];
    fleet.processes[0].stop.cancel();
    // Half of its time to stop (2.75 s) goes by before it closes idle connections.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let mut streaming = common::connect(front).await.expect("connected");
    let request = common::request(Method::POST, "/stream-once/a", "last", &[], "");
    let stream = streaming.send(request).await.expect("answered");
    let mut refused = 0;
    while refused < 20 {
        let mut connection = common::connect(front).await.expect("connected");
        tokio::time::sleep(Duration::from_millis(20)).await;
        let id = format!("late-{refused}");
        let request = common::request(Method::POST, "/once/a", &id, &[], "");
        let sent = tokio::time::timeout(Duration::from_millis(50), connection.send(request));
        // Until it refuses, requests go to the slow server.
        let Ok(answer) = sent.await else { continue };
        let answer = answer.expect("the first request is answered");
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers().contains_key("retry-after"));
        refused += 1;
    }
    drop(stream);
    fleet.cancel.cancel();
}

/// The store's history is dropped while servers change: the list is read anew.
#[actix_web::test]
async fn a_dropped_history_loses_no_change() {
    let fleet = Fleet::start(FleetPlan {
        workers: 0,
        ..FleetPlan::default()
    })
    .await;
    let store = fleet.store.base_url().to_owned();
    fleet
        .set_store_faults(Faults {
            outage: true,
            ..Faults::default()
        })
        .await;
    fleet.processes[0].store_path.cut();
    fleet.set_store_faults(Faults::default()).await;
    fleet
        .register_server("server-0", fleet.servers[0].addr, "draining")
        .await;
    let drop = awc_post(&format!("{store}/drop-history")).await;
    assert!(drop, "history dropped");
    fleet.processes[0].store_path.heal();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    for at in 0..10 {
        let id = format!("after-{at}");
        let answer = call(fleet.fronts[0], Method::GET, "/plain/a", &id, &[], "").await;
        assert_eq!(answer.expect("answered").status, StatusCode::OK);
        assert!(
            fleet.servers[0].runs.of(&id).is_empty(),
            "a draining server ran {id}"
        );
    }
    fleet.cancel.cancel();
}

async fn awc_post(url: &str) -> bool {
    let addr: SocketAddr = url
        .trim_start_matches("http://")
        .split('/')
        .next()
        .and_then(|addr| addr.parse().ok())
        .expect("an address");
    let answer = call(addr, Method::POST, "/drop-history", "drop", &[], "").await;
    answer.is_ok_and(|answer| answer.status.is_success())
}
