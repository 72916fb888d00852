//! Batch jobs under faults: no hosts, a store that is down or loses responses, and clients that reuse
//! a key.

mod common;

use std::time::Duration;

use foxwheel_core::protocol::WORKSPACE_HEADER;
use foxwheel_store::api::Faults;

#[actix_web::test]
async fn items_wait_for_hosts_and_do_not_fail_without_them() {
    let fleet = common::start(0).await;
    let id = fleet
        .create_batch(&common::batch_request("no-hosts", 40))
        .await;
    // Far longer than more than MAX_ITEM_ATTEMPTS attempts of an item take.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(fleet.batch_status(&id).await["counts"]["failed"], 0);
    common::add_model_host(&fleet.store, "draftsman", "late-host").await;
    let status = fleet.wait_until_completed(&id).await;
    assert_eq!(status["counts"]["done"], 40);
    fleet.assert_own_responses(&id, 40).await;
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn every_item_completes_exactly_once_under_store_faults() {
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    let loses_replies = |every: u64| Faults {
        lose_reply_every: every,
        ..Faults::default()
    };
    let slow = Faults {
        delay_ms: 150,
        ..Faults::default()
    };
    // (case, faults of the store, their duration in milliseconds)
    let cases = [
        ("down for longer than a chunk lease", outage.clone(), 3_000),
        ("down for a short time", outage, 300),
        (
            "loses every response after the write took effect",
            loses_replies(1),
            1_500,
        ),
        ("loses every second response", loses_replies(2), 3_000),
        ("slow", slow, 3_000),
    ];
    for (case, faults, for_ms) in cases {
        let fleet = common::start(2).await;
        let id = fleet.create_batch(&common::batch_request(case, 200)).await;
        fleet.store.set_faults(&faults).await.expect("faults");
        tokio::time::sleep(Duration::from_millis(for_ms)).await;
        let cleared = fleet.store.set_faults(&Faults::default()).await;
        cleared.expect("faults cleared");
        let status = fleet.wait_until_completed(&id).await;
        assert_eq!(status["counts"]["done"], 200, "case '{case}': {status}");
        fleet.assert_own_responses(&id, 200).await;
        fleet.cancel.cancel();
    }
}

/// Guards against items that start after a cancellation was confirmed. If the gateway's watch of the
/// jobs is delayed, it still considers the cancelled job to be running, takes the lease of a chunk
/// and runs items of it.
#[actix_web::test]
async fn no_item_starts_after_a_cancellation_that_the_watch_has_not_delivered() {
    let fleet = common::start(1).await;
    let delayed_watch = Faults {
        watch_delay_ms: 500,
        ..Faults::default()
    };
    fleet
        .store
        .set_faults(&delayed_watch)
        .await
        .expect("faults");
    let id = fleet
        .create_batch(&common::batch_request_with_tokens("delayed-watch", 300, 40))
        .await;
    let cancel_url = format!("{}/v1/batches/{id}/cancel", fleet.gateway);
    let cancelled = fleet.http.post(cancel_url).send().await.expect("cancel");
    assert_eq!(cancelled.status().as_u16(), 200);
    let chunks_prefix = foxwheel_core::keys::chunks_prefix(&id);
    let listed = fleet.store.list(&chunks_prefix).await.expect("chunks");
    let has_lease = |chunk: &serde_json::Value| chunk.get("lease").is_some();
    assert!(!listed.objects.iter().any(|chunk| has_lease(&chunk.value)));
    // The watch delivers the job first and its cancellation later.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let counts = &fleet.batch_status(&id).await["counts"];
    assert_eq!(
        (&counts["done"], &counts["cancelled"]),
        (&0.into(), &300.into())
    );
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn a_cancellation_is_recorded_or_refused_and_the_job_stops() {
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    let loses_replies = Faults {
        lose_reply_every: 1,
        ..Faults::default()
    };
    // (case, faults of the store during the cancellation, status of its response)
    let cases = [
        ("no fault", Faults::default(), 200),
        ("store down: refused, nothing recorded", outage, 503),
        (
            "response lost after the cancellation took effect",
            loses_replies,
            200,
        ),
    ];
    for (case, faults, expected) in cases {
        let fleet = common::start(1).await;
        let id = fleet
            .create_batch(&common::batch_request(case, 1_000))
            .await;
        let cancel_url = format!("{}/v1/batches/{id}/cancel", fleet.gateway);
        fleet.store.set_faults(&faults).await.expect("faults");
        let response = fleet.http.post(&cancel_url).send().await.expect("cancel");
        let cleared = fleet.store.set_faults(&Faults::default()).await;
        cleared.expect("faults cleared");
        assert_eq!(response.status().as_u16(), expected, "case '{case}'");
        if expected != 200 {
            assert_eq!(fleet.batch_status(&id).await["job"]["state"], "running");
            // Two operators cancel at the same time, and both get the response that it is cancelled.
            let (first, second) = futures::join!(
                fleet.http.post(&cancel_url).send(),
                fleet.http.post(&cancel_url).send()
            );
            for response in [first, second] {
                assert_eq!(
                    response.expect("cancel").status().as_u16(),
                    200,
                    "case '{case}'"
                );
            }
        }
        // The job's final counts are recorded once every chunk is finished; no item runs afterwards.
        let mut status = fleet.batch_status(&id).await;
        for _ in 0..400 {
            if !status["job"]["final_counts"].is_null() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
            status = fleet.batch_status(&id).await;
        }
        let counts = &status["job"]["final_counts"];
        assert_eq!(status["job"]["state"], "cancelled", "case '{case}'");
        assert_eq!(counts["total"], 1_000, "case '{case}': {status}");
        assert_eq!(counts["pending"], 0, "case '{case}'");
        assert!(counts["cancelled"].as_u64() > Some(0), "case '{case}'");
        tokio::time::sleep(Duration::from_millis(200)).await;
        let later = fleet.batch_status(&id).await;
        assert_eq!(&later["job"]["final_counts"], counts, "case '{case}'");
        fleet.cancel.cancel();
    }
}

#[actix_web::test]
async fn a_client_key_identifies_one_job_of_one_workspace() {
    let fleet = common::start(1).await;
    let request = common::batch_request("block-14", 3);
    let url = format!("{}/v1/batches", fleet.gateway);
    let send = |workspace: &'static str, request: serde_json::Value| {
        let sent = fleet
            .http
            .post(&url)
            .insert_header((WORKSPACE_HEADER, workspace))
            .send_json(&request);
        async move {
            let mut response = sent.await.expect("create");
            let status = response.status().as_u16();
            let body: serde_json::Value = response.json().await.expect("json");
            (status, body["job"]["id"].clone())
        }
    };
    let (_, first_id) = send("permissa-sul", request.clone()).await;
    let other_items = common::batch_request("block-14", 4);
    // (case, workspace, request, expected status, whether the id is that of the first job)
    let cases = [
        ("resend", "permissa-sul", request.clone(), 200, true),
        ("another workspace", "sodam", request, 200, false),
        (
            "other items under the key",
            "permissa-sul",
            other_items,
            422,
            false,
        ),
    ];
    for (case, workspace, request, expected_status, is_first_job) in cases {
        let (status, id) = send(workspace, request).await;
        assert_eq!(status, expected_status, "case '{case}'");
        assert_eq!(id == first_id, is_first_job, "case '{case}'");
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn a_response_too_large_for_its_chunk_can_be_read() {
    let fleet = common::start(1).await;
    let request = serde_json::json!({
        "model": "draftsman",
        "completion_window_s": 600,
        "items": [{"custom_id": "long", "body": {"model": "draftsman", "prompt": "a long draft", "max_tokens": 4_000}}],
    });
    let id = fleet.create_batch(&request).await;
    fleet.wait_until_completed(&id).await;
    let url = format!("{}/v1/batches/{id}/results", fleet.gateway);
    let mut response = fleet.http.get(url).send().await.expect("results");
    let body = response.body().limit(1_000_000).await.expect("body");
    let line: serde_json::Value = serde_json::from_slice(&body).expect("one line");
    assert_eq!(
        foxwheel_engine_emu::openai::extract_text(&line["response"]),
        Some(foxwheel_engine_emu::text::response_text("a long draft", 4_000).as_str())
    );
    fleet.cancel.cancel();
}
