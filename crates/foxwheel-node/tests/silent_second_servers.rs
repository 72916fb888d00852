//! Second servers beside silent ones: what they may cost the servers and the callers.

mod common;

use std::time::Duration;

use common::pausing_servers::{
    check_runs, shape, start_fleet, EVENTS, EVENTS_BEFORE_PAUSE, PAUSE, STEP_TIME,
};
use common::{call, Fleet};
use foxwheel_server_emu::faults::Fault;
use foxwheel_server_emu::server::{event_text, plain_body, ServerConfig};
use foxwheel_soak::front_client;
use hyper::{Method, StatusCode};

/// Returns the number of the server that runs a request.
async fn server_that_runs(fleet: &Fleet, id: &str) -> usize {
    let is_running = |number: &usize| !fleet.servers[*number].run_log.runs_of(id).is_empty();
    loop {
        if let Some(number) = (0..fleet.servers.len()).find(is_running) {
            return number;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
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
    check_runs(&fleet, &["call"]);
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

/// Time from the start of a run to its head, in which the first server goes on.
const SLOW_STEP_TIME: Duration = Duration::from_millis(100);

/// A second server may have begun although its response has not arrived.
#[actix_web::test]
async fn first_server_works_on_beside_a_second_one_that_has_begun() {
    let shapes = (0..2).map(|number| ServerConfig {
        step_time: SLOW_STEP_TIME,
        ..shape(number)
    });
    let fleet = start_fleet(shapes.collect()).await;
    let mut second_runs = 0;
    for pause_ms in (800..=900).step_by(10) {
        let pause = Fault::PauseAfter(EVENTS_BEFORE_PAUSE, Duration::from_millis(pause_ms));
        for server in &fleet.servers {
            server.fault_script.clear();
            server.fault_script.extend([pause; 2]);
        }
        let id = format!("call-{pause_ms}");
        let response = call(fleet.fronts[0], Method::POST, "/stream/a", &id, &[], "x").await;
        let complete: String = (1..=EVENTS).map(|event| event_text(&id, event)).collect();
        assert_eq!(response.expect("a response").text(), complete);
        check_runs(&fleet, &[&id]);
        second_runs += fleet.runs_of_request(&id).len() - 1;
    }
    assert!(second_runs > 0, "no second server was tried");
    fleet.cancel.cancel();
}

/// The bytes of an event that one server began must not be joined with those of another one.
#[actix_web::test]
async fn events_of_two_servers_are_joined_when_the_first_one_pauses_within_an_event() {
    let fleet = start_fleet((0..2).map(shape).collect()).await;
    let pause = Fault::PauseWithin(EVENTS_BEFORE_PAUSE, PAUSE);
    for server in &fleet.servers {
        server.fault_script.extend([pause]);
    }
    let front = fleet.fronts[0];
    let response = call(front, Method::POST, "/stream/a", "call", &[], "x").await;
    let complete: String = (1..=EVENTS)
        .map(|event| event_text("call", event))
        .collect();
    assert_eq!(response.expect("a response").text(), complete);
    assert_eq!(fleet.runs_of_request("call").len(), 2);
    fleet.cancel.cancel();
}

/// The second server has the request already when the first one fails.
#[actix_web::test]
async fn stream_is_cut_off_when_its_silent_server_ends_beside_a_second_one() {
    let shapes = (0..2).map(|number| ServerConfig {
        step_time: Duration::from_millis(250),
        ..shape(number)
    });
    let fleet = start_fleet(shapes.collect()).await;
    let pause = Fault::PauseAfter(EVENTS_BEFORE_PAUSE, 4 * PAUSE);
    for server in &fleet.servers {
        server.fault_script.extend([pause]);
    }
    let end_first = async {
        let first = server_that_runs(&fleet, "call").await;
        let second = &fleet.servers[1 - first];
        second.fault_script.clear();
        while second.run_log.runs_of("call").is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        fleet.servers[first].terminate();
    };
    let front = fleet.fronts[0];
    let headers = [("x-deadline-ms", "8000")];
    let calling = call(front, Method::POST, "/stream/a", "call", &headers, "x");
    let (response, ()) = tokio::join!(calling, end_first);
    let complete: String = (1..=EVENTS)
        .map(|event| event_text("call", event))
        .collect();
    assert_eq!(response.expect("a response").text(), complete);
    assert_eq!(fleet.runs_of_request("call").len(), 2);
    fleet.cancel.cancel();
}
