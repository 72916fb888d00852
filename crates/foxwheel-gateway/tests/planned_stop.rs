//! Every planned stop is a graceful shutdown that cuts no request.

mod common;

use std::time::Duration;

use foxwheel_engine_emu::{openai, text};

/// What is told to stop while requests are in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stopped {
    Agent,
    Gateway,
}

/// Sends one streamed request and answers whether it came back whole and right.
async fn is_answered_whole(http: &awc::Client, gateway: &str, prompt: String) -> bool {
    let body = serde_json::json!({"model": "draftsman", "prompt": prompt, "max_tokens": 120, "stream": true});
    let url = format!("{gateway}/v1/completions");
    let Ok(mut response) = http.post(url).send_json(&body).await else {
        return false;
    };
    let Ok(bytes) = response.body().await else {
        return false;
    };
    let streamed = String::from_utf8_lossy(&bytes).into_owned();
    let answer: String = streamed
        .lines()
        .filter_map(|l| l.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|chunk| openai::extract_text(&chunk).map(str::to_owned))
        .collect();
    answer == text::response_text(&prompt, 120)
}

#[actix_web::test]
async fn a_planned_stop_cuts_no_request() {
    for stopped in [Stopped::Agent, Stopped::Gateway] {
        let fleet = common::start(2).await;
        let ask = |n: usize| {
            let (http, gateway) = (fleet.http.clone(), fleet.gateway.clone());
            let prompt = format!("{stopped:?} {n}");
            actix_web::rt::spawn(async move { is_answered_whole(&http, &gateway, prompt).await })
        };
        let mut requests: Vec<_> = (0..6).map(ask).collect();
        tokio::time::sleep(Duration::from_millis(40)).await;
        match stopped {
            Stopped::Agent => fleet.agent_cancels[0].cancel(),
            Stopped::Gateway => fleet.gateway_cancel.cancel(),
        }
        // A stopping agent's requests go elsewhere; a stopping gateway takes no more.
        if stopped == Stopped::Agent {
            for n in 6..40 {
                requests.push(ask(n));
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        for (n, request) in requests.into_iter().enumerate() {
            let whole = request.await.expect("request ran");
            assert!(whole, "{stopped:?}: request {n} was cut");
        }
        fleet.cancel.cancel();
    }
}

#[actix_web::test]
async fn a_stopping_gateway_hands_its_batch_work_over() {
    let fleet = common::start(2).await;
    let id = fleet
        .create_batch(&common::batch_request("handed-over", 300))
        .await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    fleet.gateway_cancel.cancel();
    // Once it has stopped, no chunk bears its lease, so another need not wait for one to
    // run out.
    let prefix = foxwheel_core::keys::chunks_prefix(&id);
    let mut held = usize::MAX;
    for _ in 0..400 {
        let chunks = fleet.store.list(&prefix).await.expect("chunks").objects;
        held = chunks
            .iter()
            .filter(|c| c.value.get("lease").is_some())
            .count();
        if held == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    assert_eq!(held, 0, "leases left behind");
    let settings = common::gateway_settings(fleet.store.base_url(), "gateway-next");
    let next = foxwheel_gateway::server::start(settings, fleet.cancel.clone()).expect("gateway");
    let fleet = common::Fleet {
        gateway: format!("http://{}", next.addr),
        ..fleet
    };
    fleet.wait_for_live("draftsman", 2).await;
    let status = fleet.wait_until_completed(&id).await;
    assert_eq!(status["counts"]["done"], 300);
    fleet.assert_own_answers(&id, 300).await;
    fleet.cancel.cancel();
}
