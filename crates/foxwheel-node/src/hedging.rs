//! Waits for a backend server, and sends the request to a second one while the first is silent.
//!
//! The first server is given up only when the second one has accepted the request: nobody knows
//! whether the first is about to go on, and whether a second one can run the request. Both have it for
//! a short time only, because two servers must not keep working on one request.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Instant;

use foxwheel_core::metric_names::Counter;
use foxwheel_policy::hedging::{self, AwaitedPart, HedgePlan};
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::retry::AttemptOutcome;
use tokio::time::timeout_at;

use crate::attempt::{BodyFrame, Failure, OpenResponse};
use crate::node::Node;
use crate::online_request::{OnlineRequest, PendingAttempt};

/// Whether a server goes on with a request after some output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutputState {
    /// It goes on.
    GoesOn,
    /// The output is the end of a complete response.
    Complete,
    /// It has failed.
    Failed,
}

/// What a request waits for at a server.
pub(crate) trait ServerOutput {
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
pub(crate) enum Hedged<T> {
    /// The server that it waited for. Holds what that server sent, or how it failed.
    First(T),
    /// A second one, and the first one has to be given up.
    Second {
        /// The attempt at the second server.
        second: PendingAttempt,
        /// What the first server sent meanwhile, or how it failed; `None` if it is still silent.
        first: Option<T>,
    },
}

/// What ended the time during which two servers had the request.
enum Overlap<T> {
    First(T),
    Second(Box<Result<OpenResponse, Failure>>),
    TimedOut,
}

impl OnlineRequest {
    /// Waits for `output` of `server`. While the server is silent, tries to send the request to a
    /// second one from time to time. The attempt at a second server that the request does not go on
    /// with is recorded when this returns; a first one that is given up is not.
    pub(crate) async fn hedge<T: ServerOutput>(
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
            if awaited == AwaitedPart::Data {
                self.extend_to_caller_deadline();
            }
            let may_use_same = plan.may_use_same_server(Instant::now());
            self.set_silent_server((!may_use_same).then(|| server.clone()));
            let chosen_server = self.chosen_server.clone();
            let hedged = self.try_second_server(node, server, output.as_mut()).await;
            self.set_silent_server(None);
            if !matches!(hedged, Some(Hedged::Second { .. })) {
                self.chosen_server = chosen_server;
                self.end_trial();
            }
            match hedged {
                Some(hedged) => {
                    self.record_hedge_result(node, server, &hedged, waits_since);
                    return hedged;
                }
                None => plan.record_refusal(Instant::now()),
            }
        }
    }

    /// Sends the request to a second server and decides which one it goes on with. Returns `None` if
    /// the first one is still silent, and no second one accepted the request.
    async fn try_second_server<T: ServerOutput>(
        &mut self,
        node: &Arc<Node>,
        server: &ServerInstance,
        mut output: Pin<&mut impl Future<Output = T>>,
    ) -> Option<Hedged<T>> {
        self.mark_tried(server);
        let started = tokio::select! {
            biased;
            output = output.as_mut() => return Some(Hedged::First(output)),
            started = self.start_attempt(node) => started,
        };
        let mut second = match started {
            Ok(second) => second,
            Err(refusal) => {
                log::info!(request_id = self.caller.id, reason = refusal.reason(); "no second server for a silent one");
                return None;
            }
        };
        let overlap_ends_at = Instant::now() + hedging::MAX_OVERLAP;
        let overlap = tokio::select! {
            biased;
            response = &mut second.response => Overlap::Second(Box::new(response)),
            output = output.as_mut() => Overlap::First(output),
            () = tokio::time::sleep_until(overlap_ends_at.into()) => Overlap::TimedOut,
        };
        let (first, response) = match overlap {
            Overlap::Second(response) => (None, *response),
            // The second server did not reject the request, and was silent for a shorter time.
            Overlap::TimedOut => {
                return Some(Hedged::Second {
                    second,
                    first: None,
                })
            }
            Overlap::First(output) => match output.state() {
                OutputState::Failed => {
                    let first = Some(output);
                    return Some(Hedged::Second { second, first });
                }
                OutputState::Complete => {
                    self.attempts.record(AttemptOutcome::Unknown);
                    return Some(Hedged::First(output));
                }
                // The second server may have begun to run the request, so that it comes first.
                OutputState::GoesOn => {
                    let deadline = overlap_ends_at.into();
                    let Ok(response) = timeout_at(deadline, &mut second.response).await else {
                        self.attempts.record(AttemptOutcome::Unknown);
                        return Some(Hedged::First(output));
                    };
                    (Some(output), response)
                }
            },
        };
        match response {
            Ok(response) => {
                let second = PendingAttempt::responded(response);
                Some(Hedged::Second { second, first })
            }
            Err(failure) => {
                self.record_failed_attempt(node, &second.server, &failure);
                first.map(Hedged::First)
            }
        }
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
            Hedged::Second { second, .. } => {
                log::info!(request_id = self.caller.id, server = server.id, silent_ms, second = second.server.id; "silent server given up for a second one");
                node.metrics.incr(Counter::HedgeWon);
            }
        }
    }
}

impl PendingAttempt {
    fn responded(response: OpenResponse) -> Self {
        Self {
            server: response.server.clone(),
            response: Box::pin(std::future::ready(Ok(response))),
        }
    }
}
