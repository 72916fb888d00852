//! Sends one attempt of an online request, and decides what its response means.

use std::sync::Arc;
use std::time::Instant;

use foxwheel_callers::connections::CallerConnection;
use foxwheel_http1::connection::RequestBody;
use foxwheel_policy::retry::AttemptOutcome;
use hyper::Request;

use crate::attempt::{self, AttemptParams, Failure, FullResponse, OpenResponse};
use crate::node::Node;

/// Sends one attempt. Returns the response if it is a success whose body may be forwarded.
pub(super) async fn send_attempt(
    node: Arc<Node>,
    params: AttemptParams,
    request: Request<RequestBody>,
    connection: CallerConnection,
) -> Result<OpenResponse, Failure> {
    let deadline = params.deadline;
    let response = attempt::send(&node, params, request).await?;
    if response.decoded_head.status.is_success() && !response.decoded_head.not_run {
        if response.decoded_head.is_signed {
            return Ok(response);
        }
        return Err(Failure::new(
            AttemptOutcome::Unknown,
            "success without a signature",
        ));
    }
    if response.decoded_head.not_run {
        let reason = format!("rejected with {}", response.decoded_head.status.as_u16());
        let outcome = match response.decoded_head.from_another_instance {
            true => AttemptOutcome::Gone,
            false => AttemptOutcome::Rejected,
        };
        response.discard_body(deadline).await;
        return Err(Failure::new(outcome, reason));
    }
    Err(read_server_error(response, &connection, deadline).await)
}

/// Reads an error response until `deadline`. A signed and complete one is the server's own and is kept
/// for the caller; any other leaves the outcome unknown.
async fn read_server_error(
    mut response: OpenResponse,
    connection: &CallerConnection,
    deadline: Instant,
) -> Failure {
    let reason = format!("server answered {}", response.decoded_head.status.as_u16());
    match response.read_full_body(connection, deadline).await {
        Ok(body) if response.decoded_head.is_signed => {
            let head = response.head.clone();
            response.finish();
            Failure {
                outcome: AttemptOutcome::Failed,
                reason,
                response: Some(FullResponse { head, body }),
            }
        }
        _ => Failure::new(AttemptOutcome::Unknown, reason),
    }
}
