//! The engine emulator's HTTP routes and its continuous-batching time model.
//!
//! Every admitted sequence holds one of `max_batch` slots; each decode step of a sequence
//! lasts `decode_step_us + decode_us_per_seq * running`, so a fuller batch is slower per
//! token, as on a real engine. A stream whose caller goes away is cancelled at once and
//! frees its slot.

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

/// Chunks buffered per stream before the engine waits for the reader.
const STREAM_BUFFER: usize = 64;

/// The engine's load, as published with a lag on `GET /load`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Sequences decoding now.
    pub running: usize,
    /// Sequences waiting for a slot.
    pub waiting: usize,
    /// Slots in all.
    pub max_batch: usize,
    /// Prefix cache tokens held.
    pub cache_used_tokens: usize,
    /// Prefix cache capacity in tokens.
    pub cache_capacity_tokens: usize,
}

/// Counters on `GET /stats`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStats {
    /// Requests admitted to a slot.
    pub requests_total: u64,
    /// Tokens generated.
    pub tokens_total: u64,
    /// Streams cancelled because their caller went away.
    pub cancelled_total: u64,
}

/// The engine: slots, cache, role and counters.
pub struct Engine {
    settings: EngineSettings,
    slots: Arc<Semaphore>,
    running: AtomicUsize,
    waiting: AtomicUsize,
    cache: Mutex<PrefixCache>,
    role: Mutex<ServingState>,
    faults: Mutex<EngineFaults>,
    published: Mutex<EngineLoad>,
    requests_total: AtomicU64,
    tokens_total: AtomicU64,
    cancelled_total: AtomicU64,
}

impl Engine {
    /// An idle engine with `settings`.
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
            role: Mutex::new(ServingState::new(settings.models.clone())),
            published: Mutex::new(EngineLoad::default()),
            requests_total: AtomicU64::new(0),
            tokens_total: AtomicU64::new(0),
            cancelled_total: AtomicU64::new(0),
            settings,
        }
    }

    fn current_load(&self) -> EngineLoad {
        EngineLoad {
            running: self.running.load(Ordering::Relaxed),
            waiting: self.waiting.load(Ordering::Relaxed),
            max_batch: self.settings.max_batch,
            cache_used_tokens: self.cache.lock().expect("cache lock").used_tokens(),
            cache_capacity_tokens: self.settings.cache_capacity_tokens,
        }
    }

    fn step_time(&self) -> Duration {
        let running = self.running.load(Ordering::Relaxed) as u64;
        Duration::from_micros(
            self.settings.decode_step_us + self.settings.decode_us_per_seq * running,
        )
    }

    fn prefill_time(&self, prompt: &str, resume_from: usize) -> Duration {
        let cached = self.cache.lock().expect("cache lock").insert_prompt(prompt);
        let tokens = text::count_tokens(prompt) + resume_from;
        let uncached = tokens.saturating_sub(cached) as u64;
        Duration::from_micros(uncached * self.settings.prefill_us_per_token)
    }

    /// Runs one sequence, sending each token to `out`; stops early when `out` closes.
    async fn generate(
        self: Arc<Self>,
        id: String,
        request: CompletionRequest,
        resume_from: usize,
        out: mpsc::Sender<String>,
    ) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let permit = tokio::select! {
            permit = self.slots.clone().acquire_owned() => permit,
            _ = out.closed() => {
                self.waiting.fetch_sub(1, Ordering::Relaxed);
                return;
            }
        };
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let Ok(_permit) = permit else { return };
        self.running.fetch_add(1, Ordering::Relaxed);
        self.requests_total.fetch_add(1, Ordering::Relaxed);
        let prompt = request.prompt_text();
        let hash = text::prompt_hash(&prompt);
        let max_tokens = request.max_tokens();
        tokio::time::sleep(self.prefill_time(&prompt, resume_from)).await;
        for index in resume_from..max_tokens {
            tokio::time::sleep(self.step_time()).await;
            let piece = text::token(hash, index);
            let finish = index + 1 == max_tokens;
            let stream_chunk = openai::stream_chunk(&id, &request, &piece, finish).to_string();
            if out.send(stream_chunk).await.is_err() {
                self.cancelled_total.fetch_add(1, Ordering::Relaxed);
                break;
            }
            self.tokens_total.fetch_add(1, Ordering::Relaxed);
        }
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

fn error_body(status: actix_web::http::StatusCode, message: &str) -> HttpResponse {
    HttpResponse::build(status)
        .json(serde_json::json!({"error": {"message": message, "code": "engine"}}))
}

async fn complete(
    engine: web::Data<Engine>,
    req: HttpRequest,
    body: web::Json<CompletionRequest>,
) -> HttpResponse {
    let request = body.into_inner();
    if !engine
        .role
        .lock()
        .expect("role lock")
        .serves(&request.model)
    {
        return error_body(
            actix_web::http::StatusCode::NOT_FOUND,
            "model not served here",
        );
    }
    let resume_from = req
        .headers()
        .get(foxwheel_core::protocol::RESUME_FROM_HEADER)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let id = req
        .headers()
        .get(foxwheel_core::protocol::REQUEST_ID_HEADER)
        .and_then(|v| v.to_str().ok())
        .map(str::to_owned)
        .unwrap_or_else(|| format!("cmpl-{}", engine.requests_total.load(Ordering::Relaxed)));
    let (tx, mut rx) = mpsc::channel::<String>(STREAM_BUFFER);
    let engine = engine.into_inner();
    let faults = *engine.faults.lock().expect("faults lock");
    actix_web::rt::spawn(engine.generate(id.clone(), request.clone(), resume_from, tx));
    if request.stream {
        let events = apply_fault(sse_events(rx), faults);
        return HttpResponse::Ok()
            .content_type("text/event-stream")
            .insert_header(("cache-control", "no-cache"))
            .streaming(events);
    }
    let mut answer = String::new();
    let mut tokens = 0;
    while let Some(stream_chunk) = rx.recv().await {
        if faults.response_fault.is_some() && tokens == faults.after_tokens {
            let half = futures::stream::once(async { Ok(Bytes::from_static(b"{\"choices\": [")) });
            return HttpResponse::Ok()
                .content_type("application/json")
                .streaming(apply_fault(
                    half,
                    EngineFaults {
                        after_tokens: 1,
                        ..faults
                    },
                ));
        }
        let value: serde_json::Value = serde_json::from_str(&stream_chunk).unwrap_or_default();
        answer.push_str(openai::extract_text(&value).unwrap_or_default());
        tokens += 1;
    }
    let prompt_tokens = text::count_tokens(&request.prompt_text());
    let usage = openai::Usage {
        prompt_tokens,
        completion_tokens: tokens,
        total_tokens: prompt_tokens + tokens,
    };
    HttpResponse::Ok().json(openai::full_response(&id, &request, &answer, usage))
}

/// Breaks a stream of events as `faults` says, after so many of them.
fn apply_fault(
    events: impl futures::Stream<Item = Result<Bytes, actix_web::Error>> + 'static,
    faults: EngineFaults,
) -> futures::stream::LocalBoxStream<'static, Result<Bytes, actix_web::Error>> {
    use futures::StreamExt;
    let Some(how) = faults.response_fault else {
        return events.boxed_local();
    };
    let cut = events.take(faults.after_tokens);
    match how {
        ResponseFault::EndEarly => cut.boxed_local(),
        ResponseFault::Stall => cut.chain(futures::stream::pending()).boxed_local(),
        ResponseFault::Abort => {
            let abort = actix_web::error::ErrorInternalServerError("aborted by fault");
            cut.chain(futures::stream::once(async { Err(abort) }))
                .boxed_local()
        }
    }
}

/// Turns the chunk channel into server-sent events, ending with `data: [DONE]`.
fn sse_events(
    rx: mpsc::Receiver<String>,
) -> impl futures::Stream<Item = Result<Bytes, actix_web::Error>> {
    use futures::StreamExt;
    let chunks = receiver_stream(rx).map(|c| Ok(Bytes::from(format!("data: {c}\n\n"))));
    let done = futures::stream::once(async { Ok(Bytes::from_static(b"data: [DONE]\n\n")) });
    chunks.chain(done)
}

fn receiver_stream(mut rx: mpsc::Receiver<String>) -> impl futures::Stream<Item = String> {
    futures::stream::poll_fn(move |cx| rx.poll_recv(cx))
}

async fn load(engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.published.lock().expect("load lock").clone())
}

async fn stats(engine: web::Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(EngineStats {
        requests_total: engine.requests_total.load(Ordering::Relaxed),
        tokens_total: engine.tokens_total.load(Ordering::Relaxed),
        cancelled_total: engine.cancelled_total.load(Ordering::Relaxed),
    })
}

async fn models(engine: web::Data<Engine>) -> HttpResponse {
    let role = engine.role.lock().expect("role lock").clone();
    HttpResponse::Ok().json(role)
}

async fn apply_command(engine: web::Data<Engine>, body: web::Json<Command>) -> HttpResponse {
    let mode = engine.settings.fencing_mode;
    let outcome = engine
        .role
        .lock()
        .expect("role lock")
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

async fn cache_events(engine: web::Data<Engine>, query: web::Query<EventsQuery>) -> HttpResponse {
    let lag = Duration::from_millis(engine.settings.report_lag_ms);
    let events = engine
        .cache
        .lock()
        .expect("cache lock")
        .published_events(query.from, lag);
    HttpResponse::Ok().json(events)
}

/// Registers the engine's routes.
pub fn routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/v1/chat/completions", web::post().to(complete))
        .route("/v1/completions", web::post().to(complete))
        .route("/v1/models", web::get().to(models))
        .route("/load", web::get().to(load))
        .route("/stats", web::get().to(stats))
        .route("/faults", web::post().to(set_faults))
        .route("/orders", web::post().to(apply_command))
        .route("/cache/events", web::get().to(cache_events));
}

/// Starts the engine; it stops gracefully when `cancel` fires. Returns the bound address.
pub fn start(
    settings: EngineSettings,
    cancel: CancellationToken,
) -> std::io::Result<(SocketAddr, actix_web::dev::Server)> {
    let listen_addr = settings.listen_addr.clone();
    let lag = Duration::from_millis(settings.report_lag_ms.max(1));
    let engine = web::Data::from(Arc::new(Engine::new(settings)));
    let publisher = engine.clone();
    let publisher_cancel = cancel.clone();
    actix_web::rt::spawn(async move {
        while !publisher_cancel.is_cancelled() {
            let now = publisher.current_load();
            *publisher.published.lock().expect("load lock") = now;
            tokio::time::sleep(lag).await;
        }
    });
    let shape = ServerOptions::default();
    http::serve(&listen_addr, shape, cancel, move || {
        actix_web::App::new()
            .app_data(engine.clone())
            .configure(routes)
    })
}
