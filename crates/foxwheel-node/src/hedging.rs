//! Waits for a backend server, and sends the request to a second one while the first is silent.
//!
//! The first server is given up only when the second one has responded: nobody knows whether it is
//! about to go on, and whether the second one can run the request. From then on only the second one
//! counts, because two servers must not keep working on one request.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Instant;

use foxwheel_core::metric_names::Counter;
use foxwheel_policy::hedging::{self, AwaitedPart, HedgePlan};
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::retry::AttemptOutcome;
use tokio::time::timeout;

use crate::attempt::{BodyFrame, Failure, OpenResponse};
use crate::node::Node;
use crate::online_request::OnlineRequest;
use crate::refusal::Refusal;

/// Whether a server goes on with a request after some output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputState {
    /// It goes on.
    GoesOn,
    /// The output is the end of a complete response.
    Complete,
    /// It has failed.
    Failed,
}

/// What a request waits for at a server.
pub trait ServerOutput {
    /// Returns whether the server goes on.
    fn state(&self) -> OutputState;
}

impl ServerOutput for Result<OpenResponse, Failure> {
    fn state(&self) -> OutputState {
        match self {
            Ok(_) => OutputState::GoesOn,
            Err(_) => OutputState::Failed,
        }
    }
}

impl ServerOutput for BodyFrame {
    fn state(&self) -> OutputState {
        match self {
            Self::Data(_) => OutputState::GoesOn,
            Self::End => OutputState::Complete,
            Self::CutOff(_) | Self::TimedOut => OutputState::Failed,
        }
    }
}

/// Which server a request goes on with.
pub enum Hedged<T> {
    /// The server that it waited for. Holds what that server sent, or how it failed.
    First(T),
    /// A second one, and the first one has to be given up.
    Second {
        /// The response of the second server.
        response: Box<OpenResponse>,
        /// What the first server sent meanwhile, or how it failed; `None` if it is still silent.
        first: Option<T>,
    },
}

impl OnlineRequest {
    /// Waits for `output` of `server`. As long as the server is silent, tries to open the request at
    /// a second one from time to time, and waits for both. The attempt at the server that the
    /// request does not go on with is over when this returns, and only a first one that is given up
    /// has yet to be recorded.
    pub async fn hedge<T: ServerOutput>(
        &mut self,
        node: &Arc<Node>,
        server: &ServerInstance,
        awaited: AwaitedPart,
        output: impl Future<Output = T>,
    ) -> Hedged<T> {
        // A trial runs at one server at a time.
        if self.is_trial() {
            return Hedged::First(output.await);
        }
        tokio::pin!(output);
        let waits_since = Instant::now();
        let mut plan = HedgePlan::new(awaited, waits_since);
        let mut is_hedged = false;
        loop {
            let Some(next_attempt_at) = plan.next_attempt_at(&self.attempts) else {
                return Hedged::First(output.await);
            };
            tokio::select! {
                biased;
                output = output.as_mut() => return Hedged::First(output),
                () = tokio::time::sleep_until(next_attempt_at.into()) => {}
            }
            if !is_hedged {
                is_hedged = true;
                self.record_hedge(node, server, awaited, waits_since);
            }
            let output = output.as_mut();
            match self.try_second_server(node, server, awaited, output).await {
                Some(hedged) => {
                    self.record_hedge_result(node, server, &hedged, waits_since);
                    return hedged;
                }
                None => plan.record_refusal(Instant::now()),
            }
        }
    }

    /// Tries to open the request at a second server. Returns `None` if the first one is still silent,
    /// and no second one runs the request.
    async fn try_second_server<T: ServerOutput>(
        &mut self,
        node: &Arc<Node>,
        server: &ServerInstance,
        awaited: AwaitedPart,
        mut output: Pin<&mut impl Future<Output = T>>,
    ) -> Option<Hedged<T>> {
        let in_progress = self.attempts.in_progress();
        let chosen_server = self.chosen_server.clone();
        if awaited == AwaitedPart::Data {
            self.extend_to_caller_deadline();
        }
        self.mark_tried(server);
        let (first, opened) = {
            let mut opening = self.open_response_boxed(node);
            tokio::select! {
                biased;
                opened = &mut opening => (None, Some(opened)),
                output = output.as_mut() => {
                    let opened = match output.state() {
                        OutputState::GoesOn => timeout(hedging::GOES_ON_GRACE, opening).await.ok(),
                        OutputState::Failed => Some(opening.await),
                        OutputState::Complete => None,
                    };
                    (Some(output), opened)
                }
            }
        };
        let second = opened.and_then(|opened| {
            let log_reason = |refusal: &Refusal| {
                log::info!(request_id = self.caller.id, reason = refusal.reason(); "no second server for a silent one");
            };
            opened.inspect_err(log_reason).ok()
        });
        if let Some(response) = second {
            let response = Box::new(response);
            return Some(Hedged::Second { response, first });
        }
        self.abandon_attempts(in_progress);
        self.chosen_server = chosen_server;
        first.map(Hedged::First)
    }

    fn record_hedge(
        &self,
        node: &Node,
        server: &ServerInstance,
        awaited: AwaitedPart,
        waits_since: Instant,
    ) {
        let now = Instant::now();
        // Other requests may have heard from the server meanwhile.
        let is_server_silent = node.loads.is_silent(server, awaited.patience(), now);
        let silent_ms = now.duration_since(waits_since).as_millis() as u64;
        let state = node.listed_server(server).map(|listed| listed.state);
        log::info!(request_id = self.caller.id, server = server.id, awaited:? = awaited, silent_ms, is_server_silent, state:? = state, config_version = self.config_version, attempts = self.attempts.count(); "second server is tried beside a silent one");
        node.metrics.incr(Counter::HedgeStarted);
    }

    fn record_hedge_result<T>(
        &self,
        node: &Node,
        server: &ServerInstance,
        hedged: &Hedged<T>,
        waits_since: Instant,
    ) {
        let silent_ms = waits_since.elapsed().as_millis() as u64;
        match hedged {
            Hedged::First(_) => {
                log::info!(request_id = self.caller.id, server = server.id, silent_ms; "silent server responded before a second one");
            }
            Hedged::Second { response, .. } => {
                log::info!(request_id = self.caller.id, server = server.id, silent_ms, second = response.server.id; "silent server given up for a second one");
                node.metrics.incr(Counter::HedgeWon);
            }
        }
    }

    /// Ends the attempts that were begun beyond the first `in_progress` ones and whose responses were
    /// dropped.
    fn abandon_attempts(&mut self, in_progress: u32) {
        while self.attempts.in_progress() > in_progress {
            self.attempts.record(AttemptOutcome::Unknown);
        }
        self.end_trial();
    }
}
