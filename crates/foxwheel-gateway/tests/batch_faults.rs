//! Batch jobs under faults: hosts missing, the store down or losing replies, clients that
//! reuse a key.

mod common;

use std::time::Duration;

use foxwheel_core::protocol::WORKSPACE_HEADER;
use foxwheel_store::api::Faults;

#[actix_web::test]
async fn items_wait_for_hosts_and_are_not_failed_for_lack_of_them() {
    let fleet = common::start(0).await;
    let id = fleet
        .create_batch(&common::batch_request("no-hosts", 40))
        .await;
    // Far longer than it takes to try an item more often than MAX_ITEM_ATTEMPTS.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(fleet.batch_status(&id).await["counts"]["failed"], 0);
    common::add_model_host(&fleet.store, "draftsman", "late-host").await;
    let status = fleet.wait_until_completed(&id).await;
    assert_eq!(status["counts"]["done"], 40);
    fleet.assert_own_answers(&id, 40).await;
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn every_item_completes_once_whatever_the_store_does() {
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    let loses = |every: u64| Faults {
        lose_reply_every: every,
        ..Faults::default()
    };
    let slow = Faults {
        delay_ms: 150,
        ..Faults::default()
    };
    // (case, faults, for how long, whether the status shows the end before they clear)
    let cases = [
        ("down for longer than a chunk lease", outage.clone(), 3_000),
        ("down for a moment", outage, 300),
        (
            "loses every reply after the write took effect",
            loses(1),
            1_500,
        ),
        ("loses every second reply", loses(2), 3_000),
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
        fleet.assert_own_answers(&id, 200).await;
        fleet.cancel.cancel();
    }
}

/// A job was cancelled right after it was created, and its caller was told that no item
/// starts any more. The gateway still had the job as running, for its watch of the jobs had
/// not come back; it took the lease of a chunk after the cancel and ran two of its items.
#[actix_web::test]
async fn no_item_starts_after_a_cancel_that_the_gateway_has_not_heard_of() {
    let fleet = common::start(1).await;
    let late_news = Faults {
        watch_delay_ms: 500,
        ..Faults::default()
    };
    fleet.store.set_faults(&late_news).await.expect("faults");
    let id = fleet
        .create_batch(&common::batch_request_of("late-news", 300, 40))
        .await;
    let cancel = format!("{}/v1/batches/{id}/cancel", fleet.gateway);
    let cancelled = fleet.http.post(cancel).send().await.expect("cancel");
    assert_eq!(cancelled.status().as_u16(), 200);
    let chunks = foxwheel_core::keys::chunks_prefix(&id);
    let listed = fleet.store.list(&chunks).await.expect("chunks");
    let is_held = |chunk: &serde_json::Value| chunk.get("lease").is_some();
    assert!(!listed.objects.iter().any(|chunk| is_held(&chunk.value)));
    // The gateway hears of the job first, then of its cancel.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let counts = &fleet.batch_status(&id).await["counts"];
    assert_eq!(
        (&counts["done"], &counts["cancelled"]),
        (&0.into(), &300.into())
    );
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn a_cancel_is_recorded_or_refused_and_the_job_stops() {
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    let loses_replies = Faults {
        lose_reply_every: 1,
        ..Faults::default()
    };
    // (case, faults during the cancel, its status)
    let cases = [
        ("store well", Faults::default(), 200),
        ("store down: refused, nothing recorded", outage, 503),
        (
            "reply lost after the cancel took effect",
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
        let answer = fleet.http.post(&cancel_url).send().await.expect("cancel");
        let cleared = fleet.store.set_faults(&Faults::default()).await;
        cleared.expect("faults cleared");
        assert_eq!(answer.status().as_u16(), expected, "case '{case}'");
        if expected != 200 {
            assert_eq!(fleet.batch_status(&id).await["job"]["state"], "running");
            // Two operators cancel at once: both are told it is cancelled.
            let (one, two) = futures::join!(
                fleet.http.post(&cancel_url).send(),
                fleet.http.post(&cancel_url).send()
            );
            for answer in [one, two] {
                assert_eq!(
                    answer.expect("cancel").status().as_u16(),
                    200,
                    "case '{case}'"
                );
            }
        }
        // The job's end is recorded once every chunk is settled; nothing runs afterwards.
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
async fn a_client_key_names_one_job_of_one_workspace() {
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
    let (_, first) = send("permissa-sul", request.clone()).await;
    let other_items = common::batch_request("block-14", 4);
    // (case, workspace, request, status, whether it is the first job)
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
    for (case, workspace, request, status, same) in cases {
        let (got, id) = send(workspace, request).await;
        assert_eq!(got, status, "case '{case}'");
        assert_eq!(id == first, same, "case '{case}'");
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn an_answer_too_large_for_its_chunk_stays_readable() {
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
