//! Response bodies that tell when the request of a connection has ended.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use foxwheel_callers::connections::CallerConnection;
use foxwheel_policy::caller_connections::Activity;
use hyper::body::{Body, Frame, SizeHint};

use crate::responses::{CallerBody, RelayError};

/// The body of the response to the request that a connection serves. When it is dropped, all of it is in
/// the buffer of the connection, which waits for the next request unless it refused this one.
#[derive(Debug)]
pub struct TrackedBody {
    body: CallerBody,
    connection: CallerConnection,
}

impl TrackedBody {
    /// Wraps the body of a response on `connection`.
    pub fn new(body: CallerBody, connection: CallerConnection) -> Self {
        Self { body, connection }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        if self.connection.activity() == Activity::Serving {
            self.connection.set_activity(Activity::Idle);
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
