//! A planned stop of an agent or a gateway is a graceful shutdown that cuts off no request.

mod common;

use std::time::Duration;

use foxwheel_engine_emu::{openai, text};

/// Process that is stopped while requests are in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
enum StoppedProcess {
    Agent,
    Gateway,
}

/// Sends one streamed request. Returns whether the response was complete and correct.
async fn is_response_complete(http: &awc::Client, gateway: &str, prompt: String) -> bool {
    let body = serde_json::json!({"model": "draftsman", "prompt": prompt, "max_tokens": 120, "stream": true});
    let url = format!("{gateway}/v1/completions");
    let Ok(mut response) = http.post(url).send_json(&body).await else {
        return false;
    };
    let Ok(bytes) = response.body().await else {
        return false;
    };
    let events = String::from_utf8_lossy(&bytes).into_owned();
    let content: String = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|chunk| openai::extract_text(&chunk).map(str::to_owned))
        .collect();
    content == text::response_text(&prompt, 120)
}

#[actix_web::test]
async fn a_planned_stop_cuts_off_no_request() {
    for stopped in [StoppedProcess::Agent, StoppedProcess::Gateway] {
        let fleet = common::start(2).await;
        let send_request = |n: usize| {
            let (http, gateway) = (fleet.http.clone(), fleet.gateway.clone());
            let prompt = format!("{stopped:?} {n}");
            actix_web::rt::spawn(async move { is_response_complete(&http, &gateway, prompt).await })
        };
        let mut requests: Vec<_> = (0..6).map(send_request).collect();
        tokio::time::sleep(Duration::from_millis(40)).await;
        match stopped {
            StoppedProcess::Agent => fleet.agent_cancels[0].cancel(),
            StoppedProcess::Gateway => fleet.gateway_cancel.cancel(),
        }
        // New requests go to the other agent while one stops; a stopping gateway accepts no more.
        if stopped == StoppedProcess::Agent {
            for n in 6..40 {
                requests.push(send_request(n));
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        for (n, request) in requests.into_iter().enumerate() {
            let is_complete = request.await.expect("request ran");
            assert!(is_complete, "{stopped:?}: request {n} was cut off");
        }
        fleet.cancel.cancel();
    }
}

#[actix_web::test]
async fn a_stopping_gateway_releases_its_batch_work_to_another() {
    let fleet = common::start(2).await;
    let id = fleet
        .create_batch(&common::batch_request("handed-over", 300))
        .await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    fleet.gateway_cancel.cancel();
    // Once the gateway has stopped, no chunk contains its lease, so that another gateway does not have
    // to wait for a lease to expire.
    let prefix = foxwheel_core::keys::chunks_prefix(&id);
    let mut leased_count = usize::MAX;
    for _ in 0..400 {
        let chunks = fleet.store.list(&prefix).await.expect("chunks").objects;
        leased_count = chunks
            .iter()
            .filter(|chunk| chunk.value.get("lease").is_some())
            .count();
        if leased_count == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    assert_eq!(leased_count, 0, "the stopped gateway still holds leases");
    let settings = common::gateway_settings(fleet.store.base_url(), "gateway-next");
    let second_gateway =
        foxwheel_gateway::server::start(settings, fleet.cancel.clone()).expect("gateway");
    let fleet = common::Fleet {
        gateway: format!("http://{}", second_gateway.addr),
        ..fleet
    };
    fleet.wait_for_live("draftsman", 2).await;
    let status = fleet.wait_until_completed(&id).await;
    assert_eq!(status["counts"]["done"], 300);
    fleet.assert_own_responses(&id, 300).await;
    fleet.cancel.cancel();
}
