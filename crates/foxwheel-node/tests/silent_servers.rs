//! Sound servers that send nothing for a second and go on, while the configuration changes. A
//! response that was begun must not be given up for it.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::pausing_servers::{check_runs, shape, start_fleet, EVENTS, EVENTS_BEFORE_PAUSE, PAUSE};
use common::{call, Fleet, ReceivedResponse};
use foxwheel_server_emu::faults::Fault;
use foxwheel_server_emu::server::{event_text, plain_body, versioned_event_text, ServerConfig};
use foxwheel_soak::front_client;
use foxwheel_soak::store_entries;
use hyper::{Method, StatusCode};
use serde_json::{json, Value};

/// Number of calls of each test, and the time between two of them.
const CALLS: usize = 24;
const CALL_INTERVAL: Duration = Duration::from_millis(15);

/// When the configuration changes, after the first call.
const CONFIGURED_AFTER: Duration = Duration::from_millis(300);

fn complete_stream(id: &str) -> String {
    (1..=EVENTS).map(|event| event_text(id, event)).collect()
}

/// Makes each stream of the fleet pause once in each of its runs.
fn pause_every_run(fleet: &Fleet) {
    let pause = Fault::PauseAfter(EVENTS_BEFORE_PAUSE, PAUSE);
    for server in &fleet.servers {
        server
            .fault_script
            .extend(std::iter::repeat_n(pause, 4 * CALLS));
    }
}

/// Adds a route, which changes nothing for the other ones.
fn add_route(config: &mut Value) {
    let route = store_entries::route("added", "idempotent", json!({}));
    let routes = config["routes"].as_array_mut().expect("routes");
    routes.push(route);
}

async fn call_after(
    delay: Duration,
    front: SocketAddr,
    path: &str,
    id: String,
) -> (String, ReceivedResponse) {
    tokio::time::sleep(delay).await;
    let response = call(front, Method::POST, path, &id, &[], "x").await;
    let response = response.unwrap_or_else(|e| panic!("{id}: {e}"));
    (id, response)
}

/// Sends the calls one after the other, and writes the configuration as changed by `alter` meanwhile.
async fn call_beside_configuration(
    fleet: &Fleet,
    path: &str,
    alter: impl FnOnce(&mut Value),
) -> Vec<(String, ReceivedResponse)> {
    let front = fleet.fronts[0];
    let calls = (0..CALLS).map(|number| {
        let delay = CALL_INTERVAL * number as u32;
        call_after(delay, front, path, format!("call-{number}"))
    });
    let configure = async {
        tokio::time::sleep(CONFIGURED_AFTER).await;
        fleet.configure(2, alter).await;
    };
    let (responses, ()) = tokio::join!(futures::future::join_all(calls), configure);
    responses
}

/// Checks that each stream was delivered whole, or refused as not run.
fn check_whole_or_refused(responses: &[(String, ReceivedResponse)]) {
    let is_whole = |(id, response): &&(String, ReceivedResponse)| {
        response.is_complete && response.text() == complete_stream(id)
    };
    let cut_off: Vec<&str> = responses
        .iter()
        .filter(|it| it.1.status.is_success() && !is_whole(it))
        .map(|(id, _)| id.as_str())
        .collect();
    assert!(cut_off.is_empty(), "cut off: {cut_off:?}");
    for (id, response) in responses {
        let is_allowed = response.status == StatusCode::OK || response.says_not_run();
        assert!(is_allowed, "{id}: {}", response.status);
    }
}

/// Checks that each stream was delivered whole.
fn check_served(responses: &[(String, ReceivedResponse)]) {
    check_whole_or_refused(responses);
    for (id, response) in responses {
        assert_eq!(response.status, StatusCode::OK, "{id}");
    }
}

/// Checks the runs of the requests that got these responses.
fn check_overlaps(fleet: &Fleet, responses: &[(String, ReceivedResponse)]) {
    let ids: Vec<&str> = responses.iter().map(|(id, _)| id.as_str()).collect();
    check_runs(fleet, &ids);
}

#[actix_web::test]
async fn streams_are_cut_off_when_their_only_server_pauses() {
    let fleet = start_fleet(vec![shape(0)]).await;
    pause_every_run(&fleet);
    let responses = call_beside_configuration(&fleet, "/stream/a", add_route).await;
    check_served(&responses);
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn streams_are_cut_off_when_the_server_that_resumes_them_pauses_too() {
    let fleet = start_fleet((0..3).map(shape).collect()).await;
    pause_every_run(&fleet);
    let responses = call_beside_configuration(&fleet, "/stream/a", add_route).await;
    check_served(&responses);
    check_overlaps(&fleet, &responses);
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn streams_are_cut_off_when_their_server_pauses_and_their_route_moves() {
    let fleet = start_fleet((0..3).map(shape).collect()).await;
    pause_every_run(&fleet);
    let move_route = |config: &mut Value| {
        config["routes"][2]["service"] = json!("without-servers");
        config["services"] = json!([
            {"name": "model", "health_path": "/healthz", "max_conns": 100},
            {"name": "without-servers", "health_path": "/healthz", "max_conns": 100},
        ]);
    };
    let responses = call_beside_configuration(&fleet, "/stream/a", move_route).await;
    check_whole_or_refused(&responses);
    check_overlaps(&fleet, &responses);
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn streams_are_cut_off_when_the_only_server_of_their_version_pauses() {
    let versions = ["v1", "v1.1"];
    let shapes = versions
        .iter()
        .enumerate()
        .map(|(at, version)| ServerConfig {
            version: Some((*version).to_owned()),
            ..shape(at)
        });
    let fleet = start_fleet(shapes.collect()).await;
    pause_every_run(&fleet);
    for (id, response) in call_beside_configuration(&fleet, "/stream/a", add_route).await {
        assert_eq!(response.status, StatusCode::OK, "{id}");
        assert!(response.is_complete, "{id}: {}", response.text());
        let written = versions.map(|version| -> String {
            (1..=EVENTS)
                .map(|event| versioned_event_text(&id, event, version))
                .collect()
        });
        assert!(written.contains(&response.text()), "{id}");
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn body_that_is_no_event_stream_is_cut_off_when_its_server_pauses() {
    let shapes = (0..2).map(|number| ServerConfig {
        content_type: Some("text/plain".to_owned()),
        ..shape(number)
    });
    let fleet = start_fleet(shapes.collect()).await;
    pause_every_run(&fleet);
    let responses = call_beside_configuration(&fleet, "/stream/a", add_route).await;
    check_served(&responses);
    fleet.cancel.cancel();
}

/// Both servers have as many slots as there are calls, so that none is left to go on at.
#[actix_web::test]
async fn streams_are_cut_off_when_their_server_is_silent_and_no_other_has_a_slot() {
    let shapes = (0..2).map(|number| ServerConfig {
        slots: 8,
        step_time: Duration::from_millis(150),
        ..shape(number)
    });
    let fleet = start_fleet(shapes.collect()).await;
    let silence = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        fleet.servers[0].be_silent_for(PAUSE);
    };
    let calls = call_beside_configuration(&fleet, "/stream/a", add_route);
    let (responses, ()) = tokio::join!(calls, silence);
    check_whole_or_refused(&responses);
    check_overlaps(&fleet, &responses);
    fleet.cancel.cancel();
}

/// Requests keep the route by which they arrived, and connections with a request are not idle.
#[actix_web::test]
async fn streams_are_cut_off_when_the_configuration_changes_under_them() {
    let changes: [fn(&mut Value); 7] = [
        add_route,
        |config| config["routes"] = json!([config["routes"][0]]),
        |config| config["routes"][2]["timeout_ms"] = json!(200),
        |config| config["routes"][2]["resumable"] = json!(false),
        |config| config["routes"][2]["kind"] = json!("idempotent"),
        |config| config["limits"]["idle_timeout_ms"] = json!(100),
        |config| config["limits"]["max_body_bytes"] = json!(0),
    ];
    for (index, change) in changes.into_iter().enumerate() {
        let shapes = (0..2).map(|number| ServerConfig {
            step_time: Duration::from_millis(100),
            ..shape(number)
        });
        let fleet = start_fleet(shapes.collect()).await;
        let front = fleet.fronts[0];
        let calls = (0..CALLS).map(|number| async move {
            let id = format!("call-{number}");
            tokio::time::sleep(CALL_INTERVAL * number as u32).await;
            // Without it, the time limit of the route would apply to the whole stream.
            let headers = [("x-deadline-ms", "5000")];
            let response = call(front, Method::POST, "/stream/a", &id, &headers, "x").await;
            (id, response.expect("a response"))
        });
        let configure = async {
            tokio::time::sleep(CONFIGURED_AFTER).await;
            fleet.configure(2, change).await;
        };
        let (responses, ()) = tokio::join!(futures::future::join_all(calls), configure);
        let begun_before = CALLS / 2;
        check_served(&responses[..begun_before]);
        let cut_off = responses.iter().find(|(id, response)| {
            let is_whole = response.is_complete && response.text() == complete_stream(id);
            response.status == StatusCode::OK && !is_whole
        });
        assert!(cut_off.is_none(), "change {index}: {cut_off:?}");
        fleet.cancel.cancel();
    }
}

#[actix_web::test]
async fn streams_are_cut_off_when_the_entry_of_their_silent_server_lapses() {
    let fleet = start_fleet(vec![shape(0)]).await;
    pause_every_run(&fleet);
    let lapse = async {
        tokio::time::sleep(CONFIGURED_AFTER).await;
        let deleted = fleet.store.delete("servers/server-0", None).await;
        deleted.expect("deleted");
        tokio::time::sleep(PAUSE).await;
        let addr = fleet.servers[0].addr;
        fleet.register_server("server-0", addr, "ready").await;
    };
    let front = fleet.fronts[0];
    let calls = (0..CALLS).map(|number| {
        let id = format!("call-{number}");
        call_after(Duration::ZERO, front, "/stream/a", id)
    });
    let (responses, ()) = tokio::join!(futures::future::join_all(calls), lapse);
    check_served(&responses);
    fleet.cancel.cancel();
}

/// A request without a response yet may have run, so that it cannot be refused as not run.
#[actix_web::test]
async fn requests_fail_when_their_server_is_silent_and_the_other_one_rejects_them() {
    let shapes = (0..2).map(|number| ServerConfig {
        events_per_stream: 0,
        ..shape(number)
    });
    let fleet = start_fleet(shapes.collect()).await;
    fleet.servers[0].be_silent_for(PAUSE);
    let front = fleet.fronts[0];
    let calls = (0..CALLS).map(|number| {
        let id = format!("call-{number}");
        call_after(Duration::ZERO, front, "/plain/a", id)
    });
    let reject_from_now_on = async {
        // The calls of the other server have been served by then.
        tokio::time::sleep(CONFIGURED_AFTER).await;
        let script = &fleet.servers[1].fault_script;
        script.extend([Fault::Reject; 8 * CALLS]);
        fleet.configure(2, add_route).await;
    };
    let (responses, ()) = tokio::join!(futures::future::join_all(calls), reject_from_now_on);
    for (id, response) in responses {
        assert_eq!(response.status, StatusCode::OK, "{id}");
        assert_eq!(response.text(), plain_body(&id));
    }
    fleet.cancel.cancel();
}

/// A server that never goes on, and another one that has no slot at first.
#[actix_web::test]
async fn stream_of_a_hung_server_is_cut_off_while_the_other_server_is_full() {
    let shapes = (0..2).map(|number| ServerConfig {
        slots: 1,
        max_queued: 0,
        ..shape(number)
    });
    let fleet = start_fleet(shapes.collect()).await;
    let hangs = Fault::StallAfter(EVENTS_BEFORE_PAUSE);
    let slow = Fault::PauseAfter(EVENTS_BEFORE_PAUSE, PAUSE);
    fleet.servers[0].fault_script.extend([hangs; 8]);
    fleet.servers[1].fault_script.extend([slow]);
    let front = fleet.fronts[0];
    let calls = ["call-0", "call-1"]
        .map(|id| call_after(Duration::ZERO, front, "/stream/a", id.to_owned()));
    let responses = futures::future::join_all(calls).await;
    check_served(&responses);
    fleet.cancel.cancel();
}

/// The events of a server that goes on while another one is opened are forwarded once and in order.
#[actix_web::test]
async fn stream_that_goes_on_beside_a_second_run_repeats_or_skips_events() {
    let fleet = start_fleet((0..2).map(shape).collect()).await;
    // The second run responds at about the time at which the first one goes on.
    for pause_ms in (880..1_060).step_by(20) {
        let pause = Fault::PauseAfter(EVENTS_BEFORE_PAUSE, Duration::from_millis(pause_ms));
        for server in &fleet.servers {
            server.fault_script.clear();
            server.fault_script.extend(std::iter::repeat_n(pause, 8));
        }
        let front = fleet.fronts[0];
        let calls = (0..4).map(|number| {
            let id = format!("call-{pause_ms}-{number}");
            call_after(CALL_INTERVAL * number, front, "/stream/a", id)
        });
        let responses = futures::future::join_all(calls).await;
        check_whole_or_refused(&responses);
        check_overlaps(&fleet, &responses);
    }
    fleet.cancel.cancel();
}

/// The caller's time limit ends the wait for a server that never goes on.
#[actix_web::test]
async fn stream_of_a_hung_server_outlasts_the_time_limit_of_its_caller() {
    let fleet = start_fleet(vec![shape(0)]).await;
    let hangs = Fault::StallAfter(EVENTS_BEFORE_PAUSE);
    fleet.servers[0].fault_script.extend([hangs; 8]);
    let headers = [("x-deadline-ms", "2500")];
    let mut connection = front_client::connect(fleet.fronts[0])
        .await
        .expect("connected");
    let request = front_client::build_request(Method::POST, "/stream/a", "r", &headers, "");
    let response = connection.send(request).await.expect("a response");
    let read = tokio::time::timeout(
        Duration::from_secs(20),
        front_client::read_response(response),
    );
    let response = read.await.expect("ended by the front");
    assert!(!response.is_complete);
    fleet.cancel.cancel();
}
