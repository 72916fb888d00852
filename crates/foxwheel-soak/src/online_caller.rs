//! Callers of online requests. Each caller sends one request at a time and keeps its connection
//! open between requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_http1::connection::Connection;
use hyper::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio_util::sync::CancellationToken;

use crate::evidence::{Call, CallEnd, Recorder, RequestKind};
use crate::fleet::CRASHING_BODY;
use crate::front_client;

/// Time limit for a complete response. It is longer than the timeout of the routes.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Probability that a caller disconnects before its response is complete.
const DISCONNECT_SHARE: f64 = 0.1;
/// Range of times after which such a caller disconnects, in milliseconds.
const DISCONNECT_DELAY_MS: std::ops::Range<u64> = 5..40;

/// Range of pauses between two calls of a caller, in milliseconds.
const CALL_INTERVAL_MS: std::ops::Range<u64> = 5..60;

/// A caller that sends online requests of random kinds to random fronts.
pub struct OnlineCaller {
    /// Name of the caller. The ids of its requests start with it.
    pub name: String,
    /// Addresses of the fronts.
    pub fronts: Vec<SocketAddr>,
    /// Records the caller's calls.
    pub recorder: Arc<Recorder>,
}

/// A connection to the front with index `front`.
struct KeptConnection {
    front: usize,
    connection: Connection,
    reused: bool,
}

impl OnlineCaller {
    /// Makes calls until `stop` is cancelled.
    pub async fn run(self, seed: u64, stop: CancellationToken) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut kept_connection = None;
        let mut number = 0;
        while !stop.is_cancelled() {
            number += 1;
            let id = format!("{}-{number}", self.name);
            let kind = draw_kind(&mut rng);
            let front = rng.random_range(0..self.fronts.len());
            let disconnect_after = rng.random_bool(DISCONNECT_SHARE);
            let disconnect_after_ms = rng.random_range(DISCONNECT_DELAY_MS);
            let disconnect_after =
                disconnect_after.then(|| Duration::from_millis(disconnect_after_ms));
            kept_connection = self
                .make_call(id, kind, front, disconnect_after, kept_connection)
                .await;
            let pause = Duration::from_millis(rng.random_range(CALL_INTERVAL_MS));
            tokio::time::sleep(pause).await;
        }
    }

    /// Keeps sending the request that crashes servers, to all fronts in turn, until `stop` is
    /// cancelled.
    pub async fn repeat_crashing_request(self, stop: CancellationToken) {
        let mut number = 0;
        while !stop.is_cancelled() {
            let front = number % self.fronts.len();
            number += 1;
            let id = format!("{}-{number}", self.name);
            self.make_call(id, RequestKind::Crashing, front, None, None)
                .await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Makes one call, on the kept connection if that is still open. Returns the connection if the
    /// next call can use it.
    async fn make_call(
        &self,
        id: String,
        kind: RequestKind,
        front: usize,
        disconnect_after: Option<Duration>,
        kept: Option<KeptConnection>,
    ) -> Option<KeptConnection> {
        let connected_at = Instant::now();
        let mut kept = kept.filter(|kept| kept.connection.is_ready());
        if kept.is_none() {
            let opened = front_client::connect(self.fronts[front]).await;
            kept = opened.ok().map(|connection| KeptConnection {
                front,
                connection,
                reused: false,
            });
        }
        let sent_at = Instant::now();
        let record_call = |front, end| {
            let call = Call {
                id: id.clone(),
                kind,
                front,
                connected_at,
                sent_at,
                ended_at: Instant::now(),
                end,
            };
            self.recorder.lock().calls.push(call);
        };
        let Some(mut kept_connection) = kept else {
            record_call(front, CallEnd::NotSent);
            return None;
        };
        let timeout = disconnect_after.unwrap_or(RESPONSE_TIMEOUT);
        let sending = send_request(&mut kept_connection, &id, kind);
        let end = match tokio::time::timeout(timeout, sending).await {
            Ok(end) => end,
            Err(_) => CallEnd::Left {
                meant_to: disconnect_after.is_some(),
            },
        };
        let keeps_connection = matches!(end, CallEnd::Whole { .. });
        record_call(kept_connection.front, end);
        kept_connection.reused = true;
        keeps_connection.then_some(kept_connection)
    }
}

async fn send_request(
    kept_connection: &mut KeptConnection,
    id: &str,
    kind: RequestKind,
) -> CallEnd {
    let (method, path, body) = match kind {
        RequestKind::Plain => (Method::GET, "/plain/a", ""),
        RequestKind::Once => (Method::POST, "/once/a", "once"),
        RequestKind::Stream => (Method::POST, "/stream/a", "stream"),
        RequestKind::StreamOnce => (Method::POST, "/stream-once/a", "stream"),
        RequestKind::Crashing => (Method::POST, "/plain/crash", CRASHING_BODY),
    };
    let request = front_client::build_request(method, path, id, &[], body);
    let reused = kept_connection.reused;
    let head = match kept_connection.connection.send(request).await {
        Ok(head) => head,
        Err(e) if e.is_not_sent() => return CallEnd::NotSent,
        Err(_) => {
            return CallEnd::Broken {
                body: Vec::new(),
                reused,
            }
        }
    };
    let response = front_client::read_response(head).await;
    let body = response.body.to_vec();
    match response.is_complete {
        true => CallEnd::Whole {
            status: response.status.as_u16(),
            not_run: response.says_not_run(),
            body,
        },
        false => CallEnd::Broken { body, reused },
    }
}

fn draw_kind(rng: &mut StdRng) -> RequestKind {
    match rng.random_range(0..4) {
        0 => RequestKind::Plain,
        1 => RequestKind::Once,
        2 => RequestKind::Stream,
        _ => RequestKind::StreamOnce,
    }
}
