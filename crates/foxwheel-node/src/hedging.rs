//! Waits for a backend server, and sends the request to a second one while the first is silent.
//!
//! The first server is given up only when the second one has accepted the request: nobody knows
//! whether the first is about to go on, and whether a second one can run the request. Both have it for
//! a short time only, because two servers must not keep working on one request.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

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
        /// For how long the first server was silent.
        silence: Duration,
    },
}

/// How an attempt at a second server ended.
enum SecondAttempt<T> {
    /// The request goes on with the second server.
    Accepted {
        second: PendingAttempt,
        first: Option<T>,
    },
    /// The request goes on with the first server, which sent this, or has failed like this.
    NotNeeded(T),
    /// The first server is still silent, and no second one accepted the request.
    Refused,
}

/// What ended the time during which two servers had the request.
enum Overlap<T> {
    First(T),
    Second(Box<Result<OpenResponse, Failure>>),
    TimedOut,
}

impl OnlineRequest {
    /// Waits for `output` of `server`. While the server is silent, tries to send the request to a
    /// second one from time to time. An attempt at a second server that the request does not go on
    /// with is recorded when this returns. The outcome of the first one is left to the caller.
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
            if plan.postpone_late_attempt(Instant::now()) {
                continue;
            }
            if !is_hedged {
                is_hedged = true;
                self.record_hedge(node, server, awaited, waits_since);
            }
            if awaited == AwaitedPart::Data {
                self.extend_to_caller_deadline();
            }
            self.allow_silent_servers(plan.may_use_silent_servers(Instant::now()));
            let chosen_server = self.chosen_server.clone();
            let attempt = self.try_second_server(node, server, output.as_mut()).await;
            self.allow_silent_servers(true);
            let silence = waits_since.elapsed();
            if let SecondAttempt::Accepted { second, first } = attempt {
                self.record_hedge_won(node, server, &second, silence);
                return Hedged::Second {
                    second,
                    first,
                    silence,
                };
            }
            self.chosen_server = chosen_server;
            self.end_trial();
            match attempt {
                SecondAttempt::NotNeeded(output) => {
                    let silent_ms = silence.as_millis() as u64;
                    log::info!(request_id = self.caller.id, server = server.id, silent_ms; "silent server responded or failed before a second one");
                    return Hedged::First(output);
                }
                _ => plan.record_refusal(Instant::now()),
            }
        }
    }

    /// Sends the request to a second server and decides which one it goes on with.
    async fn try_second_server<T: ServerOutput>(
        &mut self,
        node: &Arc<Node>,
        server: &ServerInstance,
        mut output: Pin<&mut impl Future<Output = T>>,
    ) -> SecondAttempt<T> {
        self.mark_tried(server);
        let started = tokio::select! {
            biased;
            output = output.as_mut() => return SecondAttempt::NotNeeded(output),
            started = self.start_attempt(node) => started,
        };
        let mut second = match started {
            Ok(second) => second,
            Err(refusal) => {
                log::info!(request_id = self.caller.id, reason = refusal.reason(); "no second server for a silent one");
                return SecondAttempt::Refused;
            }
        };
        node.metrics.incr(Counter::HedgeStarted);
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
                let first = None;
                return SecondAttempt::Accepted { second, first };
            }
            Overlap::First(output) => match output.state() {
                OutputState::Failed => {
                    let first = Some(output);
                    return SecondAttempt::Accepted { second, first };
                }
                OutputState::Complete => return self.abandon_second(output),
                // The second server may have begun to run the request, so that it comes first.
                OutputState::GoesOn => {
                    let deadline = overlap_ends_at.into();
                    let Ok(response) = timeout_at(deadline, &mut second.response).await else {
                        return self.abandon_second(output);
                    };
                    (Some(output), response)
                }
            },
        };
        match response {
            Ok(response) => SecondAttempt::Accepted {
                second: PendingAttempt::responded(response),
                first,
            },
            Err(failure) => {
                self.record_failed_attempt(node, &second.server, &failure);
                first.map_or(SecondAttempt::Refused, SecondAttempt::NotNeeded)
            }
        }
    }

    /// Records that the second server is given up for the first one, which sent `output`.
    fn abandon_second<T>(&mut self, output: T) -> SecondAttempt<T> {
        self.attempts.record(AttemptOutcome::Unknown);
        SecondAttempt::NotNeeded(output)
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
    }

    fn record_hedge_won(
        &self,
        node: &Node,
        server: &ServerInstance,
        second: &PendingAttempt,
        silence: Duration,
    ) {
        let silent_ms = silence.as_millis() as u64;
        log::info!(request_id = self.caller.id, server = server.id, silent_ms, second = second.server.id; "silent server given up for a second one");
        node.metrics.incr(Counter::HedgeWon);
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
