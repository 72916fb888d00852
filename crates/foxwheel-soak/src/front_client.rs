//! Client functions for online requests and batch jobs at a front.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foxwheel_http1::body::ResponseBody;
use foxwheel_http1::connection::{AbandonAction, ConnectOptions, Connection, ExchangeError};
use foxwheel_platform::online as names;
use http_body_util::Full;
use hyper::header::RETRY_AFTER;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{json, Value};

use crate::store_entries::HOST;

const CONNECT_OPTIONS: ConnectOptions = ConnectOptions {
    connect_timeout: Duration::from_secs(1),
    unacknowledged_timeout: Duration::from_secs(5),
    on_abandon: AbandonAction::Close,
    socket_buffer_bytes: None,
};

/// A response as received by its caller.
#[derive(Debug, Clone)]
pub struct ReceivedResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body, as far as it was received.
    pub body: Bytes,
    /// Whether the body was received to its end.
    pub is_complete: bool,
}

impl ReceivedResponse {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON, or null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns whether the response states that the request was not run and can be retried.
    pub fn says_not_run(&self) -> bool {
        let refused = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
        ];
        refused.contains(&self.status) && self.headers.contains_key(RETRY_AFTER)
    }
}

/// Opens a connection to a front. Returns an error if it is refused or takes longer than 1 second.
pub async fn connect(front: SocketAddr) -> Result<Connection, ExchangeError> {
    Connection::open(front, CONNECT_OPTIONS).await
}

/// Builds a request to [`HOST`] with this request id.
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

/// Sends one request on a new connection and reads the response to its end. Returns an error if no
/// response head is received.
pub async fn call(
    front: SocketAddr,
    method: Method,
    path: &str,
    id: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<ReceivedResponse, ExchangeError> {
    let mut connection = connect(front).await?;
    let response = connection
        .send(build_request(method, path, id, headers, body))
        .await?;
    Ok(read_response(response).await)
}

/// Reads the body of a response until it ends or the connection fails.
pub async fn read_response(response: Response<ResponseBody>) -> ReceivedResponse {
    let (head, mut body) = response.into_parts();
    let mut bytes = bytes::BytesMut::new();
    let is_complete = loop {
        match body.next_data().await {
            Ok(Some(data)) => bytes.extend_from_slice(&data),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    ReceivedResponse {
        status: head.status,
        headers: head.headers,
        body: bytes.freeze(),
        is_complete,
    }
}

/// Number of tokens of each item of a job.
pub const ITEM_TOKENS: u64 = 100;

/// Returns the id of the item at position `at` of a job.
pub fn item_id(job: &str, at: usize) -> String {
    format!("{job}-item-{at}")
}

/// Returns the body with which a job of `count` items is submitted.
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

/// Submits a job of `count` items. The job's id is the request id of the submission.
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

/// Reads the results of a job that follow position `after`. The front waits up to 300 ms for the
/// first one. Returns `None` if the front does not respond with status 200.
pub async fn read_results(front: SocketAddr, job: &str, after: usize) -> Option<Value> {
    let path = format!("/api/lots/{job}?after={after}");
    let headers = [("x-wait-ms", "300")];
    let response = call(front, Method::GET, &path, "read", &headers, "")
        .await
        .ok()?;
    (response.status == StatusCode::OK).then(|| response.json())
}
