//! Callers of online requests. Each caller sends one request at a time and keeps its connection
//! open between requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_http1::connection::Connection;
use foxwheel_platform::online as names;
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio_util::sync::CancellationToken;

use crate::evidence::{Call, CallEnd, Recorder, RequestKind, ResumedStream};
use crate::fleet::CRASHING_BODY;
use crate::{front_client, store_entries};

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

/// Probability that a caller leaves a stream after its first event and resumes it elsewhere.
const RESUME_SHARE: f64 = 0.2;

/// A connection to the front with index `front`.
struct KeptConnection {
    front: usize,
    connection: Connection,
    reused: bool,
}

/// When a caller disconnects before its response is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disconnect {
    Never,
    AfterTime(Duration),
    AfterFirstEvent,
}

/// A call to make.
struct PlannedCall {
    id: String,
    kind: RequestKind,
    resumed: Option<ResumedStream>,
    front: usize,
    disconnect: Disconnect,
}

impl PlannedCall {
    /// Returns a call without a stream to resume whose caller stays to the end.
    fn new(id: String, kind: RequestKind, front: usize) -> Self {
        Self {
            id,
            kind,
            resumed: None,
            front,
            disconnect: Disconnect::Never,
        }
    }
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
            let front = rng.random_range(0..self.fronts.len());
            let mut call = PlannedCall::new(id.clone(), draw_kind(&mut rng), front);
            call.disconnect = draw_disconnect(&mut rng, call.kind);
            let is_resumable = call.kind == RequestKind::Stream;
            let received;
            (kept_connection, received) = self.make_call(call, kept_connection).await;
            if let Some(resumed) = received_part(&id, &received).filter(|_| is_resumable) {
                let front = rng.random_range(0..self.fronts.len());
                let mut again = PlannedCall::new(format!("{id}-again"), RequestKind::Stream, front);
                again.resumed = Some(resumed);
                self.make_call(again, None).await;
            }
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
            let call = PlannedCall::new(id, RequestKind::Crashing, front);
            self.make_call(call, None).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Makes one call, on the kept connection if that is still open. Returns the connection if the
    /// next call can use it, and what was received of a response that is not complete.
    async fn make_call(
        &self,
        planned: PlannedCall,
        kept: Option<KeptConnection>,
    ) -> (Option<KeptConnection>, Vec<u8>) {
        let connected_at = Instant::now();
        let mut kept = kept.filter(|kept| kept.connection.is_ready());
        if kept.is_none() {
            let opened = front_client::connect(self.fronts[planned.front]).await;
            kept = opened.ok().map(|connection| KeptConnection {
                front: planned.front,
                connection,
                reused: false,
            });
        }
        let sent_at = Instant::now();
        let record_call = |front, end| {
            let call = Call {
                id: planned.id.clone(),
                kind: planned.kind,
                resumed: planned.resumed.clone(),
                front,
                connected_at,
                sent_at,
                ended_at: Instant::now(),
                end,
            };
            self.recorder.lock().calls.push(call);
        };
        let Some(mut kept_connection) = kept else {
            record_call(planned.front, CallEnd::NotSent);
            return (None, Vec::new());
        };
        let timeout = match planned.disconnect {
            Disconnect::AfterTime(timeout) => timeout,
            Disconnect::Never | Disconnect::AfterFirstEvent => RESPONSE_TIMEOUT,
        };
        let sending = send_request(&mut kept_connection, &planned);
        let (end, received) = match tokio::time::timeout(timeout, sending).await {
            Ok(ended) => ended,
            Err(_) => {
                let meant_to = planned.disconnect != Disconnect::Never;
                (CallEnd::Left { meant_to }, Vec::new())
            }
        };
        let keeps_connection = matches!(end, CallEnd::Whole { .. });
        record_call(kept_connection.front, end);
        kept_connection.reused = true;
        (keeps_connection.then_some(kept_connection), received)
    }
}

/// Sends a request. Returns how the call ended, and what was received of a response that is not
/// complete.
async fn send_request(
    kept_connection: &mut KeptConnection,
    planned: &PlannedCall,
) -> (CallEnd, Vec<u8>) {
    let (method, path, body) = match planned.kind {
        RequestKind::Plain => (Method::GET, "/plain/a", ""),
        RequestKind::Once => (Method::POST, "/once/a", "once"),
        RequestKind::Stream => (Method::POST, "/stream/a", "stream"),
        RequestKind::StreamOnce => (Method::POST, "/stream-once/a", "stream"),
        RequestKind::Crashing => (Method::POST, "/plain/crash", CRASHING_BODY),
    };
    let mut request = front_client::build_request(method, path, &planned.id, &[], body);
    if let Some(resumed) = &planned.resumed {
        let began = HeaderValue::from_str(&resumed.began).expect("a valid id");
        let headers = request.headers_mut();
        headers.insert(names::LAST_EVENT_ID, resumed.last_event.into());
        headers.insert(names::RESUMES, began);
    }
    let reused = kept_connection.reused;
    let head = match kept_connection.connection.send(request).await {
        Ok(head) => head,
        Err(e) if e.is_not_sent() => return (CallEnd::NotSent, Vec::new()),
        Err(_) => {
            let body = Vec::new();
            return (CallEnd::Broken { body, reused }, Vec::new());
        }
    };
    if planned.disconnect == Disconnect::AfterFirstEvent && head.status() == StatusCode::OK {
        let first = head.into_body().next_data().await.ok().flatten();
        let received = first.unwrap_or_default().to_vec();
        return (CallEnd::Left { meant_to: true }, received);
    }
    let response = front_client::read_response(head).await;
    let body = response.body.to_vec();
    match response.is_complete {
        true => {
            let end = CallEnd::Whole {
                status: response.status.as_u16(),
                not_run: response.says_not_run(),
                body,
            };
            (end, Vec::new())
        }
        false => {
            let received = body.clone();
            (CallEnd::Broken { body, reused }, received)
        }
    }
}

/// Returns the stream that request `began` began, up to the last complete event in `received`, or
/// `None` if there is none.
fn received_part(began: &str, received: &[u8]) -> Option<ResumedStream> {
    let text = String::from_utf8_lossy(received);
    let complete = &text[..text.rfind("\n\n")?];
    let last = complete.rsplit("\n\n").next()?;
    let (id, data) = last.split_once('\n')?;
    let last_event = id.strip_prefix("id: ")?.parse().ok()?;
    let is_of = |version: &&str| data.ends_with(&format!(" by {version}"));
    let version = store_entries::VERSIONS.into_iter().find(is_of)?;
    Some(ResumedStream {
        began: began.to_owned(),
        last_event,
        version,
    })
}

fn draw_disconnect(rng: &mut StdRng, kind: RequestKind) -> Disconnect {
    if kind == RequestKind::Stream && rng.random_bool(RESUME_SHARE) {
        return Disconnect::AfterFirstEvent;
    }
    let delay = Duration::from_millis(rng.random_range(DISCONNECT_DELAY_MS));
    match rng.random_bool(DISCONNECT_SHARE) {
        true => Disconnect::AfterTime(delay),
        false => Disconnect::Never,
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
