//! Open-loop online load: sends streamed chat completions with Poisson arrivals from a seeded
//! generator, and measures time to first token and time between tokens at the caller.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};

use foxwheel_core::protocol::{self, REQUEST_ID_HEADER, WORKSPACE_HEADER};
use foxwheel_engine_emu::{openai, text};
use foxwheel_event_stream::splitter::EventSplitter;

use crate::burn::RequestOutcome;
use crate::experiment::OnlineLoad;

/// The statistics of one model's online load.
#[derive(Debug, Clone)]
pub struct OnlineStats {
    /// The model.
    pub model: String,
    /// The number of requests sent.
    pub sent: u64,
    /// The number of requests with a complete and correct response.
    pub ok: u64,
    /// The number of requests that were refused, with or without `Retry-After`, or that failed.
    pub refused: u64,
    /// The number of requests whose response was not the complete response to their own prompt, or
    /// contained the id of another request.
    pub wrong_answers: u64,
    /// Time to first token, in microseconds.
    pub ttft_us: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub tbt_us: Histogram<u64>,
    /// The number of tokens received in correct responses.
    pub tokens: u64,
    /// The errors of refused and failed requests, each with its count, sorted by text.
    pub errors: Vec<(String, u64)>,
    /// The outcome of each request, in the order in which they ended.
    pub outcomes: Vec<RequestOutcome>,
}

impl OnlineStats {
    fn new(model: &str) -> Self {
        Self {
            model: model.to_owned(),
            sent: 0,
            ok: 0,
            refused: 0,
            wrong_answers: 0,
            ttft_us: Histogram::new_with_bounds(1, 600_000_000, 3).expect("histogram bounds"),
            tbt_us: Histogram::new_with_bounds(1, 600_000_000, 3).expect("histogram bounds"),
            tokens: 0,
            errors: Vec::new(),
            outcomes: Vec::new(),
        }
    }
}

impl OnlineStats {
    fn record_error(&mut self, error: String) {
        self.refused += 1;
        match self.errors.binary_search_by(|(known, _)| known.cmp(&error)) {
            Ok(index) => self.errors[index].1 += 1,
            Err(index) => self.errors.insert(index, (error, 1)),
        }
    }
}

/// A complete streamed response as received by the caller.
struct StreamedResponse {
    text: String,
    /// Whether every event contained the id of the request.
    ids_match: bool,
    first_token: Option<Duration>,
    /// The times between consecutive tokens.
    token_gaps: Vec<Duration>,
}

impl StreamedResponse {
    fn mean_gap(&self) -> Duration {
        let token_gaps = self.token_gaps.len().max(1) as u32;
        self.token_gaps.iter().sum::<Duration>() / token_gaps
    }
}

/// Sends one request and reads its stream. Returns an error for a refusal, a failure of the
/// connection, and a stream that ends early.
async fn stream_response(
    client: &awc::Client,
    gateway: &str,
    load: &OnlineLoad,
    prompt: &str,
    id: &str,
) -> Result<StreamedResponse, String> {
    let body = serde_json::json!({
        "model": load.model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": load.max_tokens,
        "stream": true,
    });
    let mut request = client
        .post(format!("{gateway}/v1/chat/completions"))
        .insert_header((REQUEST_ID_HEADER, id));
    if let Some(workspace) = &load.workspace {
        request = request.insert_header((WORKSPACE_HEADER, workspace.as_str()));
    }
    let started_at = Instant::now();
    let mut response = request.send_json(&body).await.map_err(|e| e.to_string())?;
    if !response.status().is_success() {
        let status = response.status();
        let refusal_body = response.json::<protocol::RefusalBody>().await;
        let code = refusal_body.map(|body| body.error.code).unwrap_or_default();
        return Err(format!("status {status}, {code}"));
    }
    let mut events = EventSplitter::default();
    let mut streamed = StreamedResponse {
        text: String::new(),
        ids_match: true,
        first_token: None,
        token_gaps: Vec::new(),
    };
    let mut last_token_at = started_at;
    let mut is_complete = false;
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|e| e.to_string())?;
        events.push(&chunk);
        while let Some(event) = events.next_event() {
            let data = event.data();
            match data.as_str() {
                "" => continue,
                "[DONE]" => {
                    is_complete = true;
                    continue;
                }
                _ => {}
            }
            let value: serde_json::Value =
                serde_json::from_str(&data).map_err(|e| e.to_string())?;
            if value.get("id").and_then(|v| v.as_str()) != Some(id) {
                streamed.ids_match = false;
            }
            let now = Instant::now();
            match streamed.first_token {
                None => streamed.first_token = Some(now - started_at),
                Some(_) => streamed.token_gaps.push(now - last_token_at),
            }
            last_token_at = now;
            streamed
                .text
                .push_str(openai::extract_text(&value).unwrap_or_default());
        }
    }
    if !is_complete {
        // As for any client of the protocol, a stream without the final event is incomplete.
        return Err("the stream broke off".to_owned());
    }
    Ok(streamed)
}

/// Sends `load` for `duration`, waits for all responses and returns the statistics.
pub async fn run_online_load(
    gateways: Vec<String>,
    load: OnlineLoad,
    duration: Duration,
    seed: u64,
) -> OnlineStats {
    let stats = Rc::new(RefCell::new(OnlineStats::new(&load.model)));
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(120))
        .finish();
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let started_at = Instant::now();
    let mut next_at = Duration::from_secs(load.start_after_s);
    let end = load.for_s.map_or(duration, |for_s| {
        duration.min(next_at + Duration::from_secs(for_s))
    });
    let mut tasks = Vec::new();
    let mut request_number = 0u64;
    while next_at < end {
        let wait = (started_at + next_at).saturating_duration_since(Instant::now());
        tokio::time::sleep(wait).await;
        let prompt = load.prompts[rng.random_range(0..load.prompts.len())].clone();
        let gateway = gateways[request_number as usize % gateways.len()].clone();
        let id = format!("load-{seed}-{request_number}");
        request_number += 1;
        let (client, request_load, stats) = (client.clone(), load.clone(), stats.clone());
        let sent_at = next_at;
        tasks.push(actix_web::rt::spawn(async move {
            stats.borrow_mut().sent += 1;
            let result = stream_response(&client, &gateway, &request_load, &prompt, &id).await;
            let mut stats = stats.borrow_mut();
            let complete = result.as_ref().ok();
            stats.outcomes.push(RequestOutcome {
                sent_at,
                ttft: complete.and_then(|streamed| streamed.first_token),
                mean_tbt: complete.map_or(Duration::ZERO, StreamedResponse::mean_gap),
            });
            match result {
                Ok(streamed) => {
                    let expected = text::response_text(&prompt, request_load.max_tokens);
                    if streamed.text != expected || !streamed.ids_match {
                        stats.wrong_answers += 1;
                        return;
                    }
                    stats.ok += 1;
                    stats.tokens += request_load.max_tokens as u64;
                    if let Some(first_token) = streamed.first_token {
                        let _ = stats.ttft_us.record(first_token.as_micros().max(1) as u64);
                    }
                    for gap in streamed.token_gaps {
                        let _ = stats.tbt_us.record(gap.as_micros().max(1) as u64);
                    }
                }
                Err(e) => stats.record_error(e),
            }
        }));
        let uniform: f64 = rng.random::<f64>().max(f64::MIN_POSITIVE);
        next_at += Duration::from_secs_f64(-uniform.ln() / load.rate_per_s);
    }
    for task in tasks {
        let _ = task.await;
    }
    Rc::try_unwrap(stats)
        .map(RefCell::into_inner)
        .unwrap_or_else(|shared| shared.borrow().clone())
}
