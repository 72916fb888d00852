//! Run states and retries when a host breaks off: a host that read the request may have run
//! it, so the caller is never told "not run", and only an idempotent request goes elsewhere.

mod common;

use std::sync::atomic::Ordering;

use foxwheel_core::protocol::{IDEMPOTENCY_KEY_HEADER, RUN_STATE_HEADER};

/// One call through a gateway whose only live host for it hangs up after reading.
struct Case {
    name: &'static str,
    deployment: &'static str,
    path: &'static str,
    body: &'static str,
    status: u16,
    /// Whether the request may go on to another host after the first broke off.
    may_repeat: bool,
}

#[actix_web::test]
async fn a_host_that_breaks_off_may_have_run_the_request() {
    let cases = [
        Case {
            name: "non-idempotent call",
            deployment: "yardbook",
            path: "/services/yardbook/orders",
            body: r#"{"item": "studs"}"#,
            status: 502,
            may_repeat: false,
        },
        Case {
            name: "completion: idempotent",
            deployment: "llm-residente",
            path: "/v1/completions",
            body: r#"{"model": "llm-residente", "prompt": "permit?"}"#,
            status: 502,
            may_repeat: true,
        },
    ];
    for case in cases {
        let fleet = common::start(0).await;
        // The working host of the deployment, if any, is drained so that none is left.
        fleet
            .http
            .post(format!("{}/drain", fleet.agents[0]))
            .send()
            .await
            .expect("drain");
        fleet.wait_for_live("yardbook", 0).await;
        let hosts = [
            common::add_hang_up_host(&fleet.store, case.deployment, "breaks-off-0").await,
            common::add_hang_up_host(&fleet.store, case.deployment, "breaks-off-1").await,
        ];
        fleet.wait_for_live(case.deployment, 2).await;
        let call = || {
            fleet
                .http
                .post(format!("{}{}", fleet.gateway, case.path))
                .insert_header(("content-type", "application/json"))
                .insert_header((IDEMPOTENCY_KEY_HEADER, "order-9"))
                .send_body(case.body)
        };
        let answer = call().await.expect("call");
        assert_eq!(answer.status(), case.status, "case '{}'", case.name);
        let run_state = answer.headers().get(RUN_STATE_HEADER);
        assert_eq!(
            run_state.and_then(|v| v.to_str().ok()),
            Some("unknown"),
            "case '{}'",
            case.name
        );
        let received = || -> u64 {
            hosts
                .iter()
                .map(|h| h.received.load(Ordering::SeqCst))
                .sum()
        };
        if case.may_repeat {
            assert_eq!(received(), 2, "case '{}': tried on both hosts", case.name);
        } else {
            assert_eq!(received(), 1, "case '{}': sent once", case.name);
            let resent = call().await.expect("resend");
            assert_eq!(resent.status(), 409, "case '{}': resend", case.name);
            assert_eq!(received(), 1, "case '{}': not sent again", case.name);
        }
        fleet.cancel.cancel();
    }
}

#[actix_web::test]
async fn a_completion_goes_to_another_host_when_the_first_breaks_off() {
    let fleet = common::start(1).await;
    let broken = common::add_hang_up_host(&fleet.store, "draftsman", "breaks-off").await;
    fleet.wait_for_live("draftsman", 2).await;
    for n in 0..12 {
        let body = serde_json::json!({"model": "draftsman", "prompt": format!("deck {n}"), "max_tokens": 3});
        let mut answer = fleet
            .http
            .post(format!("{}/v1/completions", fleet.gateway))
            .send_json(&body)
            .await
            .expect("call");
        assert_eq!(answer.status(), 200, "request {n}");
        let answer: serde_json::Value = answer.json().await.expect("json");
        assert_eq!(
            foxwheel_engine_emu::openai::extract_text(&answer),
            Some(foxwheel_engine_emu::text::response_text(&format!("deck {n}"), 3).as_str())
        );
    }
    assert!(broken.received.load(Ordering::SeqCst) > 0);
    fleet.cancel.cancel();
}
