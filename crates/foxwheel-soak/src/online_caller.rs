//! Callers of online requests: each sends one after the other, over a connection it keeps.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_http1::connection::Connection;
use hyper::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio_util::sync::CancellationToken;

use crate::evidence::{Call, CallEnd, Kind, Record};
use crate::fleet::CRASHING_BODY;
use crate::front_client;

/// How long a caller waits for a whole answer; longer than a route's own limit.
const PATIENCE: Duration = Duration::from_secs(5);

/// Share of callers that leave early, and when.
const LEAVING_SHARE: f64 = 0.1;
const LEAVES_AFTER_MS: std::ops::Range<u64> = 5..40;

/// Pause between the calls of one caller.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

/// A caller.
pub struct Caller {
    /// Its name, the first part of its requests' ids.
    pub name: String,
    /// Where it finds the fronts.
    pub fronts: Vec<SocketAddr>,
    /// Where its calls are noted.
    pub record: Arc<Record>,
}

/// A connection to the front at a place.
struct Line {
    front: usize,
    connection: Connection,
    reused: bool,
}

impl Caller {
    /// Calls until `stop` fires.
    pub async fn run(self, seed: u64, stop: CancellationToken) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut line = None;
        let mut number = 0;
        while !stop.is_cancelled() {
            number += 1;
            let id = format!("{}-{number}", self.name);
            let kind = draw_kind(&mut rng);
            let front = rng.random_range(0..self.fronts.len());
            let leaves = rng.random_bool(LEAVING_SHARE);
            let leaves_after_ms = rng.random_range(LEAVES_AFTER_MS);
            let leaves = leaves.then(|| Duration::from_millis(leaves_after_ms));
            line = self.call(id, kind, front, leaves, line).await;
            let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
    }

    /// Sends the crashing request again and again until `stop` fires.
    pub async fn crash(self, stop: CancellationToken) {
        let mut number = 0;
        while !stop.is_cancelled() {
            let front = number % self.fronts.len();
            number += 1;
            let id = format!("{}-{number}", self.name);
            self.call(id, Kind::Crashing, front, None, None).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Makes one call, on the kept connection while that is open; answers the connection if
    /// it can be kept.
    async fn call(
        &self,
        id: String,
        kind: Kind,
        front: usize,
        leaves_after: Option<Duration>,
        kept: Option<Line>,
    ) -> Option<Line> {
        let connected_at = Instant::now();
        let mut kept = kept.filter(|line| line.connection.is_ready());
        if kept.is_none() {
            let connected = front_client::connect(self.fronts[front]).await;
            kept = connected.ok().map(|connection| Line {
                front,
                connection,
                reused: false,
            });
        }
        let sent_at = Instant::now();
        let note = |front, end| {
            let call = Call {
                id: id.clone(),
                kind,
                front,
                connected_at,
                sent_at,
                ended_at: Instant::now(),
                end,
            };
            self.record.lock().calls.push(call);
        };
        let Some(mut line) = kept else {
            note(front, CallEnd::NotSent);
            return None;
        };
        let waits = leaves_after.unwrap_or(PATIENCE);
        let exchanged = exchange(&mut line, &id, kind);
        let end = match tokio::time::timeout(waits, exchanged).await {
            Ok(end) => end,
            Err(_) => CallEnd::Left {
                meant_to: leaves_after.is_some(),
            },
        };
        let goes_on = matches!(end, CallEnd::Whole { .. });
        note(line.front, end);
        line.reused = true;
        goes_on.then_some(line)
    }
}

async fn exchange(line: &mut Line, id: &str, kind: Kind) -> CallEnd {
    let (method, path, body) = match kind {
        Kind::Plain => (Method::GET, "/plain/a", ""),
        Kind::Once => (Method::POST, "/once/a", "once"),
        Kind::Stream => (Method::POST, "/stream/a", "stream"),
        Kind::StreamOnce => (Method::POST, "/stream-once/a", "stream"),
        Kind::Crashing => (Method::POST, "/plain/crash", CRASHING_BODY),
    };
    let request = front_client::build_request(method, path, id, &[], body);
    let reused = line.reused;
    let head = match line.connection.send(request).await {
        Ok(head) => head,
        Err(e) if e.is_not_sent() => return CallEnd::NotSent,
        Err(_) => {
            return CallEnd::Broken {
                body: Vec::new(),
                reused,
            }
        }
    };
    let answer = front_client::read_response(head).await;
    let body = answer.body.to_vec();
    match answer.is_complete {
        true => CallEnd::Whole {
            status: answer.status.as_u16(),
            not_run: answer.says_not_run(),
            body,
        },
        false => CallEnd::Broken { body, reused },
    }
}

fn draw_kind(rng: &mut StdRng) -> Kind {
    match rng.random_range(0..4) {
        0 => Kind::Plain,
        1 => Kind::Once,
        2 => Kind::Stream,
        _ => Kind::StreamOnce,
    }
}
