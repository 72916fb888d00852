//! Contract of the agent towards gateways, with its fault cases in a table: what it answers
//! while its backend is well, gone, full, or it is draining.

mod common;

use common::{Agent, BackendFault};
use foxwheel_core::protocol::{CLASS_HEADER, RUN_STATE_HEADER};

struct Case {
    name: &'static str,
    fault: BackendFault,
    class: &'static str,
    status: u16,
    /// The run-state header a refusal must carry, if any.
    run_state: Option<&'static str>,
    retry_after: bool,
}

#[actix_web::test]
async fn requests_follow_the_contract_under_faults() {
    let cases = [
        Case {
            name: "online, all well",
            fault: BackendFault::None,
            class: "online",
            status: 200,
            run_state: None,
            retry_after: false,
        },
        Case {
            name: "batch, all well",
            fault: BackendFault::None,
            class: "batch",
            status: 200,
            run_state: None,
            retry_after: false,
        },
        Case {
            name: "engine gone: nothing received it, so another host may run it",
            fault: BackendFault::Gone,
            class: "online",
            status: 503,
            run_state: Some("not_run"),
            retry_after: true,
        },
        Case {
            name: "engine gone, batch",
            fault: BackendFault::Gone,
            class: "batch",
            status: 503,
            run_state: Some("not_run"),
            retry_after: true,
        },
        Case {
            name: "engine closes the connection after reading the request: may have run",
            fault: BackendFault::HangsUp,
            class: "online",
            status: 502,
            run_state: Some("unknown"),
            retry_after: false,
        },
        Case {
            name: "draining",
            fault: BackendFault::Draining,
            class: "online",
            status: 503,
            run_state: Some("not_run"),
            retry_after: true,
        },
        Case {
            name: "online queue full: refused at once, nothing waits for its deadline",
            fault: BackendFault::QueueFull,
            class: "online",
            status: 429,
            run_state: Some("not_run"),
            retry_after: true,
        },
        Case {
            name: "batch queue full",
            fault: BackendFault::QueueFull,
            class: "batch",
            status: 429,
            run_state: Some("not_run"),
            retry_after: true,
        },
    ];
    for case in cases {
        let agent = Agent::start(case.fault).await;
        let response = agent
            .http
            .post(format!("{}/v1/completions", agent.url))
            .insert_header((CLASS_HEADER, case.class))
            .send_json(
                &serde_json::json!({"model": "draftsman", "prompt": "a deck", "max_tokens": 3}),
            )
            .await
            .unwrap_or_else(|e| panic!("case '{}': {e}", case.name));
        let header = |name: &str| {
            response
                .headers()
                .get(name)
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned)
        };
        assert_eq!(response.status(), case.status, "case '{}'", case.name);
        assert_eq!(
            header(RUN_STATE_HEADER).as_deref(),
            case.run_state,
            "case '{}': run state",
            case.name
        );
        assert_eq!(
            header("retry-after").is_some(),
            case.retry_after,
            "case '{}': Retry-After",
            case.name
        );
    }
}

#[actix_web::test]
async fn drain_is_told_over_the_control_channel_and_in_the_member_record() {
    let agent = Agent::start(BackendFault::None).await;
    let member = agent.wait_for_member("ready").await;
    let control_addr = member["control_addr"].as_str().expect("control address");
    let control = foxwheel_control::client::ControlClient::connect(
        control_addr,
        std::time::Duration::from_secs(5),
    )
    .await
    .expect("control channel");
    assert!(!control.load().await.expect("poll").draining);
    agent
        .http
        .post(format!("{}/drain", agent.url))
        .send()
        .await
        .expect("drain");
    assert!(control.load().await.expect("poll").draining);
    agent.wait_for_member("draining").await;
}

#[actix_web::test]
async fn a_preempted_batch_request_leaves_the_engine_and_goes_on_where_it_stopped() {
    let agent = Agent::start(BackendFault::None).await;
    let ask = |class: &'static str, prompt: &'static str, tokens: usize| {
        let sent = agent
            .http
            .post(format!("{}/v1/completions", agent.url))
            .insert_header((CLASS_HEADER, class))
            .send_json(
                &serde_json::json!({"model": "draftsman", "prompt": prompt, "max_tokens": tokens}),
            );
        actix_web::rt::spawn(async move {
            let mut response = sent.await.expect("answer");
            response.json::<serde_json::Value>().await.expect("json")
        })
    };
    let batch = ask("batch", "renewal letter", 600);
    agent.wait_until_engine_generated(100).await;
    // The one slot is the batch request's: each online request preempts it.
    for _ in 0..3 {
        let online = ask("online", "permit?", 5).await.expect("online");
        let answer = foxwheel_engine_emu::openai::extract_text(&online);
        assert_eq!(
            answer,
            Some(foxwheel_engine_emu::text::response_text("permit?", 5).as_str())
        );
    }
    let batch = batch.await.expect("batch");
    let whole = foxwheel_engine_emu::text::response_text("renewal letter", 600);
    let answer = foxwheel_engine_emu::openai::extract_text(&batch);
    assert_eq!(answer, Some(whole.as_str()));
    assert_eq!(batch["object"], "text_completion");
    assert_eq!(batch["usage"]["completion_tokens"], 600);
    // It was cancelled at the engine and not begun again: few tokens came twice.
    let stats = agent.engine_stats().await;
    assert!(stats.cancelled_total >= 1, "{stats:?}");
    assert!(stats.tokens_total < 600 + 15 + 100, "{stats:?}");
}
