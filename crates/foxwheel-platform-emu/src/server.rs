//! The emulator's HTTP routes.

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
use crate::state::{Metadata, Object, ObjectStore, RateLimit, StoreError};

/// Longest a watch may wait, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 30_000;

/// Most objects on one page of a list.
const PAGE_OBJECTS: usize = 500;

/// The pause between two saves of the data file.
const SAVE_INTERVAL: Duration = Duration::from_millis(100);

/// Which budget a call is charged to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
    Watch,
}

struct Inner {
    data: ObjectStore,
    reads: RateLimit,
    writes: RateLimit,
    counts: CallCounts,
    faults: Faults,
    writes_seen: u64,
}

/// The emulator: its data behind one lock, and a notifier for waiting watches.
pub struct Emulator {
    inner: Mutex<Inner>,
    changed: tokio::sync::Notify,
    started: Instant,
}

impl Emulator {
    /// A store with the limits in `settings`, holding what its data file holds, if any.
    pub fn new(settings: &PlatformSettings) -> std::io::Result<Self> {
        let saved = settings.data_file.as_deref().map(data_file::load);
        let data = match saved.transpose()?.flatten() {
            Some(saved) => ObjectStore::restore(saved, settings.history_len),
            None => ObjectStore::new(settings.history_len),
        };
        Ok(Self {
            inner: Mutex::new(Inner {
                data,
                reads: RateLimit::new(settings.read_limit_per_s),
                writes: RateLimit::new(settings.write_limit_per_s),
                counts: CallCounts::default(),
                faults: Faults::default(),
                writes_seen: 0,
            }),
            changed: tokio::sync::Notify::new(),
            started: Instant::now(),
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("emulator lock")
    }

    /// Counts the call, applies the delay fault, and refuses it under an outage or limit.
    async fn admit(&self, kind: CallKind, request: &HttpRequest) -> Result<(), HttpResponse> {
        let caller = request.peer_addr().map(|addr| addr.ip());
        let delay_ms = self.lock().faults.delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let refusal = self.count(kind, caller);
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

    /// Counts the call; answers how it is turned away, if it is.
    fn count(&self, kind: CallKind, caller: Option<IpAddr>) -> Option<Refusal> {
        let mut inner = self.lock();
        match kind {
            CallKind::Read => inner.counts.reads += 1,
            CallKind::Write => inner.counts.writes += 1,
            CallKind::Watch => inner.counts.watches += 1,
        }
        let hosts = &inner.faults.only_hosts;
        let meant = hosts.is_empty() || caller.is_some_and(|ip| hosts.contains(&ip));
        let refusal = if inner.faults.outage && meant {
            Some(inner.faults.refusal)
        } else {
            let started = self.started;
            let allowed = match kind {
                CallKind::Write => inner.writes.try_acquire(started),
                CallKind::Read | CallKind::Watch => inner.reads.try_acquire(started),
            };
            (!allowed).then_some(Refusal::RateLimited)
        };
        inner.counts.refused += u64::from(refusal.is_some());
        refusal
    }

    /// If the answer of this write is to be lost: how long before the write is done.
    fn next_lost_write_delay(&self) -> Option<Duration> {
        let mut inner = self.lock();
        inner.writes_seen += 1;
        let every = inner.faults.lose_reply_every;
        let lost = every > 0 && inner.writes_seen % every == 0;
        lost.then(|| Duration::from_millis(inner.faults.late_ms))
    }

    fn apply(&self, change: WriteOperation) -> Result<Object, StoreError> {
        let result = change.apply(&mut self.lock().data);
        if result.is_ok() {
            self.changed.notify_waiters();
        }
        result
    }
}

/// One write.
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
    fn apply(self, data: &mut ObjectStore) -> Result<Object, StoreError> {
        match self {
            Self::Create { kind, object } => data.create(&kind, object),
            Self::Replace { kind, name, body } => {
                let finalizers = body.metadata.finalizers;
                data.change(&kind, &name, body.metadata.revision, |object| {
                    object.spec = body.spec;
                    if let Some(finalizers) = finalizers {
                        object.metadata.finalizers = finalizers;
                    }
                })
            }
            Self::SetStatus { kind, name, body } => {
                data.change(&kind, &name, body.metadata.revision, |object| {
                    object.status = body.status;
                })
            }
            Self::Delete {
                kind,
                name,
                revision,
            } => data.change(&kind, &name, revision, |object| {
                object.metadata.deleting = true;
            }),
        }
    }
}

/// The body of a write.
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

/// An answer that breaks off, so that the connection closes without a whole answer.
fn aborted_response() -> HttpResponse {
    let broken = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let body = futures::stream::once(async move { Err::<web::Bytes, _>(broken) });
    HttpResponse::Ok().streaming(body)
}

fn refusal(refused: StoreError) -> HttpResponse {
    match refused {
        StoreError::NotFound => HttpResponse::NotFound().finish(),
        StoreError::Conflict(object) => HttpResponse::Conflict().json(object),
        StoreError::HistoryExpired => HttpResponse::Gone().finish(),
        StoreError::TooLarge => HttpResponse::PayloadTooLarge().body("value larger than 1 MiB"),
    }
}

async fn write(
    emu: web::Data<Emulator>,
    request: HttpRequest,
    change: WriteOperation,
) -> HttpResponse {
    if let Err(refused) = emu.admit(CallKind::Write, &request).await {
        return refused;
    }
    match emu.next_lost_write_delay() {
        None => match emu.apply(change) {
            Ok(object) => HttpResponse::Ok().json(object),
            Err(refused) => refusal(refused),
        },
        Some(late) if late.is_zero() => {
            // Its answer is lost, whatever it is.
            let _ = emu.apply(change);
            aborted_response()
        }
        Some(late) => {
            actix_web::rt::spawn(async move {
                tokio::time::sleep(late).await;
                let _ = emu.apply(change);
            });
            aborted_response()
        }
    }
}

async fn create(
    emu: web::Data<Emulator>,
    request: HttpRequest,
    kind: web::Path<String>,
    body: web::Json<ObjectBody>,
) -> HttpResponse {
    let body = body.into_inner();
    let change = WriteOperation::Create {
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
    write(emu, request, change).await
}

async fn replace(
    emu: web::Data<Emulator>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: web::Json<ObjectBody>,
) -> HttpResponse {
    let (kind, name) = path.into_inner();
    let body = body.into_inner();
    write(emu, request, WriteOperation::Replace { kind, name, body }).await
}

async fn set_status(
    emu: web::Data<Emulator>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: web::Json<ObjectBody>,
) -> HttpResponse {
    let (kind, name) = path.into_inner();
    let body = body.into_inner();
    write(emu, request, WriteOperation::SetStatus { kind, name, body }).await
}

#[derive(Debug, Deserialize)]
struct DeleteQuery {
    revision: Option<Version>,
}

async fn delete(
    emu: web::Data<Emulator>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    query: web::Query<DeleteQuery>,
) -> HttpResponse {
    let (kind, name) = path.into_inner();
    let change = WriteOperation::Delete {
        kind,
        name,
        revision: query.revision,
    };
    write(emu, request, change).await
}

async fn get_one(
    emu: web::Data<Emulator>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
) -> HttpResponse {
    if let Err(refused) = emu.admit(CallKind::Read, &request).await {
        return refused;
    }
    let (kind, name) = path.into_inner();
    let found = emu.lock().data.get(&kind, &name);
    match found {
        Ok(object) => HttpResponse::Ok().json(object),
        Err(refused) => refusal(refused),
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

async fn list_or_watch(
    emu: web::Data<Emulator>,
    request: HttpRequest,
    kind: web::Path<String>,
    query: web::Query<ListQuery>,
) -> HttpResponse {
    if let Some(from) = query.watch {
        return watch(emu, request, &kind, from, query.wait_ms).await;
    }
    if let Err(refused) = emu.admit(CallKind::Read, &request).await {
        return refused;
    }
    let inner = emu.lock();
    let (items, has_more) = inner.data.list(&kind, &query.after, PAGE_OBJECTS);
    let as_of = inner.data.revision();
    HttpResponse::Ok().json(json!({ "items": items, "has_more": has_more, "as_of": as_of }))
}

async fn watch(
    emu: web::Data<Emulator>,
    request: HttpRequest,
    kind: &str,
    from: Version,
    wait_ms: u64,
) -> HttpResponse {
    if let Err(refused) = emu.admit(CallKind::Watch, &request).await {
        return refused;
    }
    let deadline = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WATCH_WAIT_MS));
    loop {
        let notified = emu.changed.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        let (events, as_of) = {
            let inner = emu.lock();
            match inner.data.changes_since(kind, from) {
                Ok(events) => (events, inner.data.revision()),
                Err(refused) => return refusal(refused),
            }
        };
        let now = Instant::now();
        if !events.is_empty() || now >= deadline {
            let delay_ms = emu.lock().faults.watch_delay_ms;
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            return HttpResponse::Ok().json(json!({ "events": events, "as_of": as_of }));
        }
        // The end of the wait is seen above.
        let _ = tokio::time::timeout(deadline - now, notified).await;
    }
}

async fn stats(emu: web::Data<Emulator>) -> HttpResponse {
    let inner = emu.lock();
    let mut counts = inner.counts.clone();
    (counts.objects, counts.stored_bytes) = inner.data.object_count_and_bytes();
    HttpResponse::Ok().json(counts)
}

async fn set_faults(emu: web::Data<Emulator>, faults: web::Json<Faults>) -> HttpResponse {
    let faults = faults.into_inner();
    log::info!("faults set: {faults:?}");
    emu.lock().faults = faults;
    HttpResponse::Ok().json(json!({}))
}

async fn drop_history(emu: web::Data<Emulator>) -> HttpResponse {
    log::info!("history dropped");
    emu.lock().data.drop_history();
    emu.changed.notify_waiters();
    HttpResponse::Ok().json(json!({}))
}

/// Registers the emulator's routes.
pub fn routes(cfg: &mut web::ServiceConfig) {
    let kind = "/api/objects/{kind}";
    let one = "/api/objects/{kind}/{name}";
    cfg.route(kind, web::get().to(list_or_watch))
        .route(kind, web::post().to(create))
        .route(one, web::get().to(get_one))
        .route(one, web::put().to(replace))
        .route(one, web::delete().to(delete))
        .route(
            "/api/objects/{kind}/{name}/status",
            web::put().to(set_status),
        )
        .route("/stats", web::get().to(stats))
        .route("/faults", web::post().to(set_faults))
        .route("/drop-history", web::post().to(drop_history));
}

/// Saves the objects whenever they changed, until `cancel` fires and once more then.
async fn save_periodically(emu: web::Data<Emulator>, path: PathBuf, cancel: CancellationToken) {
    let mut saved_revision = 0;
    loop {
        let stopping = cancel.is_cancelled();
        let snapshot = {
            let inner = emu.lock();
            let changed = inner.data.revision() != saved_revision;
            changed.then(|| inner.data.snapshot())
        };
        if let Some(snapshot) = snapshot {
            match data_file::save(&path, &snapshot) {
                Ok(()) => saved_revision = snapshot.revision,
                Err(e) => log::warn!("{} not written: {e}", path.display()),
            }
        }
        if stopping {
            return;
        }
        tokio::select! {
            () = cancel.cancelled() => {}
            () = tokio::time::sleep(SAVE_INTERVAL) => {}
        }
    }
}

/// Starts the emulator; it stops gracefully when `cancel` fires. Returns the bound address.
pub fn start(
    settings: &PlatformSettings,
    cancel: CancellationToken,
) -> std::io::Result<(SocketAddr, actix_web::dev::Server)> {
    let emu = web::Data::from(Arc::new(Emulator::new(settings)?));
    if let Some(path) = settings.data_file.clone() {
        actix_web::rt::spawn(save_periodically(emu.clone(), path, cancel.clone()));
    }
    let shape = ServerOptions {
        shutdown_timeout: Duration::from_secs(5),
        ..ServerOptions::default()
    };
    http::serve(&settings.listen_addr, shape, cancel, move || {
        actix_web::App::new()
            .app_data(emu.clone())
            .app_data(web::JsonConfig::default().limit(2 * 1024 * 1024))
            .configure(routes)
    })
}
