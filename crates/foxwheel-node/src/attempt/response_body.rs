//! Reads the body of a response, and records what it shows about its server.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foxwheel_callers::body::{BodyBuffer, BodyRefusal};
use foxwheel_callers::connections::CallerConnection;
use foxwheel_http1::body::{Framing, ResponseBody};

use crate::attempt::{
    self, BodyFrame, OpenResponse, ResponseProgress, DEADLINE_PASSED, SUSPECT_TIMEOUT,
};
use crate::server_probe::{self, CutOffRequest, ServerLiveness};

/// How long a response that ended with its connection waits for the liveness probe of its server.
/// Without a result the response counts as cut off, so that this covers the probe's own time limit.
const END_PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// A server that crashes on a part of a prompt does so within a fraction of this time from the first data
/// of its response. A response that goes on for so long clears the parts.
const SURVIVAL_TIME: Duration = Duration::from_secs(1);

/// Largest body of a response that is forwarded when it is complete. Streams of events have no limit, as
/// they are forwarded while they arrive.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Largest body that is read for the sake of its connection alone.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;

impl OpenResponse {
    /// Waits for the next frame of the body until `deadline`. If the body is cut off, or ends with its
    /// connection, the server is probed before this returns.
    pub async fn next_frame(&mut self, deadline: Instant) -> BodyFrame {
        let data = self.body.next_data();
        let next_data = attempt::suspect_while_silent(
            &self.node,
            &self.server,
            SUSPECT_TIMEOUT,
            deadline,
            data,
        )
        .await;
        match next_data {
            Some(Ok(None)) => self.confirm_end().await,
            Some(Ok(Some(data))) => {
                self.record_progress(Instant::now());
                BodyFrame::Data(data)
            }
            Some(Err(e)) => {
                self.record_failure();
                attempt::probe_server(&self.node, self.cut_off_request()).await;
                BodyFrame::CutOff(e.to_string())
            }
            None => BodyFrame::TimedOut,
        }
    }

    fn record_progress(&mut self, now: Instant) {
        attempt::record_progress(&self.node, &self.server, now);
        self.last_data_at = now;
        self.progress = match self.progress {
            ResponseProgress::NoData => ResponseProgress::Since(now),
            ResponseProgress::Since(since) if now >= since + SURVIVAL_TIME => {
                if self.decoded_head.status.is_success() {
                    let service = &self.origin.service;
                    self.node.record_part_success(&self.content, service);
                }
                ResponseProgress::Survived
            }
            unchanged => unchanged,
        };
    }

    /// Decides whether a body without a known error is complete. The kernel closes the connections
    /// of an ended process in order, so that a body whose end is marked only by that of its
    /// connection is not complete if its server has ended.
    async fn confirm_end(&mut self) -> BodyFrame {
        if self.body.framing() != Framing::UntilClose {
            return BodyFrame::End;
        }
        let probe = server_probe::probe_after_close(Arc::clone(&self.node), self.cut_off_request());
        let liveness = attempt::run_probe(probe, END_PROBE_TIMEOUT).await;
        self.liveness_at_end = Some(liveness);
        if liveness.confirms_end() {
            return BodyFrame::End;
        }
        if liveness == ServerLiveness::Ended {
            self.record_failure();
        }
        let (server, request_id) = (&self.server.id, &self.request_id);
        log::info!(request_id, server, liveness:?; "response ended with its connection; its end is not confirmed");
        BodyFrame::CutOff(
            "response ended with its connection, and its server may have too".to_owned(),
        )
    }

    /// Returns for how long neither the head nor any data arrived.
    pub fn silent_for(&self) -> Duration {
        self.last_data_at.elapsed()
    }

    /// Records that the server failed this request.
    pub fn record_failure(&self) {
        self.node
            .loads
            .record_outcome(&self.server, true, Instant::now());
    }

    /// Returns whether the response is known to be complete, and not only without a known error.
    fn is_proven_complete(&self) -> bool {
        let ended_with_connection = self.body.framing() == Framing::UntilClose;
        !ended_with_connection || self.liveness_at_end == Some(ServerLiveness::Lives)
    }

    /// Returns whether the connection may carry another exchange. After a response without an id it may
    /// not: a late copy of it could be taken for the response to the next request.
    fn keeps_connection(&self) -> bool {
        self.body.keeps_connection() && self.decoded_head.has_request_id
    }

    /// Returns the response body, for what is known about its end.
    pub fn body(&self) -> &ResponseBody {
        &self.body
    }

    fn cut_off_request(&self) -> CutOffRequest {
        CutOffRequest {
            server: self.server.clone(),
            addr: self.addr,
            request_id: self.request_id.clone(),
            content: Arc::clone(&self.content),
            run_kind: self.slot.run_kind(),
            framing: Some(self.body.framing()),
            sent_at: self.sent_at,
            cut_off_at: Instant::now(),
        }
    }

    /// Reads the rest of the body. The memory for it counts as held by the caller's `connection` until
    /// the last copy is dropped. Returns the reason as an error if the body is not complete at
    /// `deadline`, is too large, or the connection fails.
    pub async fn read_full_body(
        &mut self,
        connection: &CallerConnection,
        deadline: Instant,
    ) -> Result<Bytes, String> {
        let announced_bytes = self.body.announced_bytes();
        let mut buffer = BodyBuffer::begin(connection, MAX_BODY_BYTES, announced_bytes)
            .map_err(|e| self.refuse_body(e))?;
        loop {
            match self.next_frame(deadline).await {
                BodyFrame::Data(data) => {
                    let stored = buffer.push_until(&data, deadline).await;
                    stored.map_err(|e| self.refuse_body(e))?;
                }
                BodyFrame::End => return Ok(buffer.finish()),
                BodyFrame::CutOff(reason) => return Err(reason),
                BodyFrame::TimedOut => return Err(DEADLINE_PASSED.to_owned()),
            }
        }
    }

    /// Returns the reason why the body is not read further.
    fn refuse_body(&self, refusal: BodyRefusal) -> String {
        if matches!(refusal, BodyRefusal::TooLarge(_)) {
            self.record_failure();
        }
        format!("response: {refusal}")
    }

    /// Ends the exchange with a response whose body is not needed. Reads the body until `deadline` if
    /// the connection can be used again after it.
    pub async fn discard_body(mut self, deadline: Instant) {
        let mut discarded_bytes = 0;
        while self.keeps_connection() && discarded_bytes <= MAX_DISCARDED_BYTES {
            match self.next_frame(deadline).await {
                BodyFrame::Data(data) => discarded_bytes += data.len(),
                BodyFrame::End => return self.finish(),
                BodyFrame::CutOff(_) | BodyFrame::TimedOut => return,
            }
        }
    }

    /// Ends the exchange after a complete body: frees the slot, records a success for the server and a
    /// proven one for the request's content, and returns the connection to the pool unless the
    /// server closes it.
    pub fn finish(self) {
        let is_proven_complete = self.is_proven_complete();
        let keeps_connection = self.keeps_connection();
        let Self {
            decoded_head,
            server,
            node,
            connection,
            slot,
            content,
            ..
        } = self;
        drop(slot);
        if decoded_head.status.is_success() && !decoded_head.not_run {
            node.loads.record_outcome(&server, false, Instant::now());
            if is_proven_complete {
                node.record_success(&content, &server);
            }
        }
        if keeps_connection {
            node.pool
                .release(&server, connection, decoded_head.idle_timeout);
        }
    }
}
