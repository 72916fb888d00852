//! The HTTP server of the emulator.

mod responses;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_platform::online as names;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::faults::{Fault, FaultScript};
use crate::repeating_stream::{RepeatResponse, RepeatingStream};
use crate::runs::{Run, RunLog};
use crate::unframed::{self, BodyPart, ConnectionEnd, RawResponse, UnframedResponse};

type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// What a run holds until it ends.
struct RunResources {
    _admission_permit: OwnedSemaphorePermit,
    _slot: OwnedSemaphorePermit,
    guard: RunGuard,
}

impl RunResources {
    /// Marks that the run ended with a complete response.
    fn mark_completed(&mut self) {
        self.guard.completed = true;
    }
}

/// Sends responses that hyper cannot write to the task of their connection.
type RawSender = mpsc::Sender<(RawResponse, RunResources)>;

/// How requests have their responses written in ways that hyper does not know.
#[derive(Clone)]
struct ConnectionControl {
    raw_sender: RawSender,
    repeat_response: RepeatResponse,
}

/// Time for the listener of a server whose process ends to close before its connections.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(20);

/// The identity, capacity and speed of an emulated server.
#[derive(Debug, Clone)]
pub struct ServerConfig {
    /// The id of the server. A request that expects another instance is rejected.
    pub id: String,
    /// Number of requests that run at once.
    pub slots: usize,
    /// Number of requests that may wait for a slot. Further requests are rejected.
    pub max_queued: usize,
    /// Number of events of a streamed response; 0 for plain responses.
    pub events_per_stream: u64,
    /// Time from the start of a run to its response, and between two events.
    pub step_time: Duration,
    /// Each response of this number has neither a length nor chunks; `None` for no such response.
    pub unframed_interval: Option<u64>,
    /// Version of the server's software. If set, the data of each event ends with it.
    pub version: Option<String>,
    /// Text at the end of the data of each event.
    pub event_suffix: String,
    /// Body of a request that crashes the server after its first step; `None` for no such request.
    pub crashing_body: Option<String>,
    /// Content type of streamed responses; `None` for none.
    pub content_type: Option<String>,
    /// Part of a prompt on which the server crashes one step after it began to respond, whatever else
    /// the request holds; `None` for no such part.
    pub crashing_part: Option<String>,
    /// Whether responses carry the id of their request.
    pub echoes_request_id: bool,
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            id: "server-0".to_owned(),
            slots: 8,
            max_queued: 24,
            events_per_stream: 5,
            step_time: Duration::from_millis(2),
            unframed_interval: None,
            version: None,
            event_suffix: String::new(),
            content_type: None,
            crashing_body: None,
            crashing_part: None,
            echoes_request_id: true,
        }
    }
}

/// A running emulated server.
#[derive(Debug, Clone)]
pub struct Server {
    /// The address that the server listens on.
    pub addr: SocketAddr,
    /// The faults of the next requests.
    pub fault_script: Arc<FaultScript>,
    /// The requests that the server received and ran.
    pub run_log: Arc<RunLog>,
    silence: Arc<Silence>,
    /// Cancelled when the server crashes or is terminated.
    terminated: CancellationToken,
}

/// A time during which the server sends nothing.
#[derive(Debug, Default)]
struct Silence {
    until: Mutex<Option<Instant>>,
}

impl Silence {
    fn extend_until(&self, end: Instant) {
        let mut until = self.until.lock().expect("silence lock");
        *until = (*until).max(Some(end));
    }

    async fn wait_for_end(&self) {
        loop {
            let until = *self.until.lock().expect("silence lock");
            match until.filter(|until| Instant::now() < *until) {
                Some(until) => tokio::time::sleep_until(until.into()).await,
                None => return,
            }
        }
    }
}

impl Server {
    /// Returns whether the server crashed or was terminated, so that nothing listens at its
    /// address.
    pub fn has_terminated(&self) -> bool {
        self.terminated.is_cancelled()
    }

    /// Terminates the server: all its connections close at once, without responses.
    pub fn terminate(&self) {
        self.terminated.cancel();
    }

    /// Makes the server send nothing on any connection for `duration`. Then it goes on with all requests.
    pub fn be_silent_for(&self, duration: Duration) {
        self.silence.extend_until(Instant::now() + duration);
    }

    /// Returns a token that is cancelled when the server crashes or is terminated. Cancelling it
    /// terminates the server.
    pub fn termination_token(&self) -> CancellationToken {
        self.terminated.clone()
    }
}

#[derive(Debug)]
struct ServerState {
    config: ServerConfig,
    fault_script: Arc<FaultScript>,
    run_log: Arc<RunLog>,
    silence: Arc<Silence>,
    /// Number of requests received, except those for another instance.
    request_count: AtomicU64,
    slots: Arc<Semaphore>,
    /// One permit for each request that runs or waits for a slot.
    admission: Arc<Semaphore>,
    terminated: CancellationToken,
}

/// Starts a server on an ephemeral port of `ip`. It closes all connections when `cancel` is
/// cancelled.
///
/// Returns an error if the port can't be bound.
pub async fn start(
    ip: std::net::IpAddr,
    config: ServerConfig,
    cancel: CancellationToken,
) -> std::io::Result<Server> {
    let listener = TcpListener::bind((ip, 0)).await?;
    let terminated = cancel.child_token();
    let server = Server {
        addr: listener.local_addr()?,
        fault_script: Arc::default(),
        run_log: Arc::default(),
        silence: Arc::default(),
        terminated: terminated.clone(),
    };
    let state = Arc::new(ServerState {
        slots: Arc::new(Semaphore::new(config.slots)),
        admission: Arc::new(Semaphore::new(config.slots + config.max_queued)),
        fault_script: Arc::clone(&server.fault_script),
        run_log: Arc::clone(&server.run_log),
        silence: Arc::clone(&server.silence),
        request_count: AtomicU64::default(),
        terminated: terminated.clone(),
        config,
    });
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = terminated.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else { continue };
            let state = Arc::clone(&state);
            let terminated = terminated.clone();
            tokio::spawn(async move {
                let (raw_sender, mut raw_responses) = mpsc::channel(1);
                let control = ConnectionControl {
                    raw_sender,
                    repeat_response: RepeatResponse::default(),
                };
                let stream = RepeatingStream::new(stream, control.repeat_response.clone());
                let connection_state = Arc::clone(&state);
                let service = service_fn(move |request| {
                    let state = Arc::clone(&connection_state);
                    let control = control.clone();
                    // Recorded outside the future, because the future of a request whose sender
                    // has disconnected already is never polled.
                    state.run_log.record_arrival(request_id_of(&request));
                    async move { state.serve_request(request, control).await }
                });
                let mut connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                let raw_response = tokio::select! {
                    () = terminated.cancelled() => None,
                    // Errors are ignored: tests break connections on purpose.
                    _ = &mut connection => None,
                    raw_response = raw_responses.recv() => raw_response,
                };
                if let Some((raw_response, _resources)) = raw_response {
                    let stream = connection.into_parts().io.into_inner().into_inner();
                    state.send_raw_response(stream, raw_response).await;
                }
            });
        }
    });
    Ok(server)
}

/// Returns the id of a request, empty if it has none.
fn request_id_of<B>(request: &Request<B>) -> &str {
    let id = request.headers().get(names::REQUEST_ID);
    id.and_then(|id| id.to_str().ok()).unwrap_or("")
}

/// Records the end of a run when it is dropped.
struct RunGuard {
    run_log: Arc<RunLog>,
    run_index: usize,
    completed: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.run_log.record_end(self.run_index, self.completed);
    }
}

impl ServerState {
    async fn serve_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        control: ConnectionControl,
    ) -> Result<Response<Body>, std::io::Error> {
        let request_id = request_id_of(&request).to_owned();
        let (head, body) = request.into_parts();
        let header = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
        let body = body
            .collect()
            .await
            .map_err(std::io::Error::other)?
            .to_bytes();
        self.silence.wait_for_end().await;
        if header(names::EXPECT_INSTANCE).is_some_and(|id| id != self.config.id) {
            return Ok(self.not_run_response(StatusCode::MISDIRECTED_REQUEST, &request_id));
        }
        let fault = match self.has_crashing_part(&head.headers) {
            true => Fault::CrashAfter(1),
            false => self.next_fault(),
        };
        let Ok(admission_permit) = Arc::clone(&self.admission).try_acquire_owned() else {
            return Ok(self.not_run_response(StatusCode::SERVICE_UNAVAILABLE, &request_id));
        };
        if matches!(fault, Fault::Repeat(_)) {
            control.repeat_response.set();
        }
        if let Some(status) = fault.rejection() {
            return Ok(self.not_run_response(status, &request_id));
        }
        let slots = Arc::clone(&self.slots);
        let slot = slots.acquire_owned().await.map_err(std::io::Error::other)?;
        let resumed_after = header(names::LAST_EVENT_ID).and_then(|id| id.parse().ok());
        let target = head.uri.path_and_query().map_or("", |path| path.as_str());
        let run_index = self.run_log.record_start(Run {
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
            run_log: Arc::clone(&self.run_log),
            run_index,
            completed: false,
        };
        tokio::time::sleep(self.config.step_time).await;
        if self.should_crash_on(&body) {
            self.terminated.cancel();
        }
        let mut resources = RunResources {
            _admission_permit: admission_permit,
            _slot: slot,
            guard,
        };
        if let Fault::Unframed(unframed) = fault {
            if unframed.part == BodyPart::Complete && unframed.status.is_success() {
                resources.mark_completed();
            }
            let raw_response = self.unframed_response(unframed, &request_id, resumed_after);
            // The connection's task writes the response and drops this future.
            let _ = control.raw_sender.send((raw_response, resources)).await;
            return std::future::pending().await;
        }
        self.respond(fault, &request_id, resumed_after, resources)
            .await
    }

    fn next_fault(&self) -> Fault {
        let fault = self.fault_script.next_fault();
        let index = self.request_count.fetch_add(1, Ordering::Relaxed) + 1;
        let interval = self.config.unframed_interval;
        let is_unframed = interval.is_some_and(|interval| index % interval == 0);
        match fault {
            Fault::None if is_unframed => {
                let complete = UnframedResponse::ok(BodyPart::Complete, ConnectionEnd::Close);
                Fault::Unframed(complete)
            }
            fault => fault,
        }
    }

    fn unframed_response(
        &self,
        unframed: UnframedResponse,
        request_id: &str,
        resumed_after: Option<u64>,
    ) -> RawResponse {
        let first_event = resumed_after.unwrap_or(0) + 1;
        let is_stream = self.config.events_per_stream > 0 && unframed.status.is_success();
        let body = match is_stream {
            true => (first_event..=self.config.events_per_stream)
                .map(|event| self.event_text(request_id, event))
                .collect(),
            false => vec![plain_body(request_id)],
        };
        RawResponse {
            head: unframed::head(unframed.status, request_id, &self.config.id, is_stream),
            body: unframed.cut(body),
            step_time: self.config.step_time,
            end: unframed.end,
        }
    }

    async fn send_raw_response(&self, mut stream: TcpStream, response: RawResponse) {
        let end = tokio::select! {
            // An error means that the client has closed the connection.
            _ = unframed::write(&mut stream, &response) => response.end,
            // A close would look like the end of a complete response.
            () = self.terminated.cancelled() => ConnectionEnd::Reset,
        };
        match end {
            ConnectionEnd::Close => {}
            ConnectionEnd::Reset => {
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).expect("set linger");
            }
            ConnectionEnd::ProcessEnd => {
                self.terminated.cancel();
                // The listener closes first, as far as a client can tell.
                tokio::time::sleep(LISTENER_CLOSE_DELAY).await;
            }
        }
    }

    async fn respond(
        self: &Arc<Self>,
        fault: Fault,
        request_id: &str,
        resumed_after: Option<u64>,
        mut resources: RunResources,
    ) -> Result<Response<Body>, std::io::Error> {
        let reset = || std::io::Error::from(std::io::ErrorKind::ConnectionReset);
        match fault {
            Fault::LoseResponse => Err(reset()),
            Fault::Stall => std::future::pending().await,
            Fault::Fail => Ok(self.full_response(StatusCode::INTERNAL_SERVER_ERROR, request_id)),
            Fault::Repeat(status) if !status.is_success() => {
                let mut response = self.full_response(status, request_id);
                let plain_text = HeaderValue::from_static("text/plain");
                response.headers_mut().insert(CONTENT_TYPE, plain_text);
                Ok(response)
            }
            Fault::Impossible => {
                Ok(self.full_response(StatusCode::UNPROCESSABLE_ENTITY, request_id))
            }
            Fault::ForeignId => Ok(self.full_response(StatusCode::OK, "another-request")),
            Fault::Unsigned => {
                let mut response = self.full_response(StatusCode::OK, request_id);
                response.headers_mut().remove(names::SIGNATURE);
                Ok(response)
            }
            Fault::Truncate => Ok(self.truncated_response(request_id)),
            Fault::CrashAfter(_) if self.config.events_per_stream == 0 => {
                self.terminated.cancel();
                Err(reset())
            }
            _ if self.config.events_per_stream == 0 => {
                resources.mark_completed();
                Ok(self.full_response(StatusCode::OK, request_id))
            }
            _ => Ok(self.streamed_response(fault, request_id, resumed_after, resources)),
        }
    }

    fn has_crashing_part(&self, headers: &HeaderMap) -> bool {
        let crashing = self.config.crashing_part.as_ref();
        crashing.is_some_and(|part| names::shared_prompt_parts(headers).contains(part))
    }

    fn should_crash_on(&self, body: &[u8]) -> bool {
        let crashing_body = self.config.crashing_body.as_ref();
        crashing_body.is_some_and(|crashing_body| crashing_body.as_bytes() == body)
    }
}

/// Returns the body of a plain response to a request.
pub fn plain_body(request_id: &str) -> String {
    format!("the whole answer to {request_id}")
}

/// Ends an event of a streamed response.
const EVENT_END: &str = "\n\n";

/// Returns the data field of one event of a streamed response.
pub fn event_data(request_id: &str, event: u64) -> String {
    format!("piece {event} of {request_id}")
}

/// Returns one event of a streamed response as it is sent.
pub fn event_text(request_id: &str, event: u64) -> String {
    let data = event_data(request_id, event);
    format!("id: {event}\ndata: {data}{EVENT_END}")
}

/// Returns one event of a streamed response of a server with a version, as it is sent.
pub fn versioned_event_text(request_id: &str, event: u64, version: &str) -> String {
    let data = event_data(request_id, event);
    format!("id: {event}\ndata: {data} by {version}{EVENT_END}")
}
