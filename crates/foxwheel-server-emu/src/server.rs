//! The stand-in's server.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_platform::online as names;
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::faults::{Fault, FaultScript};
use crate::runs::{Run, RunLog};

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// What the stand-in is and how fast it is.
#[derive(Debug, Clone)]
pub struct ServerConfig {
    /// Its id, which requests may expect.
    pub id: String,
    /// Requests it runs at once.
    pub slots: usize,
    /// Requests that wait beyond its slots; more are rejected.
    pub max_queued: usize,
    /// Events of a stream; 0 answers a plain body.
    pub events_per_stream: u64,
    /// Time from the start of a run to its answer, and between events.
    pub step_time: Duration,
    /// Body of a request that crashes the server as soon as it begins to run.
    pub crashing_body: Option<String>,
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            id: "server-0".to_owned(),
            slots: 8,
            max_queued: 24,
            events_per_stream: 5,
            step_time: Duration::from_millis(2),
            crashing_body: None,
        }
    }
}

/// A running stand-in.
#[derive(Debug, Clone)]
pub struct Server {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its faults.
    pub fault_script: Arc<FaultScript>,
    /// Its record.
    pub run_log: Arc<RunLog>,
    /// Cancelled when it ends.
    ended: CancellationToken,
}

impl Server {
    /// Whether it crashed or was ended: nothing listens at its address.
    pub fn has_terminated(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// Ends it: it closes everything without a word.
    pub fn terminate(&self) {
        self.ended.cancel();
    }

    /// Fires when it has crashed or was ended.
    pub fn termination_token(&self) -> CancellationToken {
        self.ended.clone()
    }
}

#[derive(Debug)]
struct Inner {
    shape: ServerConfig,
    script: Arc<FaultScript>,
    runs: Arc<RunLog>,
    slots: Arc<Semaphore>,
    waiting: Arc<Semaphore>,
    ended: CancellationToken,
}

/// Starts a stand-in on an ephemeral port of `ip`; it closes everything when cancelled.
pub async fn start(
    ip: std::net::IpAddr,
    shape: ServerConfig,
    cancel: CancellationToken,
) -> std::io::Result<Server> {
    let listener = TcpListener::bind((ip, 0)).await?;
    let ended = cancel.child_token();
    let server = Server {
        addr: listener.local_addr()?,
        fault_script: Arc::default(),
        run_log: Arc::default(),
        ended: ended.clone(),
    };
    let inner = Arc::new(Inner {
        slots: Arc::new(Semaphore::new(shape.slots)),
        waiting: Arc::new(Semaphore::new(shape.slots + shape.max_queued)),
        script: Arc::clone(&server.fault_script),
        runs: Arc::clone(&server.run_log),
        ended: ended.clone(),
        shape,
    });
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = ended.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else { continue };
            let inner = Arc::clone(&inner);
            let ended = ended.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let inner = Arc::clone(&inner);
                    // At once: a request whose sender is gone already is never polled.
                    inner.runs.record_arrival(id_of(&request));
                    async move { inner.answer(request).await }
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    () = ended.cancelled() => {}
                    // Broken connections are part of the tests.
                    _ = connection => {}
                }
            });
        }
    });
    Ok(server)
}

/// A request's id; empty without one.
fn id_of<B>(request: &Request<B>) -> &str {
    let id = request.headers().get(names::REQUEST_ID);
    id.and_then(|id| id.to_str().ok()).unwrap_or("")
}

/// Records the end of a run when it is dropped.
struct RunGuard {
    runs: Arc<RunLog>,
    number: usize,
    finished: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.runs.record_end(self.number, self.finished);
    }
}

impl Inner {
    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, std::io::Error> {
        let request_id = id_of(&request).to_owned();
        let (head, body) = request.into_parts();
        let header = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
        let body = body
            .collect()
            .await
            .map_err(std::io::Error::other)?
            .to_bytes();
        if header(names::EXPECT_INSTANCE).is_some_and(|id| id != self.shape.id) {
            return Ok(self.not_run(StatusCode::MISDIRECTED_REQUEST, &request_id));
        }
        let fault = self.script.next_fault();
        let Ok(place) = Arc::clone(&self.waiting).try_acquire_owned() else {
            return Ok(self.not_run(StatusCode::SERVICE_UNAVAILABLE, &request_id));
        };
        if fault == Fault::Reject {
            return Ok(self.not_run(StatusCode::SERVICE_UNAVAILABLE, &request_id));
        }
        let slots = Arc::clone(&self.slots);
        let slot = slots.acquire_owned().await.map_err(std::io::Error::other)?;
        let resumed_after = header(names::LAST_EVENT_ID).and_then(|id| id.parse().ok());
        let target = head.uri.path_and_query().map_or("", |path| path.as_str());
        let number = self.runs.record_start(Run {
            request_id: request_id.clone(),
            target: format!("{} {target}", head.method),
            body: body.to_vec(),
            deadline_ms: header(names::DEADLINE_MS).and_then(|ms| ms.parse().ok()),
            resumed_after,
            started_at: Instant::now(),
            ended_at: None,
            completed: None,
        });
        let guard = RunGuard {
            runs: Arc::clone(&self.runs),
            number,
            finished: false,
        };
        tokio::time::sleep(self.shape.step_time).await;
        if self.crashes_on(&body) {
            self.ended.cancel();
        }
        let held = (place, slot, guard);
        self.run(fault, &request_id, resumed_after, held).await
    }

    async fn run<H: Send + 'static + Finish>(
        &self,
        fault: Fault,
        request_id: &str,
        resumed_after: Option<u64>,
        mut held: H,
    ) -> Result<Response<Body>, std::io::Error> {
        let reset = || std::io::Error::from(std::io::ErrorKind::ConnectionReset);
        match fault {
            Fault::LoseResponse => Err(reset()),
            Fault::Stall => std::future::pending().await,
            Fault::Fail => Ok(self.whole(StatusCode::INTERNAL_SERVER_ERROR, request_id)),
            Fault::Impossible => Ok(self.whole(StatusCode::UNPROCESSABLE_ENTITY, request_id)),
            Fault::ForeignId => Ok(self.whole(StatusCode::OK, "another-request")),
            Fault::Unsigned => {
                let mut answer = self.whole(StatusCode::OK, request_id);
                answer.headers_mut().remove(names::SIGNATURE);
                Ok(answer)
            }
            Fault::Truncate => Ok(self.truncated(request_id)),
            _ if self.shape.events_per_stream == 0 => {
                held.finish();
                Ok(self.whole(StatusCode::OK, request_id))
            }
            _ => Ok(self.stream(fault, request_id, resumed_after, held)),
        }
    }

    fn crashes_on(&self, body: &[u8]) -> bool {
        let crash = self.shape.crashing_body.as_ref();
        crash.is_some_and(|crash| crash.as_bytes() == body)
    }

    fn head(&self, status: StatusCode, request_id: &str) -> hyper::http::response::Builder {
        Response::builder()
            .status(status)
            .header(names::REQUEST_ID, request_id)
    }

    fn signed(&self, status: StatusCode, request_id: &str, body: Body) -> Response<Body> {
        let signature = format!("{}.{request_id}", self.shape.id);
        self.head(status, request_id)
            .header(names::SIGNATURE, signature)
            .header("keep-alive", "timeout=5")
            .body(body)
            .expect("a valid head")
    }

    fn whole(&self, status: StatusCode, request_id: &str) -> Response<Body> {
        let body = plain_body(request_id);
        self.signed(status, request_id, full(body))
    }

    fn not_run(&self, status: StatusCode, request_id: &str) -> Response<Body> {
        self.head(status, request_id)
            .header(names::NOT_EXECUTED, "1")
            .body(full(String::new()))
            .expect("a valid head")
    }

    fn truncated(&self, request_id: &str) -> Response<Body> {
        let body = plain_body(request_id);
        let half = Bytes::from(body[..body.len() / 2].to_owned());
        let cut = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
        let pieces = stream::iter([Ok(Frame::data(half)), Err(cut)]);
        let mut answer = self.signed(
            StatusCode::OK,
            request_id,
            StreamBody::new(pieces).boxed_unsync(),
        );
        let length = body.len().into();
        answer.headers_mut().insert("content-length", length);
        answer
    }

    fn stream<H: Send + 'static + Finish>(
        &self,
        fault: Fault,
        request_id: &str,
        resumed_after: Option<u64>,
        held: H,
    ) -> Response<Body> {
        let first = resumed_after.unwrap_or(0) + 1;
        let last = self.shape.events_per_stream;
        let step = self.shape.step_time;
        let id = request_id.to_owned();
        let events = stream::unfold((first, held), move |(event, mut held)| {
            let text = event_text(&id, event);
            async move {
                if event > last {
                    held.finish();
                    return None;
                }
                tokio::time::sleep(step).await;
                let broken = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
                let piece = match fault {
                    Fault::CutAfter(count) if event > count => Err(broken),
                    Fault::CutWithin(count) if event > count + 1 => Err(broken),
                    Fault::CutWithin(count) if event == count + 1 => {
                        Ok(Frame::data(Bytes::from(text[..text.len() / 2].to_owned())))
                    }
                    Fault::StallAfter(count) if event > count => std::future::pending().await,
                    _ => Ok(Frame::data(Bytes::from(text))),
                };
                Some((piece, (event + 1, held)))
            }
        });
        self.signed(
            StatusCode::OK,
            request_id,
            StreamBody::new(events).boxed_unsync(),
        )
    }
}

/// What a run holds until it ends.
trait Finish {
    /// The run ended whole.
    fn finish(&mut self);
}

impl<A, B> Finish for (A, B, RunGuard) {
    fn finish(&mut self) {
        self.2.finished = true;
    }
}

/// The body of a plain answer to a request.
pub fn plain_body(request_id: &str) -> String {
    format!("the whole answer to {request_id}")
}

/// The data of one event of a stream.
pub fn event_data(request_id: &str, event: u64) -> String {
    format!("piece {event} of {request_id}")
}

/// One event of a stream as it goes out.
pub fn event_text(request_id: &str, event: u64) -> String {
    format!("id: {event}\ndata: {}\n\n", event_data(request_id, event))
}

fn full(body: String) -> Body {
    Full::new(Bytes::from(body))
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}
