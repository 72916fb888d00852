//! The responses of the emulator that hyper writes.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use foxwheel_platform::online as names;
use futures::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Response, StatusCode};

use crate::faults::Fault;
use crate::server::{
    event_text, plain_body, versioned_event_text, Body, RunResources, ServerState, EVENT_END,
};

impl ServerState {
    pub(super) fn event_text(&self, request_id: &str, event: u64) -> String {
        let mut text = match &self.config.version {
            Some(version) => versioned_event_text(request_id, event, version),
            None => event_text(request_id, event),
        };
        text.insert_str(text.len() - EVENT_END.len(), &self.config.event_suffix);
        text
    }

    fn response_head(
        &self,
        status: StatusCode,
        request_id: &str,
    ) -> hyper::http::response::Builder {
        let head = Response::builder().status(status);
        match self.config.echoes_request_id {
            true => head.header(names::REQUEST_ID, request_id),
            false => head,
        }
    }

    fn signed_response(&self, status: StatusCode, request_id: &str, body: Body) -> Response<Body> {
        let signature = format!("{}.{request_id}", self.config.id);
        self.response_head(status, request_id)
            .header(names::SIGNATURE, signature)
            .header("keep-alive", "timeout=5")
            .body(body)
            .expect("a valid head")
    }

    pub(super) fn full_response(&self, status: StatusCode, request_id: &str) -> Response<Body> {
        let body = plain_body(request_id);
        self.signed_response(status, request_id, full_body(body))
    }

    pub(super) fn not_run_response(&self, status: StatusCode, request_id: &str) -> Response<Body> {
        self.response_head(status, request_id)
            .header(names::NOT_EXECUTED, "1")
            .body(full_body(String::new()))
            .expect("a valid head")
    }

    pub(super) fn truncated_response(&self, request_id: &str) -> Response<Body> {
        let body = plain_body(request_id);
        let first_half = Bytes::from(body[..body.len() / 2].to_owned());
        let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
        let frames = stream::iter([Ok(Frame::data(first_half)), Err(reset)]);
        let mut response = self.signed_response(
            StatusCode::OK,
            request_id,
            StreamBody::new(frames).boxed_unsync(),
        );
        let length = body.len().into();
        response.headers_mut().insert("content-length", length);
        response
    }

    pub(super) fn streamed_response(
        self: &Arc<Self>,
        fault: Fault,
        request_id: &str,
        resumed_after: Option<u64>,
        resources: RunResources,
    ) -> Response<Body> {
        let first_event = resumed_after.unwrap_or(0) + 1;
        let last_event = self.config.events_per_stream;
        let step_time = self.config.step_time;
        let state = Arc::clone(self);
        let id = request_id.to_owned();
        let frames = stream::unfold((first_event, resources), move |(event, mut resources)| {
            let text = state.event_text(&id, event);
            let previous = state.event_text(&id, event - 1);
            let (silence, terminated) = (Arc::clone(&state.silence), state.terminated.clone());
            async move {
                if event > last_event {
                    resources.mark_completed();
                    return None;
                }
                tokio::time::sleep(step_time).await;
                silence.wait_for_end().await;
                let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
                let frame = match fault {
                    Fault::CutAfter(count) if event > count => Err(reset),
                    Fault::CutWithin(count) if event > count + 1 => Err(reset),
                    Fault::CutWithin(count) if event == count + 1 => {
                        Ok(Frame::data(Bytes::from(text[..text.len() / 2].to_owned())))
                    }
                    Fault::PauseAfter(count, pause) if event == count + 1 => {
                        tokio::time::sleep(pause).await;
                        Ok(Frame::data(Bytes::from(text)))
                    }
                    Fault::PauseWithin(count, _) if event == count + 1 => {
                        Ok(Frame::data(Bytes::from(text[..text.len() / 2].to_owned())))
                    }
                    Fault::PauseWithin(count, pause) if event == count + 2 => {
                        tokio::time::sleep(pause).await;
                        let rest = &previous[previous.len() / 2..];
                        Ok(Frame::data(Bytes::from(format!("{rest}{text}"))))
                    }
                    Fault::StallAfter(count) if event > count => std::future::pending().await,
                    Fault::CrashAfter(count) if event > first_event + count - 1 => {
                        terminated.cancel();
                        Err(reset)
                    }
                    _ => Ok(Frame::data(Bytes::from(text))),
                };
                Some((frame, (event + 1, resources)))
            }
        });
        let body = StreamBody::new(frames).boxed_unsync();
        let mut response = self.signed_response(StatusCode::OK, request_id, body);
        let content_type = self.config.content_type.as_deref();
        if let Some(content_type) = content_type.and_then(|it| HeaderValue::from_str(it).ok()) {
            response.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        response
    }
}

fn full_body(body: String) -> Body {
    Full::new(Bytes::from(body))
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}
