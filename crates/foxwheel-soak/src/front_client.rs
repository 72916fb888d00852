//! One caller's exchanges with a front.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foxwheel_http1::connection::{AbandonAction, ConnectOptions, Connection, ExchangeError};
use foxwheel_platform::online as names;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::RETRY_AFTER;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{json, Value};

use crate::store_entries::HOST;

const OPTIONS: ConnectOptions = ConnectOptions {
    connect_timeout: Duration::from_secs(1),
    unacknowledged_timeout: Duration::from_secs(5),
    on_abandon: AbandonAction::Close,
};

/// An answer as its caller saw it.
#[derive(Debug, Clone)]
pub struct ReceivedResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: hyper::HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Whether the body ended whole.
    pub is_complete: bool,
}

impl ReceivedResponse {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Whether it says that the request was not run and may come back.
    pub fn says_not_run(&self) -> bool {
        let refused = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
        ];
        refused.contains(&self.status) && self.headers.contains_key(RETRY_AFTER)
    }
}

/// Opens a caller's connection.
pub async fn connect(front: SocketAddr) -> Result<Connection, ExchangeError> {
    Connection::open(front, OPTIONS).await
}

/// A caller's request.
pub fn build_request(
    method: Method,
    path: &str,
    id: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header(names::REQUEST_ID, id);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let body = Full::new(Bytes::from(body.to_owned()));
    builder.body(body).expect("a valid request")
}

/// Sends one request on a connection of its own and reads the whole answer.
pub async fn call(
    front: SocketAddr,
    method: Method,
    path: &str,
    id: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<ReceivedResponse, ExchangeError> {
    let mut connection = connect(front).await?;
    let answer = connection
        .send(build_request(method, path, id, headers, body))
        .await?;
    Ok(read_response(answer).await)
}

/// Reads an answer to its end, or to where it broke.
pub async fn read_response(answer: Response<Incoming>) -> ReceivedResponse {
    let (head, mut body) = answer.into_parts();
    let mut bytes = bytes::BytesMut::new();
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(data)) => bytes.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    ReceivedResponse {
        status: head.status,
        headers: head.headers,
        body: bytes.freeze(),
        is_complete,
    }
}

/// Tokens of each item of a job.
pub const ITEM_TOKENS: u64 = 100;

/// The id of the item at `at` of a job.
pub fn item_id(job: &str, at: usize) -> String {
    format!("{job}-item-{at}")
}

/// The body of a submission of `count` items, named after the job.
pub fn job_body(job: &str, count: usize) -> String {
    let items: Vec<Value> = (0..count)
        .map(|at| {
            json!({
                "id": item_id(job, at), "path": format!("/batch/{job}/{at}"),
                "headers": {"X-Model": "m"}, "body": "q83vEjRWeJA=", "tokens": ITEM_TOKENS,
            })
        })
        .collect();
    json!({ "items": items }).to_string()
}

/// Submits a job.
pub async fn submit_job(
    front: SocketAddr,
    job: &str,
    count: usize,
) -> Result<ReceivedResponse, ExchangeError> {
    let body = job_body(job, count);
    let headers = [("content-type", "application/json")];
    call(front, Method::POST, "/batch/submit", job, &headers, &body).await
}

/// Ends a job.
pub async fn end_job(front: SocketAddr, job: &str) -> Result<ReceivedResponse, ExchangeError> {
    let path = format!("/api/lots/{job}");
    call(front, Method::DELETE, &path, "end", &[], "").await
}

/// Reads results of a job from position `after` on; waits at the front for a first one.
pub async fn read_results(front: SocketAddr, job: &str, after: usize) -> Option<Value> {
    let path = format!("/api/lots/{job}?after={after}");
    let headers = [("x-wait-ms", "300")];
    let answer = call(front, Method::GET, &path, "read", &headers, "")
        .await
        .ok()?;
    (answer.status == StatusCode::OK).then(|| answer.json())
}
