//! Second servers beside silent ones: what they may cost the servers and the callers.

mod common;

use std::time::Duration;

use common::pausing_servers::{
    shape, start_fleet, EVENTS_BEFORE_PAUSE, MAX_OVERLAP, PAUSE, STEP_TIME,
};
use common::{call, Fleet};
use foxwheel_server_emu::faults::Fault;
use foxwheel_server_emu::server::{plain_body, ServerConfig};
use foxwheel_soak::front_client;
use hyper::{Method, StatusCode};

/// Returns for how long two servers worked on a request.
fn overlap(fleet: &Fleet, id: &str) -> Duration {
    let mut runs = fleet.runs_of_request(id);
    runs.sort_by_key(|run| run.started_at);
    let overlaps = runs.windows(2).map(|pair| {
        let ended_at = |at: usize| pair[at].ended_at.expect("the run has ended");
        let both_until = ended_at(0).min(ended_at(1));
        both_until.saturating_duration_since(pair[1].started_at)
    });
    overlaps.max().unwrap_or_default()
}

#[actix_web::test]
async fn two_servers_work_on_a_stream_while_both_are_silent() {
    let fleet = start_fleet((0..2).map(shape).collect()).await;
    let pause = Fault::PauseAfter(EVENTS_BEFORE_PAUSE, 2 * PAUSE);
    // Whichever server is asked first pauses, the other one sends no head.
    let front = fleet.fronts[0];
    let other_hangs = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        for server in &fleet.servers {
            server.fault_script.clear();
            server.fault_script.extend([Fault::Stall]);
        }
    };
    for server in &fleet.servers {
        server.fault_script.extend([pause]);
    }
    let calling = call(front, Method::POST, "/stream/a", "call", &[], "x");
    let (response, ()) = tokio::join!(calling, other_hangs);
    response.expect("a response");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fleet.runs_of_request("call").len(), 2);
    let both = overlap(&fleet, "call");
    assert!(both < MAX_OVERLAP, "both worked for {both:?}");
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn requests_run_twice_at_their_only_server_when_it_is_silent() {
    let shapes = vec![ServerConfig {
        events_per_stream: 0,
        step_time: Duration::from_millis(150),
        ..shape(0)
    }];
    let fleet = start_fleet(shapes).await;
    let server = &fleet.servers[0];
    server.be_silent_for(PAUSE);
    let front = fleet.fronts[0];
    let calls = (0..8).map(|number| async move {
        let id = format!("call-{number}");
        let response = call(front, Method::POST, "/plain/a", &id, &[], "x").await;
        (id, response.expect("a response"))
    });
    let responses = futures::future::join_all(calls).await;
    let runs = responses
        .iter()
        .map(|it| fleet.runs_of_request(&it.0).len());
    let runs: Vec<usize> = runs.collect();
    for (id, response) in &responses {
        assert_eq!(response.status, StatusCode::OK, "{id}");
        assert_eq!(response.text(), plain_body(id));
    }
    assert!(runs.iter().all(|runs| *runs == 1), "runs: {runs:?}");
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn streams_run_twice_at_their_only_server_when_it_is_silent() {
    let fleet = start_fleet(vec![shape(0)]).await;
    let front = fleet.fronts[0];
    let calls = (0..8).map(|number| async move {
        let id = format!("call-{number}");
        let response = call(front, Method::POST, "/stream/a", &id, &[], "x").await;
        (id, response.expect("a response"))
    });
    let silence = async {
        tokio::time::sleep(4 * STEP_TIME).await;
        fleet.servers[0].be_silent_for(PAUSE);
    };
    let (responses, ()) = tokio::join!(futures::future::join_all(calls), silence);
    let runs = responses
        .iter()
        .map(|it| fleet.runs_of_request(&it.0).len());
    let runs: Vec<usize> = runs.collect();
    assert!(responses.iter().all(|it| it.1.is_complete));
    assert!(runs.iter().all(|runs| *runs == 1), "runs: {runs:?}");
    fleet.cancel.cancel();
}

/// A first server that has responded is given up for a second one that does not complete.
#[actix_web::test]
async fn response_that_arrived_is_given_up_for_a_second_server() {
    let shapes = (0..2).map(|number| ServerConfig {
        events_per_stream: 0,
        step_time: Duration::from_millis(100),
        ..shape(number)
    });
    let fleet = start_fleet(shapes.collect()).await;
    // Both go on while the second runs are being opened.
    for server in &fleet.servers {
        server.be_silent_for(Duration::from_millis(1_240));
        server
            .fault_script
            .extend([Fault::None, Fault::None, Fault::None, Fault::None]);
        server.fault_script.extend([Fault::Truncate; 16]);
    }
    let front = fleet.fronts[0];
    let calls = (0..8).map(|number| async move {
        let id = format!("call-{number}");
        let response = call(front, Method::POST, "/plain/a", &id, &[], "x").await;
        (id, response.expect("a response"))
    });
    let responses = futures::future::join_all(calls).await;
    let status: Vec<u16> = responses.iter().map(|it| it.1.status.as_u16()).collect();
    assert!(status.iter().all(|it| *it == 200), "{status:?}");
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn servers_work_on_after_the_caller_of_a_hedged_stream_left() {
    let fleet = start_fleet((0..2).map(shape).collect()).await;
    for server in &fleet.servers {
        server
            .fault_script
            .extend([Fault::StallAfter(EVENTS_BEFORE_PAUSE)]);
    }
    let mut connection = front_client::connect(fleet.fronts[0])
        .await
        .expect("connected");
    let request = front_client::build_request(Method::POST, "/stream/a", "left", &[], "");
    let response = connection.send(request).await.expect("a response");
    tokio::time::sleep(Duration::from_millis(500)).await;
    for server in &fleet.servers {
        server.fault_script.clear();
        server.fault_script.extend([Fault::Stall]);
    }
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    drop(response);
    drop(connection);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let runs = fleet.runs_of_request("left");
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().all(|run| run.ended_at.is_some()), "{runs:?}");
    fleet.cancel.cancel();
}
