//! The HTTP routes of the engine emulator and its time model of continuous batching.
//!
//! Every running sequence holds one of `max_batch` slots. Each decode step of a sequence takes
//! `decode_step_us + decode_us_per_seq * running`, so that a fuller batch is slower per token, as
//! on a real engine. A stream whose caller disconnects is cancelled at its next token and frees
//! its slot.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::{web, HttpRequest, HttpResponse};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, Semaphore};
use tokio_util::sync::CancellationToken;

use foxwheel_core::http::{self, ServerOptions};

use crate::cache::PrefixCache;
use crate::commands::{Command, CommandOutcome, ServingState};
use crate::openai::{self, CompletionRequest};
use crate::settings::{EngineFaults, EngineSettings, ResponseFault};
use crate::text;

/// Number of chunks buffered per stream before the engine waits for the reader.
const STREAM_BUFFER_CHUNKS: usize = 64;

/// The load of the engine, as published with a lag by `GET /load`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of running sequences.
    pub running: usize,
    /// Number of sequences that wait for a slot.
    pub waiting: usize,
    /// Total number of slots.
    pub max_batch: usize,
    /// Number of tokens in the prefix cache.
    pub cache_used_tokens: usize,
    /// Capacity of the prefix cache, in tokens.
    pub cache_capacity_tokens: usize,
}

/// The counters of `GET /stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Number of requests that got a slot.
    pub requests_total: u64,
    /// Number of generated tokens.
    pub tokens_total: u64,
    /// Number of running requests cancelled because their caller disconnected.
    pub cancelled_total: u64,
}

/// An emulated engine with its slots, prefix cache, served models, faults and counters.
pub struct Engine {
    settings: EngineSettings,
    slots: Arc<Semaphore>,
    running: AtomicUsize,
    waiting: AtomicUsize,
    cache: Mutex<PrefixCache>,
    serving_state: Mutex<ServingState>,
    faults: Mutex<EngineFaults>,
    published_load: Mutex<EngineLoad>,
    requests_total: AtomicU64,
    tokens_total: AtomicU64,
    cancelled_total: AtomicU64,
}

impl Engine {
    /// Returns an idle engine.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(settings.max_batch)),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            cache: Mutex::new(PrefixCache::new(
                settings.cache_capacity_tokens,
                settings.cache_event_gap_every,
            )),
            faults: Mutex::new(settings.faults),
            serving_state: Mutex::new(ServingState::new(settings.models.clone())),
            published_load: Mutex::new(EngineLoad::default()),
            requests_total: AtomicU64::new(0),
            tokens_total: AtomicU64::new(0),
            cancelled_total: AtomicU64::new(0),
            settings,
        }
    }

    fn measure_load(&self) -> EngineLoad {
        EngineLoad {
            running: self.running.load(Ordering::Relaxed),
            waiting: self.waiting.load(Ordering::Relaxed),
            max_batch: self.settings.max_batch,
            cache_used_tokens: self.cache.lock().expect("cache lock").used_tokens(),
            cache_capacity_tokens: self.settings.cache_capacity_tokens,
        }
    }

    fn decode_step_time(&self) -> Duration {
        let running = self.running.load(Ordering::Relaxed) as u64;
        Duration::from_micros(
            self.settings.decode_step_us + self.settings.decode_us_per_seq * running,
        )
    }

    fn prefill_time(&self, prompt: &str, resume_from: usize) -> Duration {
        let cached = self.cache.lock().expect("cache lock").insert_prompt(prompt);
        let token_count = text::count_tokens(prompt) + resume_from;
        let uncached = token_count.saturating_sub(cached) as u64;
        Duration::from_micros(uncached * self.settings.prefill_us_per_token)
    }

    /// Runs one sequence and sends each token to `chunk_sender`. Stops early if the receiver is
    /// closed.
    async fn generate(
        self: Arc<Self>,
        id: String,
        request: CompletionRequest,
        resume_from: usize,
        chunk_sender: mpsc::Sender<String>,
    ) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = tokio::select! {
            slot = self.slots.clone().acquire_owned() => slot,
            _ = chunk_sender.closed() => {
                self.waiting.fetch_sub(1, Ordering::Relaxed);
                return;
            }
        };
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let Ok(_held_slot) = slot else { return };
        self.running.fetch_add(1, Ordering::Relaxed);
        self.requests_total.fetch_add(1, Ordering::Relaxed);
        let prompt = request.prompt_text();
        let hash = text::prompt_hash(&prompt);
        let max_tokens = request.max_tokens();
        tokio::time::sleep(self.prefill_time(&prompt, resume_from)).await;
        for index in resume_from..max_tokens {
            tokio::time::sleep(self.decode_step_time()).await;
            let piece = text::response_token(hash, index);
            let is_last = index + 1 == max_tokens;
            let stream_chunk = openai::stream_chunk(&id, &request, &piece, is_last).to_string();
            if chunk_sender.send(stream_chunk).await.is_err() {
                self.cancelled_total.fetch_add(1, Ordering::Relaxed);
                break;
            }
            self.tokens_total.fetch_add(1, Ordering::Relaxed);
        }
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

fn error_response(status: actix_web::http::StatusCode, message: &str) -> HttpResponse {
    HttpResponse::build(status)
        .json(serde_json::json!({"error": {"message": message, "code": "engine"}}))
}

async fn serve_completion(
    engine: web::Data<Engine>,
    http_request: HttpRequest,
    body: web::Json<CompletionRequest>,
) -> HttpResponse {
    let request = body.into_inner();
    if !engine
        .serving_state
        .lock()
        .expect("serving state lock")
        .serves(&request.model)
    {
        return error_response(
            actix_web::http::StatusCode::NOT_FOUND,
            "model not served here",
        );
    }
    let resume_from = http_request
        .headers()
        .get(foxwheel_core::protocol::RESUME_FROM_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let id = http_request
        .headers()
        .get(foxwheel_core::protocol::REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
        .unwrap_or_else(|| format!("cmpl-{}", engine.requests_total.load(Ordering::Relaxed)));
    let (chunk_sender, mut chunk_receiver) = mpsc::channel::<String>(STREAM_BUFFER_CHUNKS);
    let engine = engine.into_inner();
    let faults = *engine.faults.lock().expect("faults lock");
    actix_web::rt::spawn(engine.generate(id.clone(), request.clone(), resume_from, chunk_sender));
    if request.stream {
        let events = apply_fault(sse_events(chunk_receiver), faults);
        return HttpResponse::Ok()
            .content_type("text/event-stream")
            .insert_header(("cache-control", "no-cache"))
            .streaming(events);
    }
    let mut response_text = String::new();
    let mut token_count = 0;
    let pauses = matches!(faults.response_fault, Some(ResponseFault::Pause { .. }));
    let is_truncated = faults.response_fault.is_some() && !pauses;
    while let Some(stream_chunk) = chunk_receiver.recv().await {
        if is_truncated && token_count == faults.after_tokens {
            let truncated_body =
                futures::stream::once(async { Ok(Bytes::from_static(b"{\"choices\": [")) });
            return HttpResponse::Ok()
                .content_type("application/json")
                .streaming(apply_fault(
                    truncated_body,
                    EngineFaults {
                        after_tokens: 1,
                        ..faults
                    },
                ));
        }
        let value: serde_json::Value = serde_json::from_str(&stream_chunk).unwrap_or_default();
        response_text.push_str(openai::extract_text(&value).unwrap_or_default());
        token_count += 1;
    }
    let prompt_tokens = text::count_tokens(&request.prompt_text());
    let usage = openai::Usage {
        prompt_tokens,
        completion_tokens: token_count,
        total_tokens: prompt_tokens + token_count,
    };
    let response = openai::full_response(&id, &request, &response_text, usage);
    if pauses && faults.after_tokens < token_count {
        return full_response_with_pause(response.to_string().into(), faults);
    }
    HttpResponse::Ok().json(response)
}

/// Returns a response that is not streamed, with the pause of `faults` within its body.
fn full_response_with_pause(body: Bytes, faults: EngineFaults) -> HttpResponse {
    let middle = body.len() / 2;
    let parts = [body.slice(..middle), body.slice(middle..)];
    let faults = EngineFaults {
        after_tokens: 1,
        ..faults
    };
    HttpResponse::Ok()
        .content_type("application/json")
        .streaming(apply_fault(futures::stream::iter(parts.map(Ok)), faults))
}

/// Applies the response fault of `faults` to a stream of events, after the first
/// `after_tokens` of them.
fn apply_fault(
    events: impl futures::Stream<Item = Result<Bytes, actix_web::Error>> + 'static,
    faults: EngineFaults,
) -> futures::stream::LocalBoxStream<'static, Result<Bytes, actix_web::Error>> {
    use futures::StreamExt;
    let Some(response_fault) = faults.response_fault else {
        return events.boxed_local();
    };
    let after_events = faults.after_tokens;
    match response_fault {
        ResponseFault::EndEarly => events.take(after_events).boxed_local(),
        ResponseFault::Stall => events
            .take(after_events)
            .chain(futures::stream::pending())
            .boxed_local(),
        ResponseFault::Abort => {
            let abort = actix_web::error::ErrorInternalServerError("response aborted by fault");
            events
                .take(after_events)
                .chain(futures::stream::once(async { Err(abort) }))
                .boxed_local()
        }
        ResponseFault::Pause { pause_ms } => events
            .enumerate()
            .then(move |(index, event)| async move {
                if index == after_events {
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                }
                event
            })
            .boxed_local(),
    }
}

/// Returns the chunks of a channel as server-sent events, followed by `data: [DONE]`.
fn sse_events(
    chunk_receiver: mpsc::Receiver<String>,
) -> impl futures::Stream<Item = Result<Bytes, actix_web::Error>> {
    use futures::StreamExt;
    let chunks =
        receiver_stream(chunk_receiver).map(|chunk| Ok(Bytes::from(format!("data: {chunk}\n\n"))));
    let done = futures::stream::once(async { Ok(Bytes::from_static(b"data: [DONE]\n\n")) });
    chunks.chain(done)
}

fn receiver_stream(
    mut chunk_receiver: mpsc::Receiver<String>,
) -> impl futures::Stream<Item = String> {
    futures::stream::poll_fn(move |context| chunk_receiver.poll_recv(context))
}

async fn get_load(engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.published_load.lock().expect("load lock").clone())
}

async fn get_stats(engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(EngineStats {
        requests_total: engine.requests_total.load(Ordering::Relaxed),
        tokens_total: engine.tokens_total.load(Ordering::Relaxed),
        cancelled_total: engine.cancelled_total.load(Ordering::Relaxed),
    })
}

async fn get_models(engine: web::Data<Engine>) -> HttpResponse {
    let serving_state = engine
        .serving_state
        .lock()
        .expect("serving state lock")
        .clone();
    HttpResponse::Ok().json(serving_state)
}

async fn apply_command(engine: web::Data<Engine>, body: web::Json<Command>) -> HttpResponse {
    let mode = engine.settings.fencing_mode;
    let outcome = engine
        .serving_state
        .lock()
        .expect("serving state lock")
        .apply_command(&body, mode);
    match outcome {
        CommandOutcome::Applied => HttpResponse::Ok().json(outcome),
        CommandOutcome::RefusedStale => HttpResponse::Conflict().json(outcome),
    }
}

async fn set_faults(engine: web::Data<Engine>, faults: web::Json<EngineFaults>) -> HttpResponse {
    *engine.faults.lock().expect("faults lock") = faults.into_inner();
    HttpResponse::Ok().finish()
}

#[derive(Debug, Deserialize)]
struct EventsQuery {
    #[serde(default)]
    from: u64,
}

async fn get_cache_events(
    engine: web::Data<Engine>,
    query: web::Query<EventsQuery>,
) -> HttpResponse {
    let lag = Duration::from_millis(engine.settings.report_lag_ms);
    let events = engine
        .cache
        .lock()
        .expect("cache lock")
        .published_events(query.from, lag);
    HttpResponse::Ok().json(events)
}

/// Registers the routes of the engine.
pub fn configure_routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/v1/chat/completions", web::post().to(serve_completion))
        .route("/v1/completions", web::post().to(serve_completion))
        .route("/v1/models", web::get().to(get_models))
        .route("/load", web::get().to(get_load))
        .route("/stats", web::get().to(get_stats))
        .route("/faults", web::post().to(set_faults))
        .route("/orders", web::post().to(apply_command))
        .route("/cache/events", web::get().to(get_cache_events));
}

/// Starts the engine and returns the address that it listens on and its server. The engine stops
/// gracefully when `cancel` is cancelled.
///
/// Returns an error if the address of the settings can't be bound.
pub fn start(
    settings: EngineSettings,
    cancel: CancellationToken,
) -> std::io::Result<(SocketAddr, actix_web::dev::Server)> {
    let listen_addr = settings.listen_addr.clone();
    let lag = Duration::from_millis(settings.report_lag_ms.max(1));
    let engine = web::Data::from(Arc::new(Engine::new(settings)));
    let publishing_engine = engine.clone();
    let publisher_cancel = cancel.clone();
    actix_web::rt::spawn(async move {
        while !publisher_cancel.is_cancelled() {
            let current_load = publishing_engine.measure_load();
            *publishing_engine.published_load.lock().expect("load lock") = current_load;
            tokio::time::sleep(lag).await;
        }
    });
    let options = ServerOptions::default();
    http::serve(&listen_addr, options, cancel, move || {
        actix_web::App::new()
            .app_data(engine.clone())
            .configure(configure_routes)
    })
}
