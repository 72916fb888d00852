//! Run states and retries when a host closes the connection without a response. A host that has
//! read the request may have run it, so the caller is never told that it did not run, and only an
//! idempotent request is sent to another host.

mod common;

use std::sync::atomic::Ordering;

use foxwheel_core::protocol::{IDEMPOTENCY_KEY_HEADER, RUN_STATE_HEADER};

/// One call through a gateway whose live hosts all close the connection after they read the request.
struct Case {
    name: &'static str,
    deployment: &'static str,
    path: &'static str,
    body: &'static str,
    status: u16,
    /// Whether the request may be sent to another host after the first one failed.
    may_repeat: bool,
}

#[actix_web::test]
async fn a_host_that_closes_without_a_response_may_have_run_the_request() {
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
        // Drains the host of yardbook that responds, so that only the failing hosts are left.
        fleet
            .http
            .post(format!("{}/drain", fleet.agents[0]))
            .send()
            .await
            .expect("drain");
        fleet.wait_for_live("yardbook", 0).await;
        let hosts = [
            common::add_no_response_host(&fleet.store, case.deployment, "no-response-0").await,
            common::add_no_response_host(&fleet.store, case.deployment, "no-response-1").await,
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
        let response = call().await.expect("call");
        assert_eq!(response.status(), case.status, "case '{}'", case.name);
        let run_state = response.headers().get(RUN_STATE_HEADER);
        assert_eq!(
            run_state.and_then(|v| v.to_str().ok()),
            Some("unknown"),
            "case '{}'",
            case.name
        );
        let received_count = || -> u64 {
            hosts
                .iter()
                .map(|host| host.request_count.load(Ordering::SeqCst))
                .sum()
        };
        if case.may_repeat {
            assert_eq!(
                received_count(),
                2,
                "case '{}': sent to both hosts",
                case.name
            );
        } else {
            assert_eq!(received_count(), 1, "case '{}': sent once", case.name);
            let resent = call().await.expect("resend");
            assert_eq!(resent.status(), 409, "case '{}': resend", case.name);
            assert_eq!(received_count(), 1, "case '{}': not sent again", case.name);
        }
        fleet.cancel.cancel();
    }
}

#[actix_web::test]
async fn a_completion_is_sent_to_another_host_when_the_first_gives_no_response() {
    let fleet = common::start(1).await;
    let failing_host = common::add_no_response_host(&fleet.store, "draftsman", "no-response").await;
    fleet.wait_for_live("draftsman", 2).await;
    for n in 0..12 {
        let body = serde_json::json!({"model": "draftsman", "prompt": format!("deck {n}"), "max_tokens": 3});
        let mut response = fleet
            .http
            .post(format!("{}/v1/completions", fleet.gateway))
            .send_json(&body)
            .await
            .expect("call");
        assert_eq!(response.status(), 200, "request {n}");
        let completion: serde_json::Value = response.json().await.expect("json");
        assert_eq!(
            foxwheel_engine_emu::openai::extract_text(&completion),
            Some(foxwheel_engine_emu::text::response_text(&format!("deck {n}"), 3).as_str())
        );
    }
    assert!(failing_host.request_count.load(Ordering::SeqCst) > 0);
    fleet.cancel.cancel();
}

/// Statuses that the protocol does not have were passed on as the response of a host.
#[actix_web::test]
async fn a_response_with_a_status_that_does_not_exist_is_delivered() {
    for status in ["101", "600", "999"] {
        let fleet = common::start(0).await;
        let response =
            format!("HTTP/1.1 {status} Odd\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{{}}");
        let store = &fleet.store;
        let host = common::add_scripted_host(store, "llm-residente", "odd", response.leak()).await;
        fleet.wait_for_live("llm-residente", 1).await;
        for is_streamed in [false, true] {
            let body =
                serde_json::json!({"model": "llm-residente", "prompt": "p", "stream": is_streamed});
            let url = format!("{}/v1/completions", fleet.gateway);
            let response = fleet.http.post(url).send_json(&body).await;
            assert_eq!(response.expect("a response").status(), 502, "{status}");
        }
        assert!(host.request_count.load(Ordering::SeqCst) > 0);
        fleet.cancel.cancel();
    }
}
