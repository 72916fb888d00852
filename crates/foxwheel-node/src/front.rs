//! Serves the requests of callers at a front: determines what a request is and reads its body.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_callers::body::BodyRefusal;
use foxwheel_callers::connections::CallerConnection;
use foxwheel_core::metric_names::{Counter, RefusalReason};
use foxwheel_platform::batch_api;
use foxwheel_platform::online as wire;
use foxwheel_policy::routes::{Config, RouteKind};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::http::request;
use hyper::{Method, Request, StatusCode};
use tokio_util::sync::CancellationToken;

use crate::batch_front::BatchFront;
use crate::node::Node;
use crate::online;
use crate::online_request::OnlineRequest;
use crate::request_body::{self, ReadError};
use crate::responses::{self, CallerResponse};

/// Delay after which a caller should retry that was refused because there is no configuration yet.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Delay after which a caller should retry that was refused by a stopping front: almost
/// immediately, as another front serves it.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Serves the requests of all connections.
#[derive(Debug)]
pub struct Front {
    node: Arc<Node>,
    batch: BatchFront,
    /// Cancelled when new requests must be refused.
    refuse_requests: CancellationToken,
}

impl Front {
    /// Creates the service of `node`, which refuses requests once `refuse_requests` is cancelled.
    pub fn new(node: Arc<Node>, refuse_requests: CancellationToken) -> Self {
        Self {
            batch: BatchFront::new(Arc::clone(&node)),
            node,
            refuse_requests,
        }
    }

    /// Returns the state of the process.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Serves one request on `connection`.
    pub async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &CallerConnection,
    ) -> CallerResponse {
        let received_at = Instant::now();
        let mut response = self.route_request(request, connection, received_at).await;
        if self.node.is_leaving() {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Responds that a request was not run, before its route is determined.
    fn refuse_request(
        &self,
        caller: &wire::CallerRequest,
        reason: RefusalReason,
        retry_after: Duration,
    ) -> CallerResponse {
        log::warn!(request_id = caller.id, reason = reason.text(); "request refused");
        self.node.metrics.incr(Counter::Refused(reason));
        responses::not_run(StatusCode::SERVICE_UNAVAILABLE, retry_after)
    }

    /// Responds that a request was not run because its body was not received.
    fn refuse_body(&self, caller: &wire::CallerRequest, error: &ReadError) -> CallerResponse {
        let status = match error {
            ReadError::Refused(BodyRefusal::NoRoom(_)) => {
                return self.refuse_request(
                    caller,
                    RefusalReason::NoRoom,
                    responses::NO_ROOM_RETRY_AFTER,
                )
            }
            ReadError::Refused(BodyRefusal::TooLarge(_)) => StatusCode::PAYLOAD_TOO_LARGE,
            ReadError::TimedOut(_) => StatusCode::REQUEST_TIMEOUT,
            ReadError::Broken(_) => StatusCode::BAD_REQUEST,
        };
        log::warn!(request_id = caller.id, status = status.as_u16(), error:% = error; "request refused: no complete body");
        responses::empty(status)
    }

    async fn route_request(
        &self,
        request: Request<Incoming>,
        connection: &CallerConnection,
        received_at: Instant,
    ) -> CallerResponse {
        let (head, body) = request.into_parts();
        let caller = wire::decode_request(&head);
        if self.refuse_requests.is_cancelled() {
            return self.refuse_request(&caller, RefusalReason::Stopping, STOPPING_RETRY_AFTER);
        }
        let Some(config) = self.node.config() else {
            return self.refuse_request(
                &caller,
                RefusalReason::NoConfiguration,
                NO_CONFIG_RETRY_AFTER,
            );
        };
        if head_size_bytes(&head) > config.limits.header_bytes {
            log::warn!(request_id = caller.id, bytes = head_size_bytes(&head); "request refused: headers too large");
            return responses::empty(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        }
        if let Some(call) = decode_job_call(&config, &head, &caller) {
            return self.batch.serve_call(call, connection).await;
        }
        let Some(route) = config.match_route(&caller.host, &caller.path).cloned() else {
            log::warn!(request_id = caller.id, host = caller.host, path = caller.path, version = config.version; "no route matches the request");
            return responses::empty(StatusCode::NOT_FOUND);
        };
        let time_limit = caller.time_limit.unwrap_or(route.timeout);
        let time_limit = time_limit.min(route.timeout);
        let max_bytes = config.limits.body_bytes;
        let body = match request_body::read(body, connection, max_bytes, time_limit).await {
            Ok(body) => body,
            Err(e) => return self.refuse_body(&caller, &e),
        };
        if route.kind == RouteKind::Batch {
            if head.method != Method::POST {
                return responses::empty(StatusCode::METHOD_NOT_ALLOWED);
            }
            return self.batch.submit(&caller, &route, body, connection).await;
        }
        let request = OnlineRequest::new(
            caller,
            route,
            config.version,
            head,
            body,
            connection.clone(),
            received_at,
        );
        online::serve(Arc::clone(&self.node), request).await
    }
}

/// Decodes a call on a batch job. Returns `None` if the request is no such call, or goes to a route.
fn decode_job_call(
    config: &Config,
    head: &request::Parts,
    caller: &wire::CallerRequest,
) -> Option<batch_api::JobCall> {
    let call = batch_api::decode_call(head)?;
    let is_job_call = config.is_job_call(&caller.host, &caller.path, call.path_prefix());
    is_job_call.then_some(call)
}

fn head_size_bytes(head: &request::Parts) -> usize {
    /// Bytes of the separators of a header line: colon, space and line break.
    const SEPARATOR_BYTES: usize = 4;
    let headers = head.headers.iter();
    let header_bytes: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES)
        .sum();
    let path_bytes = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    header_bytes + path_bytes
}
