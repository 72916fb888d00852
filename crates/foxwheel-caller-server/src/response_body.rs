//! Response bodies that record how far their callers have read.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_web::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use foxwheel_callers::connections::CallerConnection;
use foxwheel_policy::caller_connections::Activity;

/// Largest part of a body that is given to the server at once. It copies each into its own buffer.
const MAX_PART_BYTES: usize = 32 * 1024;

/// A body whose next part is requested when its caller has made room in the socket.
pub struct TrackedBody {
    body: BoxBody,
    /// `None` if the connection is not registered.
    connection: Option<CallerConnection>,
    /// What the body gave and was not passed on.
    rest: Bytes,
    /// Size of the part that was passed on last.
    last_part_bytes: usize,
}

impl TrackedBody {
    /// Wraps the body of a response on `connection`, or on one that is not registered.
    pub fn new(body: impl MessageBody + 'static, connection: Option<CallerConnection>) -> Self {
        Self {
            body: body.boxed(),
            connection,
            rest: Bytes::new(),
            last_part_bytes: 0,
        }
    }

    fn next_part(&mut self) -> Bytes {
        let part_bytes = self.rest.len().min(MAX_PART_BYTES);
        let part = self.rest.split_to(part_bytes);
        self.last_part_bytes = part_bytes;
        if let Some(connection) = &self.connection {
            // Until the next part is requested.
            connection.record_write_blocked();
        }
        part
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.record_sent(self.last_part_bytes);
            connection.set_activity(Activity::Idle);
        }
    }
}

impl MessageBody for TrackedBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let this = self.get_mut();
        if let Some(connection) = &this.connection {
            connection.record_sent(std::mem::take(&mut this.last_part_bytes));
        }
        if this.rest.is_empty() {
            match std::task::ready!(Pin::new(&mut this.body).poll_next(cx)) {
                Some(Ok(data)) => this.rest = data,
                ended => return Poll::Ready(ended),
            }
        }
        Poll::Ready(Some(Ok(this.next_part())))
    }
}
