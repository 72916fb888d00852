//! Where a stream began, and its resumption at another server or by its caller.

use std::sync::Arc;
use std::time::Instant;

use foxwheel_core::metric_names::{Counter, RefusalReason};
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::retry::{AttemptOutcome, NextStep};
use foxwheel_policy::routes::RouteKind;
use foxwheel_policy::stream_origin;

use crate::attempt::OpenResponse;
use crate::node::Node;
use crate::online_request::{OnlineRequest, NO_SERVER_RETRY_AFTER};
use crate::refusal::Refusal;
use crate::stream_origins::OriginSource;

impl OnlineRequest {
    /// Returns whether the caller resumes a stream of which it has events.
    fn resumes_stream(&self) -> bool {
        let has_events = self.caller.last_event_id.is_some_and(|last| last > 0);
        self.route.kind == RouteKind::Stream && has_events
    }

    /// If the caller resumes a stream, finds out where it began, and selects that service. Returns a
    /// refusal if that is not known: any server could be of another version.
    pub async fn find_origin(&mut self, node: &Node) -> Result<(), Refusal> {
        if !self.resumes_stream() {
            return Ok(());
        }
        node.metrics.incr(Counter::StreamResumedByCaller);
        let found = match &self.caller.resumes {
            Some(began) => {
                let stream = stream_origin::stream_key(&self.caller.host, began);
                node.find_origin(stream).await
            }
            // The caller does not name its stream.
            None => {
                let sole = node.sole_origin(&self.service, Instant::now());
                sole.map(|origin| (origin, OriginSource::SoleVersion))
            }
        };
        let (origin, source) = found.unzip();
        let service = origin.as_ref().map(|origin| &origin.service);
        let version = origin.as_ref().map(|origin| &origin.version);
        let age_ms = self.received_at.elapsed().as_millis() as u64;
        log::info!(request_id = self.caller.id, resumes = self.caller.resumes, after = self.last_event_id, service, version, source:? = source, age_ms; "stream resumed by its caller");
        self.origin = origin.filter(|origin| self.route.has_service(&origin.service));
        match &self.origin {
            Some(origin) => {
                self.service.clone_from(&origin.service);
                Ok(())
            }
            None => Err(self.build_refusal(RefusalReason::NotResumable, NO_SERVER_RETRY_AFTER)),
        }
    }

    /// Records that the first event of this request goes to the caller, unless earlier ones did. The
    /// caller may name this request if it resumes the stream, also if this one resumes it already.
    pub async fn record_origin(&mut self, node: &Arc<Node>, response: &OpenResponse) {
        if std::mem::replace(&mut self.is_origin_recorded, true) {
            return;
        }
        let origin = response.origin.clone();
        let stream = stream_origin::stream_key(&self.caller.host, &self.caller.id);
        node.record_origin(stream, origin.clone()).await;
        self.origin = Some(origin);
    }

    /// Returns the version of the servers that may run the request; `None` if any may.
    pub(super) fn required_version(&self) -> Option<&str> {
        let origin = self.origin.as_ref();
        origin.map(|origin| origin.version.as_str())
    }

    /// Records that the stream was cut off. Returns whether it may be resumed at another server.
    pub fn record_cut_off_stream(&mut self) -> bool {
        self.attempts.record(AttemptOutcome::Unknown) == NextStep::TryAnother
    }

    /// Opens the rest of a stream, after the last event, at a server other than `failed_server`.
    /// Returns `None`, and logs the reason, if no server opens it.
    pub async fn open_at_another_server(
        &mut self,
        node: &Arc<Node>,
        failed_server: &ServerInstance,
    ) -> Option<OpenResponse> {
        self.mark_tried(failed_server);
        self.extend_to_caller_deadline();
        let opened = self.open_response(node).await;
        opened.inspect_err(|refusal| self.log_refusal(refusal)).ok()
    }
}
