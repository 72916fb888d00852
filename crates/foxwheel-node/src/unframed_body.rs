//! Response bodies for callers that take no chunks, such as HTTP/1.0 clients. The end of the
//! connection is the only mark of the end of such a body, so that the connection is reset unless the
//! body is complete.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use foxwheel_http1::transport::ResetOnDrop;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};

use crate::responses::{CallerBody, RelayError};

/// Returns `body` such that the caller's connection is reset unless the body reaches its end. A body
/// of known length is returned unchanged, as its caller sees whether it is complete.
pub fn reset_unless_complete(body: CallerBody, reset_on_drop: ResetOnDrop) -> CallerBody {
    if body.size_hint().exact().is_some() {
        return body;
    }
    reset_on_drop.set(true);
    let body = UnframedBody {
        body,
        reset_on_drop,
    };
    body.boxed_unsync()
}

struct UnframedBody {
    body: CallerBody,
    reset_on_drop: ResetOnDrop,
}

impl Body for UnframedBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) {
            self.reset_on_drop.set(false);
        }
        polled
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
