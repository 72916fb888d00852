//! Open-loop online load: Poisson arrivals from a seeded generator, each a streamed chat
//! completion, with time to first token and time between tokens measured at the caller.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};

use foxwheel_core::protocol::{self, REQUEST_ID_HEADER, WORKSPACE_HEADER};
use foxwheel_engine_emu::{openai, text};

use crate::burn::Outcome;
use crate::experiment::OnlineLoad;

/// What one model's online load measured.
#[derive(Debug, Clone)]
pub struct OnlineTally {
    /// The model.
    pub model: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered in whole.
    pub ok: u64,
    /// Requests refused, with a `Retry-After` or not.
    pub refused: u64,
    /// Requests whose answer was not the whole answer to their own prompt, or carried
    /// another request's id.
    pub wrong_answers: u64,
    /// Time to first token, microseconds.
    pub ttft_us: Histogram<u64>,
    /// Time between tokens, microseconds.
    pub tbt_us: Histogram<u64>,
    /// Tokens received.
    pub tokens: u64,
    /// Why requests got no answer, each kind with its count, sorted.
    pub errors: Vec<(String, u64)>,
    /// How each request went, in the order they ended.
    pub outcomes: Vec<Outcome>,
}

impl OnlineTally {
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

impl OnlineTally {
    fn refuse(&mut self, error: String) {
        self.refused += 1;
        match self.errors.binary_search_by(|(known, _)| known.cmp(&error)) {
            Ok(at) => self.errors[at].1 += 1,
            Err(at) => self.errors.insert(at, (error, 1)),
        }
    }
}

/// One streamed answer as the caller saw it.
struct Streamed {
    text: String,
    ids_match: bool,
    first_token: Option<Duration>,
    gaps: Vec<Duration>,
}

impl Streamed {
    fn mean_gap(&self) -> Duration {
        let gaps = self.gaps.len().max(1) as u32;
        self.gaps.iter().sum::<Duration>() / gaps
    }
}

async fn stream_one(
    client: &awc::Client,
    gateway: &str,
    load: &OnlineLoad,
    prompt: &str,
    id: &str,
) -> Result<Streamed, String> {
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
    let started = Instant::now();
    let mut response = request.send_json(&body).await.map_err(|e| e.to_string())?;
    if !response.status().is_success() {
        let status = response.status();
        let refusal = response.json::<protocol::RefusalBody>().await;
        let code = refusal.map(|body| body.error.code).unwrap_or_default();
        return Err(format!("status {status}, {code}"));
    }
    let mut buffer = Vec::new();
    let mut streamed = Streamed {
        text: String::new(),
        ids_match: true,
        first_token: None,
        gaps: Vec::new(),
    };
    let mut last = started;
    let mut ended = false;
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|e| e.to_string())?;
        buffer.extend_from_slice(&chunk);
        while let Some(end) = find_event_end(&buffer) {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            let line = String::from_utf8_lossy(&event);
            let Some(data) = line.trim().strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                ended = true;
                continue;
            }
            let value: serde_json::Value = serde_json::from_str(data).map_err(|e| e.to_string())?;
            if value.get("id").and_then(|v| v.as_str()) != Some(id) {
                streamed.ids_match = false;
            }
            let now = Instant::now();
            match streamed.first_token {
                None => streamed.first_token = Some(now - started),
                Some(_) => streamed.gaps.push(now - last),
            }
            last = now;
            streamed
                .text
                .push_str(openai::extract_text(&value).unwrap_or_default());
        }
    }
    if !ended {
        // Seen to be broken off, as any client of the protocol sees it.
        return Err("the stream broke off".to_owned());
    }
    Ok(streamed)
}

fn find_event_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|w| w == b"\n\n")
}

/// Sends `load` for `duration` and returns what it measured.
pub async fn run(
    gateways: Vec<String>,
    load: OnlineLoad,
    duration: Duration,
    seed: u64,
) -> OnlineTally {
    let tally = Rc::new(RefCell::new(OnlineTally::new(&load.model)));
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(120))
        .finish();
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let started = Instant::now();
    let mut next_at = Duration::from_secs(load.start_after_s);
    let end = load.for_s.map_or(duration, |for_s| {
        duration.min(next_at + Duration::from_secs(for_s))
    });
    let mut tasks = Vec::new();
    let mut n = 0u64;
    while next_at < end {
        let wait = (started + next_at).saturating_duration_since(Instant::now());
        tokio::time::sleep(wait).await;
        let prompt = load.prompts[rng.random_range(0..load.prompts.len())].clone();
        let gateway = gateways[n as usize % gateways.len()].clone();
        let id = format!("load-{seed}-{n}");
        n += 1;
        let (client, one, tally) = (client.clone(), load.clone(), tally.clone());
        let sent_at = next_at;
        tasks.push(actix_web::rt::spawn(async move {
            tally.borrow_mut().sent += 1;
            let answer = stream_one(&client, &gateway, &one, &prompt, &id).await;
            let mut tally = tally.borrow_mut();
            let whole = answer.as_ref().ok();
            tally.outcomes.push(Outcome {
                sent_at,
                ttft: whole.and_then(|streamed| streamed.first_token),
                mean_tbt: whole.map_or(Duration::ZERO, Streamed::mean_gap),
            });
            match answer {
                Ok(streamed) => {
                    let expected = text::response_text(&prompt, one.max_tokens);
                    if streamed.text != expected || !streamed.ids_match {
                        tally.wrong_answers += 1;
                        return;
                    }
                    tally.ok += 1;
                    tally.tokens += one.max_tokens as u64;
                    if let Some(first) = streamed.first_token {
                        let _ = tally.ttft_us.record(first.as_micros().max(1) as u64);
                    }
                    for gap in streamed.gaps {
                        let _ = tally.tbt_us.record(gap.as_micros().max(1) as u64);
                    }
                }
                Err(e) => tally.refuse(e),
            }
        }));
        let u: f64 = rng.random::<f64>().max(f64::MIN_POSITIVE);
        next_at += Duration::from_secs_f64(-u.ln() / load.rate_per_s);
    }
    for task in tasks {
        let _ = task.await;
    }
    Rc::try_unwrap(tally)
        .map(RefCell::into_inner)
        .unwrap_or_else(|rc| rc.borrow().clone())
}
