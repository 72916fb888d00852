//! Contract of the model engine's API as the stand-in serves it, with its fault cases.

use std::time::Duration;

use foxwheel_core::protocol::RESUME_FROM_HEADER;
use foxwheel_engine_emu::openai;
use foxwheel_engine_emu::server::{self, EngineLoad, EngineStats};
use foxwheel_engine_emu::settings::{EngineSettings, FencingMode};
use foxwheel_engine_emu::text;
use tokio_util::sync::CancellationToken;

struct Engine {
    url: String,
    http: awc::Client,
    cancel: CancellationToken,
}

impl Engine {
    /// Streams cancelled, once there is any: one whose thread stood still may begin, and be
    /// cancelled, after a later one of another thread was answered.
    async fn cancelled_in_the_end(&self) -> u64 {
        let mut cancelled = 0;
        for _ in 0..500 {
            let stats: EngineStats = self.json("/stats").await;
            cancelled = stats.cancelled_total;
            if cancelled > 0 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        cancelled
    }

    fn start(settings: EngineSettings) -> Self {
        let cancel = CancellationToken::new();
        let (addr, server) = server::start(settings, cancel.clone()).expect("engine starts");
        actix_web::rt::spawn(server);
        Self {
            url: format!("http://{addr}"),
            http: awc::Client::default(),
            cancel,
        }
    }

    async fn json<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        let mut response = self
            .http
            .get(format!("{}{path}", self.url))
            .send()
            .await
            .expect("get");
        response.json().await.expect("json")
    }

    async fn order(&self, fencing: u64, order: serde_json::Value) -> u16 {
        let body = serde_json::json!({"fencing": fencing, "order": order});
        self.http
            .post(format!("{}/orders", self.url))
            .send_json(&body)
            .await
            .expect("order")
            .status()
            .as_u16()
    }

    /// The streamed text and whether the stream ended with `[DONE]`.
    async fn stream(&self, prompt: &str, tokens: usize, resume_from: usize) -> (String, bool) {
        let body = serde_json::json!({"model": "draftsman", "prompt": prompt, "max_tokens": tokens, "stream": true});
        let mut response = self
            .http
            .post(format!("{}/v1/completions", self.url))
            .insert_header((RESUME_FROM_HEADER, resume_from.to_string()))
            .send_json(&body)
            .await
            .expect("stream");
        let bytes = response.body().await.expect("whole stream");
        let mut answer = String::new();
        let mut done = false;
        for data in String::from_utf8_lossy(&bytes)
            .lines()
            .filter_map(|l| l.strip_prefix("data: "))
        {
            match serde_json::from_str::<serde_json::Value>(data) {
                Ok(chunk) => answer.push_str(openai::extract_text(&chunk).unwrap_or_default()),
                Err(_) => done = data == "[DONE]",
            }
        }
        (answer, done)
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

#[actix_web::test]
async fn a_resumed_stream_goes_on_where_it_stopped() {
    let engine = Engine::start(EngineSettings::for_test("draftsman"));
    let hash = text::prompt_hash("cut sheet");
    for delivered in [0, 1, 4, 8, 9] {
        let head: String = (0..delivered).map(|i| text::token(hash, i)).collect();
        let (tail, done) = engine.stream("cut sheet", 9, delivered).await;
        assert_eq!(
            format!("{head}{tail}"),
            text::response_text("cut sheet", 9),
            "resumed after {delivered} tokens"
        );
        assert!(done, "resumed after {delivered} tokens: ends with [DONE]");
    }
}

#[actix_web::test]
async fn orders_are_fenced_or_not_by_setting() {
    let load = |model: &str| serde_json::json!({"kind": "load_model", "model": model});
    // (case, mode, status of the stale order, whether its model is served afterwards)
    let cases = [
        ("refuses old numbers", FencingMode::Refuse, 409, false),
        ("ignores numbers", FencingMode::Ignore, 200, true),
    ];
    for (case, fencing_mode, stale_status, stale_served) in cases {
        let engine = Engine::start(EngineSettings {
            fencing_mode,
            ..EngineSettings::for_test("draftsman")
        });
        assert_eq!(engine.order(7, load("draftsman-v2")).await, 200, "{case}");
        assert_eq!(
            engine.order(7, load("draftsman-v2")).await,
            200,
            "{case}: the same sender may repeat an order"
        );
        let stale = engine.order(6, load("draftsman-v1")).await;
        assert_eq!(stale, stale_status, "{case}");
        let role: serde_json::Value = engine.json("/v1/models").await;
        let models: Vec<&str> = role["models"]
            .as_array()
            .expect("models")
            .iter()
            .filter_map(|m| m.as_str())
            .collect();
        assert!(models.contains(&"draftsman-v2"), "{case}");
        assert_eq!(models.contains(&"draftsman-v1"), stale_served, "{case}");
    }
}

#[actix_web::test]
async fn a_stream_whose_caller_leaves_is_cancelled_and_frees_its_slot() {
    let engine = Engine::start(EngineSettings {
        max_batch: 1,
        ..EngineSettings::for_test("draftsman")
    });
    let body = serde_json::json!({"model": "draftsman", "prompt": "long", "max_tokens": 100_000, "stream": true});
    let response = engine
        .http
        .post(format!("{}/v1/completions", engine.url))
        .send_json(&body)
        .await
        .expect("stream");
    drop(response);
    let (answer, done) = engine.stream("short", 3, 0).await;
    assert_eq!(answer, text::response_text("short", 3));
    assert!(done, "the only slot was free again");
    assert_eq!(engine.cancelled_in_the_end().await, 1);
}

#[actix_web::test]
async fn the_prefix_cache_evicts_and_publishes_late_and_with_gaps() {
    let engine = Engine::start(EngineSettings {
        cache_capacity_tokens: 64,
        cache_event_gap_every: 3,
        ..EngineSettings::for_test("draftsman")
    });
    for i in 0..12 {
        let prompt = format!("{i} ").repeat(40);
        engine.stream(&prompt, 1, 0).await;
    }
    let load: EngineLoad = engine.json("/load").await;
    assert!(load.cache_used_tokens <= 64, "stays within its memory");
    // Events are published late: wait (bounded) for them.
    let mut events: Vec<serde_json::Value> = Vec::new();
    for _ in 0..500 {
        events = engine.json("/cache/events?from=0").await;
        if events.len() >= 4 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let numbers: Vec<u64> = events.iter().filter_map(|e| e["seq"].as_u64()).collect();
    assert!(numbers.len() >= 4, "events arrive: {events:?}");
    assert!(
        numbers.windows(2).any(|w| w[1] > w[0] + 1),
        "gaps show as missing sequence numbers: {numbers:?}"
    );
}

#[actix_web::test]
async fn unknown_models_and_bad_bodies_are_refused() {
    let engine = Engine::start(EngineSettings::for_test("draftsman"));
    // (case, body, status)
    let cases = [
        (
            "unknown model",
            r#"{"model": "nobody", "prompt": "x"}"#,
            404,
        ),
        ("no model", r#"{"prompt": "x"}"#, 400),
        ("not JSON", "{", 400),
    ];
    for (case, body, status) in cases {
        let response = engine
            .http
            .post(format!("{}/v1/completions", engine.url))
            .insert_header(("content-type", "application/json"))
            .send_body(body)
            .await
            .expect("call");
        assert_eq!(response.status().as_u16(), status, "case '{case}'");
    }
}
