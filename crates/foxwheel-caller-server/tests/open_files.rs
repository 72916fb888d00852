//! The open files of a server whose callers open many connections.

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};

use actix_web::{middleware, web, App, HttpResponse};
use foxwheel_caller_server::connections;
use foxwheel_callers::connections::CallerConnections;
use foxwheel_callers::host::HostLimits;
use foxwheel_core::http::{self, ServerOptions};
use foxwheel_core::telemetry::Counters;
use foxwheel_crowd::callers::{Crowd, Upload};
use foxwheel_crowd::usage::Usage;
use tokio_util::sync::CancellationToken;

const HOST: HostLimits = HostLimits {
    memory_bytes: 512_000_000,
    open_files: Some(400),
};

const REQUEST: &str = "GET / HTTP/1.1\r\nhost: server\r\n\r\n";

/// Files of `HOST` that a platform reserves for other purposes.
const RESERVED_FILES: usize = 200;

/// Held by the test that runs: the tests share their open files.
static RUNNING_TEST: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

fn open_files(addr: SocketAddr) -> usize {
    let usage = Usage::measure(std::process::id(), addr);
    usage.expect("the usage of this process").open_files
}

/// Starts a server that never responds, and opens a first connection to it.
async fn start(options: ServerOptions, cancel: CancellationToken) -> (SocketAddr, Crowd) {
    let listener = connections::listen("127.0.0.1:0", HOST).expect("an address");
    let (addr, server) = http::serve_on(listener, options, cancel, || {
        let silent = web::to(std::future::pending::<HttpResponse>);
        App::new()
            .wrap(middleware::from_fn(connections::track_request))
            .default_service(silent)
    })
    .expect("a server");
    actix_web::rt::spawn(server);
    // Its threads have opened their own files when they have accepted a connection.
    let first = Crowd::start(addr, 1, Upload::head_only(REQUEST.to_owned()));
    first.settle().await;
    (addr, first)
}

fn callers() -> Arc<CallerConnections> {
    connections::for_callers(HOST, Counters::new("server", None).expect("counters"))
}

/// Connections were accepted faster than they were registered.
#[actix_web::test]
async fn busy_server_accepts_more_connections_than_it_has_files_for() {
    const CALLERS: usize = 300;
    let _alone = RUNNING_TEST.lock().await;
    let busy = Arc::new((Mutex::new(true), Condvar::new()));
    let options = connections::server_options(callers());
    let register = options
        .on_connect
        .clone()
        .expect("connections are registered");
    let is_busy = Arc::clone(&busy);
    let options = ServerOptions {
        on_connect: Some(Arc::new(move |io, data| {
            let (lock, changed) = &*is_busy;
            let waiting = changed.wait_while(lock.lock().expect("lock"), |busy| *busy);
            drop(waiting.expect("lock"));
            register(io, data);
        })),
        ..options
    };
    let cancel = CancellationToken::new();
    let (addr, _first) = start(options, cancel.clone()).await;
    let files_before = open_files(addr);
    let crowd = Crowd::start(addr, CALLERS, Upload::head_only(REQUEST.to_owned()));
    crowd.settle().await;
    let files = open_files(addr) - CALLERS - files_before;
    *busy.0.lock().expect("lock") = false;
    busy.1.notify_all();
    crowd.leave().await;
    cancel.cancel();
    let max_files = HOST.open_files.map_or(0, |files| files as usize) - RESERVED_FILES;
    assert!(files <= max_files, "{files} files");
}

/// The handle that closes a connection was not counted.
#[actix_web::test]
async fn connections_take_more_files_than_are_counted() {
    const CALLERS: usize = 8;
    /// The connection to a backend server, which this server does not open.
    const BACKEND_FILES: usize = 1;
    let _alone = RUNNING_TEST.lock().await;
    let cancel = CancellationToken::new();
    let (addr, _first) = start(connections::server_options(callers()), cancel.clone()).await;
    let files_before = open_files(addr);
    let crowd = Crowd::start(addr, CALLERS, Upload::head_only(REQUEST.to_owned()));
    crowd.settle().await;
    let files = open_files(addr) - CALLERS - files_before;
    crowd.leave().await;
    cancel.cancel();
    let counted = CALLERS * (connections::FILES_PER_CONNECTION - BACKEND_FILES);
    assert!(files <= counted, "{files} files, {counted} are counted");
}
