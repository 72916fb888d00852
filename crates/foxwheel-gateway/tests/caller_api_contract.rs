//! Contract of the gateway's API for callers, including its responses to faults.

mod common;

use std::time::Duration;

use foxwheel_core::protocol::{IDEMPOTENCY_KEY_HEADER, REPLAYED_HEADER, RUN_STATE_HEADER};
use foxwheel_store::api::{Faults, Object};

/// One request and the response that its caller must get.
struct Case {
    name: &'static str,
    path: &'static str,
    body: &'static str,
    status: u16,
    /// Run state header that a refusal must contain; `None` if the response has none.
    run_state: Option<&'static str>,
    /// Whether the response must contain a `Retry-After` header.
    retry_after: bool,
}

#[actix_web::test]
async fn online_requests_follow_the_contract() {
    let fleet = common::start(2).await;
    let cases = [
        Case {
            name: "chat completion, not streamed",
            path: "/v1/chat/completions",
            body: r#"{"model": "draftsman", "messages": [{"role": "user", "content": "a 3 by 4 garden office"}], "max_tokens": 5}"#,
            status: 200,
            run_state: None,
            retry_after: false,
        },
        Case {
            name: "plain completion",
            path: "/v1/completions",
            body: r#"{"model": "draftsman", "prompt": "a quote for a deck", "max_tokens": 3}"#,
            status: 200,
            run_state: None,
            retry_after: false,
        },
        Case {
            name: "unknown model: rejected by the last rule, not run",
            path: "/v1/chat/completions",
            body: r#"{"model": "nobody", "messages": [{"role": "user", "content": "hi"}]}"#,
            status: 404,
            run_state: Some("not_run"),
            retry_after: false,
        },
        Case {
            name: "body not JSON: not run",
            path: "/v1/chat/completions",
            body: "{not json",
            status: 400,
            run_state: Some("not_run"),
            retry_after: false,
        },
        Case {
            name: "body without model: not run",
            path: "/v1/chat/completions",
            body: r#"{"messages": []}"#,
            status: 400,
            run_state: Some("not_run"),
            retry_after: false,
        },
        Case {
            name: "deployment without hosts: not run, retry later",
            path: "/v1/chat/completions",
            body: r#"{"model": "llm-residente", "messages": [{"role": "user", "content": "permit?"}]}"#,
            status: 503,
            run_state: Some("not_run"),
            retry_after: true,
        },
    ];
    for case in cases {
        let response = fleet
            .http
            .post(format!("{}{}", fleet.gateway, case.path))
            .insert_header(("content-type", "application/json"))
            .send_body(case.body)
            .await
            .unwrap_or_else(|e| panic!("case '{}': {e}", case.name));
        assert_eq!(
            response.status().as_u16(),
            case.status,
            "case '{}'",
            case.name
        );
        let run_state = response
            .headers()
            .get(RUN_STATE_HEADER)
            .and_then(|v| v.to_str().ok());
        assert_eq!(run_state, case.run_state, "case '{}': run state", case.name);
        assert_eq!(
            response.headers().contains_key("retry-after"),
            case.retry_after,
            "case '{}': Retry-After",
            case.name
        );
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn a_streamed_response_is_complete_and_belongs_to_its_request() {
    let fleet = common::start(2).await;
    for n in 0..6 {
        let prompt = format!("cut sheet for panel {n}");
        let body = serde_json::json!({"model": "draftsman", "messages": [{"role": "user", "content": prompt}], "max_tokens": 7, "stream": true});
        let mut response = fleet
            .http
            .post(format!("{}/v1/chat/completions", fleet.gateway))
            .insert_header(("x-request-id", format!("req-{n}")))
            .send_json(&body)
            .await
            .expect("stream");
        assert_eq!(response.status().as_u16(), 200);
        let bytes = response.body().await.expect("body");
        let text = String::from_utf8_lossy(&bytes);
        let mut content = String::new();
        for line in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
            if line == "[DONE]" {
                continue;
            }
            let chunk: serde_json::Value = serde_json::from_str(line).expect("chunk");
            assert_eq!(
                chunk["id"],
                format!("req-{n}"),
                "every chunk contains the caller's request id"
            );
            content.push_str(foxwheel_engine_emu::openai::extract_text(&chunk).unwrap_or_default());
        }
        assert!(text.trim_end().ends_with("data: [DONE]"));
        assert_eq!(
            content,
            foxwheel_engine_emu::text::response_text(&prompt, 7)
        );
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn non_idempotent_calls_run_at_most_once() {
    let fleet = common::start(1).await;
    let url = format!("{}/services/yardbook/orders", fleet.gateway);
    let order = serde_json::json!({"item": "larch cladding", "metres": 180});
    // (case, key, expected status, whether the response is replayed, expected executions)
    let cases: &[(&str, Option<&str>, u16, bool, u64)] = &[
        ("no key: refused, not run", None, 400, false, 0),
        ("first call with a key", Some("order-1"), 200, false, 1),
        (
            "client resends the same call",
            Some("order-1"),
            200,
            true,
            1,
        ),
        (
            "resend again through the same gateway",
            Some("order-1"),
            200,
            true,
            1,
        ),
        ("another key runs once", Some("order-2"), 200, false, 1),
    ];
    for (name, key, status, replayed, executions) in cases {
        let mut request = fleet.http.post(&url);
        if let Some(key) = key {
            request = request.insert_header((IDEMPOTENCY_KEY_HEADER, *key));
        }
        let response = request.send_json(&order).await.expect("call");
        assert_eq!(response.status().as_u16(), *status, "case '{name}'");
        assert_eq!(
            response.headers().contains_key(REPLAYED_HEADER),
            *replayed,
            "case '{name}': replayed"
        );
        if let Some(key) = key {
            assert_eq!(
                fleet.execution_count(key).await,
                *executions,
                "case '{name}': executions"
            );
        }
    }
    let reused = fleet
        .http
        .post(&url)
        .insert_header((IDEMPOTENCY_KEY_HEADER, "order-1"))
        .send_json(&serde_json::json!({"item": "something else"}))
        .await
        .expect("call");
    assert_eq!(
        reused.status().as_u16(),
        422,
        "a key reused for another request is refused"
    );
    assert_eq!(fleet.execution_count("order-1").await, 1);
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn a_non_idempotent_call_is_not_run_while_the_store_is_down() {
    let fleet = common::start(1).await;
    let url = format!("{}/services/yardbook/orders", fleet.gateway);
    let order = serde_json::json!({"item": "ground screws", "pieces": 12});
    // (case, faults of the store, expected status, expected run state, expected executions)
    let cases: &[(&str, Faults, u16, &str, u64)] = &[
        (
            "store down",
            Faults {
                outage: true,
                ..Faults::default()
            },
            503,
            "not_run",
            0,
        ),
        (
            "store loses the response to the claim",
            Faults {
                lose_reply_every: 1,
                ..Faults::default()
            },
            200,
            "",
            1,
        ),
    ];
    for (i, (name, faults, status, run_state, executions)) in cases.iter().enumerate() {
        let key = format!("down-{i}");
        fleet.store.set_faults(faults).await.expect("faults");
        let response = fleet
            .http
            .post(&url)
            .insert_header((IDEMPOTENCY_KEY_HEADER, key.as_str()))
            .send_json(&order)
            .await
            .expect("call");
        fleet
            .store
            .set_faults(&Faults::default())
            .await
            .expect("faults cleared");
        assert_eq!(response.status().as_u16(), *status, "case '{name}'");
        let seen_run_state = response
            .headers()
            .get(RUN_STATE_HEADER)
            .and_then(|v| v.to_str().ok())
            .unwrap_or("");
        assert_eq!(seen_run_state, *run_state, "case '{name}': run state");
        assert_eq!(
            fleet.execution_count(&key).await,
            *executions,
            "case '{name}': executions"
        );
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn a_batch_job_completes_once_and_a_resend_returns_it() {
    let fleet = common::start(2).await;
    let job = common::batch_request("block-14", 70);
    let id = fleet.create_batch(&job).await;
    let resent_id = fleet.create_batch(&job).await;
    assert_eq!(resent_id, id, "a resend with the same key is the same job");
    let status = fleet.wait_until_completed(&id).await;
    assert_eq!(status["job"]["chunk_count"], 3);
    assert_eq!(status["counts"]["done"], 70);
    fleet.assert_own_responses(&id, 70).await;
    assert_eq!(
        fleet.create_batch(&job).await,
        id,
        "a resend after the end finds the ended job"
    );
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn invalid_batch_requests_are_refused_as_not_run() {
    let fleet = common::start(1).await;
    let url = format!("{}/v1/batches", fleet.gateway);
    // (case, body, expected status)
    let cases: &[(&str, &str, u16)] = &[
        ("not JSON", "[", 400),
        (
            "no items",
            r#"{"model": "draftsman", "completion_window_s": 60, "items": []}"#,
            400,
        ),
        (
            "an id twice",
            r#"{"model": "draftsman", "completion_window_s": 60, "items": [{"custom_id": "a", "body": {}}, {"custom_id": "a", "body": {}}]}"#,
            400,
        ),
        (
            "bad JSON line",
            r#"{"model": "draftsman", "completion_window_s": 60, "input_jsonl": "{\"custom_id\": 1}"}"#,
            400,
        ),
        (
            "a model no rule routes",
            r#"{"model": "nobody", "completion_window_s": 60, "items": [{"custom_id": "a", "body": {}}]}"#,
            404,
        ),
    ];
    for (name, body, status) in cases {
        let response = fleet
            .http
            .post(&url)
            .insert_header(("content-type", "application/json"))
            .send_body(*body)
            .await
            .expect("call");
        assert_eq!(response.status().as_u16(), *status, "case '{name}'");
        assert_eq!(
            response
                .headers()
                .get(RUN_STATE_HEADER)
                .and_then(|v| v.to_str().ok()),
            Some("not_run"),
            "case '{name}'"
        );
    }
    let missing = fleet
        .http
        .get(format!("{url}/batch-none"))
        .send()
        .await
        .expect("status");
    assert_eq!(missing.status().as_u16(), 404);
    fleet.cancel.cancel();
}

/// Returns the number of items that are done according to the chunk records. The job's own counts
/// are updated later.
fn count_done_items(chunks: &[Object]) -> u64 {
    let items = chunks
        .iter()
        .filter_map(|chunk| chunk.value["items"].as_array());
    let done = items.flatten().filter(|item| item["state"] == "done");
    done.count() as u64
}

#[actix_web::test]
async fn a_cancelled_job_stops() {
    let fleet = common::start(1).await;
    let items: Vec<serde_json::Value> = (0..300)
        .map(|i| serde_json::json!({"custom_id": format!("draft-{i}"), "body": {"model": "draftsman", "prompt": "layout variant", "max_tokens": 40}}))
        .collect();
    let job = serde_json::json!({"model": "draftsman", "completion_window_s": 600, "items": items});
    let url = format!("{}/v1/batches", fleet.gateway);
    let created: serde_json::Value = fleet
        .http
        .post(&url)
        .send_json(&job)
        .await
        .expect("create")
        .json()
        .await
        .expect("json");
    let id = created["job"]["id"].as_str().expect("id").to_owned();
    let cancelled: serde_json::Value = fleet
        .http
        .post(format!("{url}/{id}/cancel"))
        .send()
        .await
        .expect("cancel")
        .json()
        .await
        .expect("json");
    assert_eq!(cancelled["job"]["state"], "cancelled");
    let second_cancel = fleet
        .http
        .post(format!("{url}/{id}/cancel"))
        .send()
        .await
        .expect("cancel again");
    assert_eq!(
        second_cancel.status().as_u16(),
        200,
        "a second cancellation changes nothing"
    );
    // Waits until no chunk has a lease. From then on no gateway takes a lease, because the job is not
    // running, so the number of done items is final.
    let chunks_prefix = foxwheel_core::keys::chunks_prefix(&id);
    let chunks = || async {
        fleet
            .store
            .list(&chunks_prefix)
            .await
            .expect("chunks")
            .objects
    };
    for _ in 0..400 {
        let is_lease_free = |chunk: &Object| chunk.value.get("lease").is_none();
        if chunks().await.iter().all(is_lease_free) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    let final_done_count = count_done_items(&chunks().await);
    println!(
        "done items: {} by the job, {final_done_count} by its chunks",
        fleet.batch_status(&id).await["counts"]["done"]
    );
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(
        count_done_items(&chunks().await),
        final_done_count,
        "no item finishes after the last lease was released"
    );
    let status = fleet.wait_until_ended(&id).await;
    assert_eq!(status["counts"]["done"], final_done_count);
    assert!(
        final_done_count < 300,
        "the job stopped before all its items were done"
    );
    assert_eq!(
        status["counts"]["pending"], 0,
        "pending items of a cancelled job count as cancelled"
    );
    fleet.cancel.cancel();
}
