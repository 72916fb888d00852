//! Checks the API of the engine emulator, with its faults.

use std::time::{Duration, Instant};

use foxwheel_core::protocol::RESUME_FROM_HEADER;
use foxwheel_engine_emu::openai;
use foxwheel_engine_emu::server::{self, EngineLoad, EngineStats};
use foxwheel_engine_emu::settings::{EngineFaults, EngineSettings, FencingMode, ResponseFault};
use foxwheel_engine_emu::text;
use tokio_util::sync::CancellationToken;

struct TestEngine {
    url: String,
    http: awc::Client,
    cancel: CancellationToken,
}

impl TestEngine {
    /// Waits up to 5 s until a stream is cancelled and returns the number of cancelled streams.
    ///
    /// The wait is needed because a stream on a delayed thread can begin, and be cancelled, after a
    /// later stream on another thread has got its response.
    async fn wait_for_cancelled_count(&self) -> u64 {
        let mut cancelled = 0;
        for _ in 0..500 {
            let stats: EngineStats = self.get_json("/stats").await;
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

    async fn get_json<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        let mut response = self
            .http
            .get(format!("{}{path}", self.url))
            .send()
            .await
            .expect("get");
        response.json().await.expect("json")
    }

    async fn send_command(&self, fencing: u64, command: serde_json::Value) -> u16 {
        let body = serde_json::json!({"fencing": fencing, "order": command});
        self.http
            .post(format!("{}/orders", self.url))
            .send_json(&body)
            .await
            .expect("command")
            .status()
            .as_u16()
    }

    /// Returns the streamed text and whether the stream ended with `[DONE]`.
    async fn stream_completion(
        &self,
        prompt: &str,
        max_tokens: usize,
        resume_from: usize,
    ) -> (String, bool) {
        let body = serde_json::json!({"model": "draftsman", "prompt": prompt, "max_tokens": max_tokens, "stream": true});
        let mut response = self
            .http
            .post(format!("{}/v1/completions", self.url))
            .insert_header((RESUME_FROM_HEADER, resume_from.to_string()))
            .send_json(&body)
            .await
            .expect("stream");
        let bytes = response.body().await.expect("complete stream");
        let mut response_text = String::new();
        let mut has_done_marker = false;
        for event in String::from_utf8_lossy(&bytes)
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
        {
            match serde_json::from_str::<serde_json::Value>(event) {
                Ok(chunk) => {
                    response_text.push_str(openai::extract_text(&chunk).unwrap_or_default())
                }
                Err(_) => has_done_marker = event == "[DONE]",
            }
        }
        (response_text, has_done_marker)
    }
}

impl Drop for TestEngine {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

#[actix_web::test]
async fn resumed_stream_continues_after_delivered_tokens() {
    let engine = TestEngine::start(EngineSettings::for_test("draftsman"));
    let hash = text::prompt_hash("cut sheet");
    for delivered_count in [0, 1, 4, 8, 9] {
        let delivered_text: String = (0..delivered_count)
            .map(|index| text::response_token(hash, index))
            .collect();
        let (resumed_text, has_done_marker) = engine
            .stream_completion("cut sheet", 9, delivered_count)
            .await;
        assert_eq!(
            format!("{delivered_text}{resumed_text}"),
            text::response_text("cut sheet", 9),
            "resumed after {delivered_count} tokens"
        );
        assert!(
            has_done_marker,
            "resumed after {delivered_count} tokens: the stream ends with [DONE]"
        );
    }
}

#[actix_web::test]
async fn paused_responses_are_complete() {
    let pause = Duration::from_millis(200);
    for after_tokens in [0, 4] {
        let engine = TestEngine::start(EngineSettings {
            faults: EngineFaults {
                response_fault: Some(ResponseFault::Pause {
                    pause_ms: pause.as_millis() as u64,
                }),
                after_tokens,
            },
            ..EngineSettings::for_test("draftsman")
        });
        let started = Instant::now();
        let streamed = engine.stream_completion("cut sheet", 9, 0).await;
        assert!(started.elapsed() >= pause, "after {after_tokens} tokens");
        assert_eq!(streamed, (text::response_text("cut sheet", 9), true));
        let started = Instant::now();
        let body =
            serde_json::json!({"model": "draftsman", "prompt": "cut sheet", "max_tokens": 9});
        let url = format!("{}/v1/completions", engine.url);
        let sent = engine.http.post(url).send_json(&body).await;
        let full: serde_json::Value = sent.expect("response").json().await.expect("json");
        assert!(started.elapsed() >= pause, "after {after_tokens} tokens");
        let expected = text::response_text("cut sheet", 9);
        assert_eq!(openai::extract_text(&full), Some(expected.as_str()));
    }
}

#[actix_web::test]
async fn fencing_mode_decides_about_stale_commands() {
    let load_command = |model: &str| serde_json::json!({"kind": "load_model", "model": model});
    // (case, mode, status of the stale command, whether its model is served afterwards)
    let cases = [
        (
            "refuses old fencing numbers",
            FencingMode::Refuse,
            409,
            false,
        ),
        ("ignores fencing numbers", FencingMode::Ignore, 200, true),
    ];
    for (case, fencing_mode, stale_status, stale_served) in cases {
        let engine = TestEngine::start(EngineSettings {
            fencing_mode,
            ..EngineSettings::for_test("draftsman")
        });
        assert_eq!(
            engine.send_command(7, load_command("draftsman-v2")).await,
            200,
            "{case}"
        );
        assert_eq!(
            engine.send_command(7, load_command("draftsman-v2")).await,
            200,
            "{case}: the same sender may repeat a command"
        );
        let stale = engine.send_command(6, load_command("draftsman-v1")).await;
        assert_eq!(stale, stale_status, "{case}");
        let serving_state: serde_json::Value = engine.get_json("/v1/models").await;
        let models: Vec<&str> = serving_state["models"]
            .as_array()
            .expect("models")
            .iter()
            .filter_map(|model| model.as_str())
            .collect();
        assert!(models.contains(&"draftsman-v2"), "{case}");
        assert_eq!(models.contains(&"draftsman-v1"), stale_served, "{case}");
    }
}

#[actix_web::test]
async fn disconnected_stream_is_cancelled_and_frees_its_slot() {
    let engine = TestEngine::start(EngineSettings {
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
    let (response_text, has_done_marker) = engine.stream_completion("short", 3, 0).await;
    assert_eq!(response_text, text::response_text("short", 3));
    assert!(has_done_marker, "the only slot is free again");
    assert_eq!(engine.wait_for_cancelled_count().await, 1);
}

#[actix_web::test]
async fn prefix_cache_stays_within_capacity_and_publishes_events_with_gaps() {
    let engine = TestEngine::start(EngineSettings {
        cache_capacity_tokens: 64,
        cache_event_gap_every: 3,
        ..EngineSettings::for_test("draftsman")
    });
    for index in 0..12 {
        let prompt = format!("{index} ").repeat(40);
        engine.stream_completion(&prompt, 1, 0).await;
    }
    let reported_load: EngineLoad = engine.get_json("/load").await;
    assert!(
        reported_load.cache_used_tokens <= 64,
        "the cache stays within its capacity"
    );
    // Events are published with a lag, so wait up to 5 s for them.
    let mut events: Vec<serde_json::Value> = Vec::new();
    for _ in 0..500 {
        events = engine.get_json("/cache/events?from=0").await;
        if events.len() >= 4 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let sequence_numbers: Vec<u64> = events
        .iter()
        .filter_map(|event| event["seq"].as_u64())
        .collect();
    assert!(sequence_numbers.len() >= 4, "events arrive: {events:?}");
    assert!(
        sequence_numbers
            .windows(2)
            .any(|pair| pair[1] > pair[0] + 1),
        "a dropped event leaves a gap in the sequence numbers: {sequence_numbers:?}"
    );
}

#[actix_web::test]
async fn unknown_models_and_invalid_bodies_are_rejected() {
    let engine = TestEngine::start(EngineSettings::for_test("draftsman"));
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
