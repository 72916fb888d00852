//! One request crashed every backend server that began to run it. Its callers sent it again and
//! again, under new ids and at fronts of all zones, and each attempt took two more servers with
//! it: each kept to its route's two runs, but nothing connected one attempt with the next. In
//! the incident 55 servers ended under one such request within half a minute, and every stream
//! that ran beside it broke. The logs showed each attempt at two servers that ended 0.1 s apart:
//! `stream resumed`, `after: null`, then `stream broken`.

mod common;

use std::time::Duration;

use common::{call, shapes, Answer, Fleet, Plan};
use foxwheel_server_emu::server::Shape;
use hyper::Method;

/// Body of the request that crashes servers.
const CRASH: &str = "a prompt that the engine cannot stand";

/// The shortest time within which a decision must be known everywhere.
const STABLE_AFTER: Duration = Duration::from_secs(3);

/// Crashes of servers under one request after which it is known.
const ENOUGH_CRASHES: usize = 3;

/// `count` servers that crash on [`CRASH`].
fn frail(count: usize) -> Vec<Shape> {
    let shapes = shapes(count).into_iter();
    let frail = shapes.map(|shape| Shape {
        crashes_on: Some(CRASH.to_owned()),
        ..shape
    });
    frail.collect()
}

/// Fronts in two zones, before `servers` that crash.
async fn frail_fleet(servers: usize, workers: u32) -> Fleet {
    Fleet::start(Plan {
        servers: frail(servers),
        fronts: 2,
        workers,
        zones: 2,
    })
    .await
}

fn ended(fleet: &Fleet) -> usize {
    fleet
        .servers
        .iter()
        .filter(|server| server.has_ended())
        .count()
}

/// Sends the crashing request to `path` under a new id, at each front in turn.
async fn send_crash(fleet: &Fleet, path: &str, number: usize) -> Option<Answer> {
    let front = fleet.fronts[number % fleet.fronts.len()];
    let id = format!("crash-{path}-{number}");
    let sent = call(front, Method::POST, path, &id, &[], CRASH).await;
    sent.ok()
}

/// Sends the crashing request until it crashed enough servers to be known.
async fn until_known(fleet: &Fleet, path: &str) {
    for number in 0..2 * ENOUGH_CRASHES {
        send_crash(fleet, path, number).await;
        if ended(fleet) >= ENOUGH_CRASHES {
            break;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert!(ended(fleet) >= ENOUGH_CRASHES, "servers crash");
    tokio::time::sleep(STABLE_AFTER).await;
}

#[actix_web::test]
async fn a_request_that_crashes_servers_reaches_no_more_of_them() {
    for path in ["/stream/a", "/plain/a"] {
        let fleet = frail_fleet(40, 0).await;
        until_known(&fleet, path).await;
        let before = ended(&fleet);
        for number in 0..10 {
            send_crash(&fleet, path, number + 100).await;
        }
        assert_eq!(ended(&fleet), before, "servers ended under {path}");
        fleet.cancel.cancel();
    }
}
