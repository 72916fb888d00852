//! The emulator's HTTP routes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::{web, HttpResponse};
use serde::Deserialize;
use tokio_util::sync::CancellationToken;

use foxwheel_core::http::{self, ServerShape};
use foxwheel_core::ids::Version;
use foxwheel_store::api;

use crate::data_file;
use crate::settings::PlatformSettings;
use crate::state::{Data, RateLimit, Refused};

/// Longest a watch may wait, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 60_000;

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
    data: Data,
    reads: RateLimit,
    writes: RateLimit,
    counts: api::CallCounts,
    faults: api::Faults,
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
            Some(saved) => Data::restore(saved, settings.history_len),
            None => Data::new(settings.history_len),
        };
        Ok(Self {
            inner: Mutex::new(Inner {
                data,
                reads: RateLimit::new(settings.read_limit_per_s),
                writes: RateLimit::new(settings.write_limit_per_s),
                counts: api::CallCounts::default(),
                faults: api::Faults::default(),
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
    async fn admit(&self, kind: CallKind) -> Result<(), HttpResponse> {
        let delay_ms = self.lock().faults.delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let mut inner = self.lock();
        match kind {
            CallKind::Read => inner.counts.reads += 1,
            CallKind::Write => inner.counts.writes += 1,
            CallKind::Watch => inner.counts.watches += 1,
        }
        if inner.faults.outage {
            inner.counts.refused += 1;
            return Err(HttpResponse::ServiceUnavailable().body("outage"));
        }
        let started = self.started;
        let allowed = match kind {
            CallKind::Write => inner.writes.take(started),
            CallKind::Read | CallKind::Watch => inner.reads.take(started),
        };
        if !allowed {
            inner.counts.refused += 1;
            return Err(HttpResponse::TooManyRequests()
                .insert_header(("retry-after", "1"))
                .body("rate limited"));
        }
        Ok(())
    }

    /// Whether this write's reply is to be lost after it took effect.
    fn lose_this_reply(&self) -> bool {
        let mut inner = self.lock();
        inner.writes_seen += 1;
        let every = inner.faults.lose_reply_every;
        every > 0 && inner.writes_seen % every == 0
    }
}

fn refusal(refused: Refused) -> HttpResponse {
    match refused {
        Refused::NotFound => HttpResponse::NotFound().finish(),
        Refused::Conflict(current_version) => {
            HttpResponse::Conflict().json(api::Conflict { current_version })
        }
        Refused::Gone => HttpResponse::Gone().finish(),
        Refused::TooLarge => HttpResponse::PayloadTooLarge().body("value larger than 1 MiB"),
    }
}

async fn get_object(emu: web::Data<Emulator>, key: web::Path<String>) -> HttpResponse {
    if let Err(r) = emu.admit(CallKind::Read).await {
        return r;
    }
    match emu.lock().data.get(&key) {
        Ok(object) => HttpResponse::Ok().json(object),
        Err(e) => refusal(e),
    }
}

async fn put_object(
    emu: web::Data<Emulator>,
    key: web::Path<String>,
    body: web::Json<api::PutRequest>,
) -> HttpResponse {
    if let Err(r) = emu.admit(CallKind::Write).await {
        return r;
    }
    let body = body.into_inner();
    let result = emu.lock().data.put(&key, body.value, body.if_version);
    match result {
        Ok(object) => {
            emu.changed.notify_waiters();
            if emu.lose_this_reply() {
                return HttpResponse::ServiceUnavailable().body("reply lost");
            }
            HttpResponse::Ok().json(object)
        }
        Err(e) => refusal(e),
    }
}

#[derive(Debug, Deserialize)]
struct DeleteQuery {
    if_version: Option<Version>,
}

async fn delete_object(
    emu: web::Data<Emulator>,
    key: web::Path<String>,
    query: web::Query<DeleteQuery>,
) -> HttpResponse {
    if let Err(r) = emu.admit(CallKind::Write).await {
        return r;
    }
    let result = emu.lock().data.delete(&key, query.if_version);
    match result {
        Ok(()) => {
            emu.changed.notify_waiters();
            if emu.lose_this_reply() {
                return HttpResponse::ServiceUnavailable().body("reply lost");
            }
            HttpResponse::NoContent().finish()
        }
        Err(e) => refusal(e),
    }
}

#[derive(Debug, Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

async fn list(emu: web::Data<Emulator>, query: web::Query<ListQuery>) -> HttpResponse {
    if let Err(r) = emu.admit(CallKind::Read).await {
        return r;
    }
    let listed = emu.lock().data.list(&query.prefix);
    HttpResponse::Ok().json(listed)
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    #[serde(default)]
    prefix: String,
    from_version: Version,
    #[serde(default)]
    timeout_ms: u64,
}

async fn watch(emu: web::Data<Emulator>, query: web::Query<WatchQuery>) -> HttpResponse {
    if let Err(r) = emu.admit(CallKind::Watch).await {
        return r;
    }
    let deadline = Instant::now() + Duration::from_millis(query.timeout_ms.min(MAX_WATCH_WAIT_MS));
    loop {
        let notified = emu.changed.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        let (events, revision) = {
            let inner = emu.lock();
            match inner.data.changes_since(&query.prefix, query.from_version) {
                Ok(events) => (events, inner.data.revision()),
                Err(e) => return refusal(e),
            }
        };
        let now = Instant::now();
        if !events.is_empty() || now >= deadline {
            return HttpResponse::Ok().json(api::WatchResponse { events, revision });
        }
        let _ = tokio::time::timeout(deadline - now, notified).await;
    }
}

async fn stats(emu: web::Data<Emulator>) -> HttpResponse {
    let inner = emu.lock();
    let mut counts = inner.counts.clone();
    (counts.objects, counts.stored_bytes) = inner.data.sizes();
    HttpResponse::Ok().json(counts)
}

async fn set_faults(emu: web::Data<Emulator>, faults: web::Json<api::Faults>) -> HttpResponse {
    let faults = faults.into_inner();
    log::info!("faults set: {faults:?}");
    emu.lock().faults = faults;
    HttpResponse::Ok().json(serde_json::json!({}))
}

/// Registers the emulator's routes.
pub fn routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/objects/{key:.*}", web::get().to(get_object))
        .route("/objects/{key:.*}", web::put().to(put_object))
        .route("/objects/{key:.*}", web::delete().to(delete_object))
        .route("/list", web::get().to(list))
        .route("/watch", web::get().to(watch))
        .route("/stats", web::get().to(stats))
        .route("/faults", web::post().to(set_faults));
}

/// Saves the objects whenever they changed, until `cancel` fires and once more then.
async fn keep_saved(emu: web::Data<Emulator>, path: PathBuf, cancel: CancellationToken) {
    let mut saved_revision = 0;
    loop {
        let stopping = cancel.is_cancelled();
        let everything = {
            let inner = emu.lock();
            let changed = inner.data.revision() != saved_revision;
            changed.then(|| inner.data.list(""))
        };
        if let Some(everything) = everything {
            match data_file::save(&path, &everything) {
                Ok(()) => saved_revision = everything.revision,
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
        actix_web::rt::spawn(keep_saved(emu.clone(), path, cancel.clone()));
    }
    let shape = ServerShape {
        shutdown_timeout: Duration::from_secs(5),
        ..ServerShape::default()
    };
    http::serve(&settings.listen_addr, shape, cancel, move || {
        actix_web::App::new()
            .app_data(emu.clone())
            .app_data(web::JsonConfig::default().limit(2 * 1024 * 1024))
            .configure(routes)
    })
}
