//! The body of a response, and whether its end means that it is complete.
//!
//! HTTP/1.1 marks the end of a body by its length, by a last chunk, or by the end of the connection
//! alone. In the last case a server that was interrupted can end the body like one that finished it,
//! and only the content can tell the two apart.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use foxwheel_core::error::{Origin, WithCauses};
use foxwheel_event_stream::boundary::EventBoundary;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::response;

use crate::transport::WriteBlocked;

/// How the end of a response body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The length is known from the head.
    Length,
    /// A last chunk follows the body.
    Chunked,
    /// The body ends with its connection.
    UntilClose,
}

/// Why a response body is not complete.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection failed, or closed before the end that the framing marks.
    #[error("response body cut off {origin}: {}", WithCauses(source))]
    CutOff {
        /// Step that failed and address of the peer.
        origin: Origin,
        /// Error that hyper returned.
        source: hyper::Error,
    },
    /// The body is larger than the reader accepts.
    #[error("response body is larger than {max_bytes} bytes {origin}")]
    TooLarge {
        /// Step that failed and address of the peer.
        origin: Origin,
        /// What the reader accepts.
        max_bytes: usize,
    },
    /// The body is an event stream with a single event that is larger than [`MAX_EVENT_BYTES`].
    #[error("response body has an event of more than {MAX_EVENT_BYTES} bytes {origin}")]
    EventTooLarge {
        /// Step that failed and address of the peer.
        origin: Origin,
    },
    /// The body ended with its connection, and the peer had not read the request.
    #[error("response body ended before the request was read {origin}")]
    EndedDuringUpload {
        /// Step that failed and address of the peer.
        origin: Origin,
    },
    /// The body is an event stream and ended within an event.
    #[error("response body ended within an event {origin}")]
    EndedWithinEvent {
        /// Step that failed and address of the peer.
        origin: Origin,
    },
    /// The body is an event stream and ended with its connection before its first event.
    #[error("response body ended before its first event {origin}")]
    EndedBeforeFirstEvent {
        /// Step that failed and address of the peer.
        origin: Origin,
    },
}

/// Largest event, or block of comments, of an event stream. An event with the whole text of a response
/// takes a tenth of it.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The events that an event stream must have to be complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedEvents {
    /// The stream may have no event: its reader resumes it, and may have received all of them.
    Any,
    /// The stream has at least one event.
    AtLeastOne,
}

impl ExpectedEvents {
    /// Returns what a stream that is resumed after `last_event_id` must have, or one that starts from
    /// the beginning if that is `None`.
    pub fn after(last_event_id: Option<u64>) -> Self {
        match last_event_id {
            Some(_) => Self::Any,
            None => Self::AtLeastOne,
        }
    }
}

/// The body of a response, read as it arrives.
#[derive(Debug)]
pub struct ResponseBody {
    peer: SocketAddr,
    incoming: Incoming,
    framing: Framing,
    has_content_type: bool,
    /// Whether the head announces that the connection is closed after the body.
    closes_connection: bool,
    /// Follows the events; `None` if the body is not an event stream.
    events: Option<EventBoundary>,
    /// What the reader expects of an event stream; `None` if it did not ask for one.
    expected_events: Option<ExpectedEvents>,
    /// Whether the peer takes no more of the request.
    upload_blocked: WriteBlocked,
}

impl ResponseBody {
    pub(crate) fn new(
        peer: SocketAddr,
        head: &response::Parts,
        incoming: Incoming,
        upload_blocked: WriteBlocked,
    ) -> Self {
        let framing = framing_of(&head.headers, &incoming);
        let content_type = head.headers.get(header::CONTENT_TYPE);
        let events = content_type
            .is_some_and(is_event_stream)
            .then(EventBoundary::default);
        Self {
            peer,
            incoming,
            framing,
            has_content_type: content_type.is_some(),
            closes_connection: closes_connection(&head.headers),
            events,
            expected_events: None,
            upload_blocked,
        }
    }

    /// Sets that the reader asked for an event stream. A body without a content type is then taken
    /// for one.
    pub fn expect_events(&mut self, expected: ExpectedEvents) {
        self.expected_events = Some(expected);
        if !self.has_content_type {
            self.events.get_or_insert_default();
        }
    }

    /// Returns how the end of the body is marked.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the length that the head states for what was not read yet, if it does.
    pub fn announced_bytes(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    /// Returns whether the connection may carry another exchange after this body.
    pub fn keeps_connection(&self) -> bool {
        self.framing != Framing::UntilClose && !self.closes_connection
    }

    /// Returns whether the body is an event stream.
    pub fn is_event_stream(&self) -> bool {
        self.events.is_some()
    }

    /// Returns the number of complete events received so far.
    pub fn event_count(&self) -> u64 {
        self.events.as_ref().map_or(0, EventBoundary::event_count)
    }

    /// Waits for the next bytes of the body. Returns `None` at its end, and an error if it is certain
    /// that the body is not complete.
    pub async fn next_data(&mut self) -> Result<Option<Bytes>, BodyError> {
        while let Some(frame) = self.incoming.frame().await {
            let frame = frame.map_err(|source| BodyError::CutOff {
                origin: self.origin(),
                source,
            })?;
            // Trailers are skipped: they apply only to this connection.
            if let Ok(data) = frame.into_data() {
                if let Some(events) = &mut self.events {
                    events.advance_to_end(&data);
                    if events.partial_bytes() > MAX_EVENT_BYTES {
                        let origin = self.origin();
                        return Err(BodyError::EventTooLarge { origin });
                    }
                }
                return Ok(Some(data));
            }
        }
        self.check_upload_at_end()?;
        self.check_events_at_end()?;
        Ok(None)
    }

    /// Checks that the peer did not close the connection while it had not read the request. It may have
    /// reset it afterwards.
    fn check_upload_at_end(&self) -> Result<(), BodyError> {
        if self.framing == Framing::UntilClose && self.upload_blocked.get() {
            return Err(BodyError::EndedDuringUpload {
                origin: self.origin(),
            });
        }
        Ok(())
    }

    /// Checks the events of a body that its framing marks as complete.
    fn check_events_at_end(&self) -> Result<(), BodyError> {
        let Some(events) = &self.events else {
            return Ok(());
        };
        let ended_with_connection = self.framing == Framing::UntilClose;
        let origin = self.origin();
        if events.is_within_event() && (ended_with_connection || self.expected_events.is_some()) {
            return Err(BodyError::EndedWithinEvent { origin });
        }
        let is_expected = self.expected_events == Some(ExpectedEvents::AtLeastOne);
        if events.event_count() == 0 && ended_with_connection && is_expected {
            return Err(BodyError::EndedBeforeFirstEvent { origin });
        }
        Ok(())
    }

    fn origin(&self) -> Origin {
        Origin::new("read response body", self.peer.to_string())
    }

    /// Reads the rest of the body, of at most `max_bytes`.
    pub async fn read_to_end(&mut self, max_bytes: usize) -> Result<Bytes, BodyError> {
        let mut bytes = BytesMut::new();
        while let Some(data) = self.next_data().await? {
            if bytes.len() + data.len() > max_bytes {
                let origin = self.origin();
                return Err(BodyError::TooLarge { origin, max_bytes });
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }
}

fn framing_of(headers: &HeaderMap, incoming: &Incoming) -> Framing {
    let is_chunked = || {
        let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
        let last = encodings.next_back().and_then(|value| value.to_str().ok());
        last.is_some_and(|value| value.trim().to_ascii_lowercase().ends_with("chunked"))
    };
    if incoming.size_hint().exact().is_some() {
        Framing::Length
    } else if is_chunked() {
        Framing::Chunked
    } else {
        Framing::UntilClose
    }
}

fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}

fn is_event_stream(content_type: &HeaderValue) -> bool {
    let content_type = content_type.to_str().unwrap_or_default();
    let media_type = content_type.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case("text/event-stream")
}
