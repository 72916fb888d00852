//! The HTTP routes of the platform emulator.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::{web, HttpRequest, HttpResponse};
use foxwheel_core::http::{self, ServerOptions};
use foxwheel_core::ids::Version;
use foxwheel_store::api::{CallCounts, Faults, Refusal};
use serde::Deserialize;
use serde_json::{json, Value};
use tokio_util::sync::CancellationToken;

use crate::data_file;
use crate::settings::PlatformSettings;
use crate::state::{Metadata, Object, ObjectStore, RateLimit, StoreError, MAX_VALUE_BYTES};

/// Longest time that a watch waits for changes, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 30_000;

/// Largest number of objects on one page of a list.
const MAX_PAGE_OBJECTS: usize = 500;

/// Time between two checks whether the data file has to be saved.
const SAVE_INTERVAL: Duration = Duration::from_millis(100);

/// The kind of a call, which decides its counter and its rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
    Watch,
}

struct State {
    store: ObjectStore,
    reads: RateLimit,
    writes: RateLimit,
    counts: CallCounts,
    faults: Faults,
    write_count: u64,
}

/// The emulator, with its state behind one lock and a notifier that wakes waiting watches.
pub struct Emulator {
    state: Mutex<State>,
    store_changed: tokio::sync::Notify,
    started_at: Instant,
}

impl Emulator {
    /// Returns an emulator with the limits of `settings` and the objects of its data file, if any.
    ///
    /// Returns an error if the data file can't be read.
    pub fn new(settings: &PlatformSettings) -> std::io::Result<Self> {
        let saved = settings.data_file.as_deref().map(data_file::load);
        let store = match saved.transpose()?.flatten() {
            Some(saved) => ObjectStore::restore(saved, settings.history_len),
            None => ObjectStore::new(settings.history_len),
        };
        Ok(Self {
            state: Mutex::new(State {
                store,
                reads: RateLimit::new(settings.read_limit_per_s),
                writes: RateLimit::new(settings.write_limit_per_s),
                counts: CallCounts::default(),
                faults: Faults::default(),
                write_count: 0,
            }),
            store_changed: tokio::sync::Notify::new(),
            started_at: Instant::now(),
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("emulator lock")
    }

    /// Applies the delay fault, counts the call, and refuses it during an outage or over the rate
    /// limit. The error is the response to the refused call; under [`Refusal::Silent`] this never
    /// returns.
    async fn admit_call(&self, kind: CallKind, request: &HttpRequest) -> Result<(), HttpResponse> {
        let caller = request.peer_addr().map(|addr| addr.ip());
        let delay_ms = self.lock().faults.delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let refusal = self.record_call(kind, caller);
        match refusal {
            None => Ok(()),
            Some(Refusal::Busy) => Err(HttpResponse::ServiceUnavailable().body("outage")),
            Some(Refusal::RateLimited) => Err(HttpResponse::TooManyRequests()
                .insert_header(("retry-after", "1"))
                .body("rate limited")),
            Some(Refusal::Reset) => Err(aborted_response()),
            Some(Refusal::Silent) => std::future::pending().await,
        }
    }

    /// Counts the call and returns how it is refused, `None` if it is not.
    fn record_call(&self, kind: CallKind, caller: Option<IpAddr>) -> Option<Refusal> {
        let mut state = self.lock();
        match kind {
            CallKind::Read => state.counts.reads += 1,
            CallKind::Write => state.counts.writes += 1,
            CallKind::Watch => state.counts.watches += 1,
        }
        let hosts = &state.faults.only_hosts;
        let is_affected = hosts.is_empty() || caller.is_some_and(|ip| hosts.contains(&ip));
        let refusal = if state.faults.outage && is_affected {
            Some(state.faults.refusal)
        } else {
            let started_at = self.started_at;
            let is_limited = state.faults.limit_writes;
            let is_allowed = match kind {
                CallKind::Write if is_limited => false,
                CallKind::Write => state.writes.try_acquire(started_at),
                CallKind::Read | CallKind::Watch => state.reads.try_acquire(started_at),
            };
            (!is_allowed).then_some(Refusal::RateLimited)
        };
        state.counts.refused += u64::from(refusal.is_some());
        refusal
    }

    /// Counts the write. If its response is to be lost, returns the delay after which the write is
    /// applied.
    fn lost_response_delay(&self) -> Option<Duration> {
        let mut state = self.lock();
        state.write_count += 1;
        let every = state.faults.lose_reply_every;
        let is_lost = every > 0 && state.write_count % every == 0;
        is_lost.then(|| Duration::from_millis(state.faults.late_ms))
    }

    fn apply_write(&self, write: WriteOperation) -> Result<Object, StoreError> {
        let result = write.apply_to(&mut self.lock().store);
        if result.is_ok() {
            self.store_changed.notify_waiters();
        }
        result
    }
}

/// A write to the store.
enum WriteOperation {
    Create {
        kind: String,
        object: Object,
    },
    Replace {
        kind: String,
        name: String,
        body: ObjectBody,
    },
    SetStatus {
        kind: String,
        name: String,
        body: ObjectBody,
    },
    Delete {
        kind: String,
        name: String,
        revision: Option<Version>,
    },
}

impl WriteOperation {
    fn apply_to(self, store: &mut ObjectStore) -> Result<Object, StoreError> {
        match self {
            Self::Create { kind, object } => store.create(&kind, object),
            Self::Replace { kind, name, body } => {
                let finalizers = body.metadata.finalizers;
                store.update(&kind, &name, body.metadata.revision, |object| {
                    object.spec = body.spec;
                    if let Some(finalizers) = finalizers {
                        object.metadata.finalizers = finalizers;
                    }
                })
            }
            Self::SetStatus { kind, name, body } => {
                store.update(&kind, &name, body.metadata.revision, |object| {
                    object.status = body.status;
                })
            }
            Self::Delete {
                kind,
                name,
                revision,
            } => store.update(&kind, &name, revision, |object| {
                object.metadata.deleting = true;
            }),
        }
    }
}

/// The body of a write request.
#[derive(Debug, Default, Deserialize)]
struct ObjectBody {
    #[serde(default)]
    metadata: MetadataBody,
    #[serde(default)]
    spec: Value,
    #[serde(default)]
    status: Value,
}

#[derive(Debug, Default, Deserialize)]
struct MetadataBody {
    #[serde(default)]
    name: String,
    revision: Option<Version>,
    finalizers: Option<Vec<String>>,
}

/// Returns a response whose body fails at once, so that the connection closes without a complete
/// response.
fn aborted_response() -> HttpResponse {
    let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let body = futures::stream::once(async move { Err::<web::Bytes, _>(reset) });
    HttpResponse::Ok().streaming(body)
}

fn error_response(error: StoreError) -> HttpResponse {
    match error {
        StoreError::NotFound => HttpResponse::NotFound().finish(),
        StoreError::Conflict(object) => HttpResponse::Conflict().json(object),
        StoreError::HistoryExpired => HttpResponse::Gone().finish(),
        StoreError::TooLarge => HttpResponse::PayloadTooLarge().body("value too large"),
    }
}

async fn serve_write(
    emulator: web::Data<Emulator>,
    request: HttpRequest,
    write: WriteOperation,
) -> HttpResponse {
    if let Err(response) = emulator.admit_call(CallKind::Write, &request).await {
        return response;
    }
    match emulator.lost_response_delay() {
        None => match emulator.apply_write(write) {
            Ok(object) => HttpResponse::Ok().json(object),
            Err(error) => error_response(error),
        },
        Some(late_delay) if late_delay.is_zero() => {
            // The response is lost, whether the write succeeds or not.
            let _ = emulator.apply_write(write);
            aborted_response()
        }
        Some(late_delay) => {
            actix_web::rt::spawn(async move {
                tokio::time::sleep(late_delay).await;
                let _ = emulator.apply_write(write);
            });
            aborted_response()
        }
    }
}

async fn serve_create(
    emulator: web::Data<Emulator>,
    request: HttpRequest,
    kind: web::Path<String>,
    body: web::Json<ObjectBody>,
) -> HttpResponse {
    let body = body.into_inner();
    let write = WriteOperation::Create {
        kind: kind.into_inner(),
        object: Object {
            metadata: Metadata {
                name: body.metadata.name,
                revision: 0,
                created: 0,
                finalizers: body.metadata.finalizers.unwrap_or_default(),
                deleting: false,
            },
            spec: body.spec,
            status: body.status,
        },
    };
    serve_write(emulator, request, write).await
}

async fn serve_replace(
    emulator: web::Data<Emulator>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: web::Json<ObjectBody>,
) -> HttpResponse {
    let (kind, name) = path.into_inner();
    let body = body.into_inner();
    serve_write(
        emulator,
        request,
        WriteOperation::Replace { kind, name, body },
    )
    .await
}

async fn serve_set_status(
    emulator: web::Data<Emulator>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: web::Json<ObjectBody>,
) -> HttpResponse {
    let (kind, name) = path.into_inner();
    let body = body.into_inner();
    serve_write(
        emulator,
        request,
        WriteOperation::SetStatus { kind, name, body },
    )
    .await
}

#[derive(Debug, Deserialize)]
struct DeleteQuery {
    revision: Option<Version>,
}

async fn serve_delete(
    emulator: web::Data<Emulator>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    query: web::Query<DeleteQuery>,
) -> HttpResponse {
    let (kind, name) = path.into_inner();
    let write = WriteOperation::Delete {
        kind,
        name,
        revision: query.revision,
    };
    serve_write(emulator, request, write).await
}

async fn serve_get(
    emulator: web::Data<Emulator>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
) -> HttpResponse {
    if let Err(response) = emulator.admit_call(CallKind::Read, &request).await {
        return response;
    }
    let (kind, name) = path.into_inner();
    let found = emulator.lock().store.get(&kind, &name);
    match found {
        Ok(object) => HttpResponse::Ok().json(object),
        Err(error) => error_response(error),
    }
}

#[derive(Debug, Deserialize)]
struct ListQuery {
    #[serde(default)]
    after: String,
    watch: Option<Version>,
    #[serde(default)]
    wait_ms: u64,
}

async fn serve_list_or_watch(
    emulator: web::Data<Emulator>,
    request: HttpRequest,
    kind: web::Path<String>,
    query: web::Query<ListQuery>,
) -> HttpResponse {
    if let Some(from) = query.watch {
        return serve_watch(emulator, request, &kind, from, query.wait_ms).await;
    }
    if let Err(response) = emulator.admit_call(CallKind::Read, &request).await {
        return response;
    }
    let state = emulator.lock();
    let (items, has_more) = state.store.list(&kind, &query.after, MAX_PAGE_OBJECTS);
    let as_of = state.store.revision();
    HttpResponse::Ok().json(json!({ "items": items, "has_more": has_more, "as_of": as_of }))
}

async fn serve_watch(
    emulator: web::Data<Emulator>,
    request: HttpRequest,
    kind: &str,
    from: Version,
    wait_ms: u64,
) -> HttpResponse {
    if let Err(response) = emulator.admit_call(CallKind::Watch, &request).await {
        return response;
    }
    let is_lost = emulator.lock().faults.lose_watches;
    if is_lost {
        return std::future::pending().await;
    }
    let deadline = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WATCH_WAIT_MS));
    loop {
        let notified = emulator.store_changed.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        let (events, as_of) = {
            let state = emulator.lock();
            match state.store.changes_since(kind, from) {
                Ok(events) => (events, state.store.revision()),
                Err(error) => return error_response(error),
            }
        };
        let now = Instant::now();
        if !events.is_empty() || now >= deadline {
            let delay_ms = emulator.lock().faults.watch_delay_ms;
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            return HttpResponse::Ok().json(json!({ "events": events, "as_of": as_of }));
        }
        // A timeout needs no handling: the loop checks the deadline.
        let _ = tokio::time::timeout(deadline - now, notified).await;
    }
}

async fn get_stats(emulator: web::Data<Emulator>) -> HttpResponse {
    let state = emulator.lock();
    let mut counts = state.counts.clone();
    (counts.objects, counts.stored_bytes) = state.store.object_count_and_bytes();
    HttpResponse::Ok().json(counts)
}

async fn set_faults(emulator: web::Data<Emulator>, faults: web::Json<Faults>) -> HttpResponse {
    let faults = faults.into_inner();
    log::info!("faults set: {faults:?}");
    let max_value_bytes = match faults.max_value_bytes {
        0 => MAX_VALUE_BYTES,
        max_value_bytes => max_value_bytes,
    };
    let mut state = emulator.lock();
    state.store.set_max_value_bytes(max_value_bytes);
    state.faults = faults;
    HttpResponse::Ok().json(json!({}))
}

async fn drop_history(emulator: web::Data<Emulator>) -> HttpResponse {
    log::info!("history dropped");
    emulator.lock().store.drop_history();
    emulator.store_changed.notify_waiters();
    HttpResponse::Ok().json(json!({}))
}

/// Registers the routes of the emulator.
pub fn configure_routes(cfg: &mut web::ServiceConfig) {
    let kind_path = "/api/objects/{kind}";
    let object_path = "/api/objects/{kind}/{name}";
    cfg.route(kind_path, web::get().to(serve_list_or_watch))
        .route(kind_path, web::post().to(serve_create))
        .route(object_path, web::get().to(serve_get))
        .route(object_path, web::put().to(serve_replace))
        .route(object_path, web::delete().to(serve_delete))
        .route(
            "/api/objects/{kind}/{name}/status",
            web::put().to(serve_set_status),
        )
        .route("/stats", web::get().to(get_stats))
        .route("/faults", web::post().to(set_faults))
        .route("/drop-history", web::post().to(drop_history));
}

/// Saves the objects after changes, at most once per [`SAVE_INTERVAL`], and a last time when
/// `cancel` is cancelled.
async fn save_periodically(
    emulator: web::Data<Emulator>,
    path: PathBuf,
    cancel: CancellationToken,
) {
    let mut saved_revision = 0;
    loop {
        let is_stopping = cancel.is_cancelled();
        let snapshot = {
            let state = emulator.lock();
            let has_changed = state.store.revision() != saved_revision;
            has_changed.then(|| state.store.snapshot())
        };
        if let Some(snapshot) = snapshot {
            match data_file::save(&path, &snapshot) {
                Ok(()) => saved_revision = snapshot.revision,
                Err(error) => log::warn!("cannot write the data file {}: {error}", path.display()),
            }
        }
        if is_stopping {
            return;
        }
        tokio::select! {
            () = cancel.cancelled() => {}
            () = tokio::time::sleep(SAVE_INTERVAL) => {}
        }
    }
}

/// Starts the emulator and returns the address that it listens on and its server. The emulator
/// stops gracefully when `cancel` is cancelled.
///
/// Returns an error if the data file can't be read or the address of the settings can't be bound.
pub fn start(
    settings: &PlatformSettings,
    cancel: CancellationToken,
) -> std::io::Result<(SocketAddr, actix_web::dev::Server)> {
    let emulator = web::Data::from(Arc::new(Emulator::new(settings)?));
    if let Some(path) = settings.data_file.clone() {
        actix_web::rt::spawn(save_periodically(emulator.clone(), path, cancel.clone()));
    }
    let options = ServerOptions {
        shutdown_timeout: Duration::from_secs(5),
        ..ServerOptions::default()
    };
    http::serve(&settings.listen_addr, options, cancel, move || {
        actix_web::App::new()
            .app_data(emulator.clone())
            .app_data(web::JsonConfig::default().limit(2 * 1024 * 1024))
            .configure(configure_routes)
    })
}
