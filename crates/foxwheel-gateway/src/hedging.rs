//! Reads a response whose host can fall silent, break off or end early.
//!
//! Silence is no proof of a failure: a host that is silent may go on, and another one may be silent
//! too, be full or fail. While no host delivers anything, the request is therefore also sent to
//! another host, and the hosts that run it are read side by side. The first one that delivers what
//! the reader needs is kept, and the others are left, which ends their work. If no other host may or
//! can run the request, the wait goes on for those that run it.

use std::time::Duration;

use bytes::Bytes;
use foxwheel_core::ids::HostId;
use futures::future::{FutureExt, LocalBoxFuture};
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::time::Instant;

use crate::forwarding::{Attempted, Exclusion, HostResponse, OutboundRequest};
use crate::state::{GatewayState, WorkerState};

/// What a reader makes of the bytes that it has received from one host.
pub enum Progress<T> {
    /// More bytes are needed.
    NeedsMore,
    /// The host has delivered what the reader needs.
    Delivered(T),
    /// The response is not complete and will not become so.
    Incomplete,
}

/// Reads the body of one host's response.
pub trait BodyReader: 'static {
    /// What a host has to deliver to be kept.
    type Delivery: 'static;

    /// Whether an error of the host can be delivered to the caller if no other host runs the request.
    const ACCEPTS_ERRORS: bool;

    /// Returns a function that creates the reader of the response of a host that runs the request in
    /// addition to others, or after them.
    fn factory_for_other_hosts(&self) -> Box<dyn Fn() -> Self>;

    /// Takes the next bytes.
    fn push(&mut self, chunk: &Bytes) -> Progress<Self::Delivery>;

    /// Takes the end of a body that its framing marks as complete.
    fn finish(&mut self) -> Progress<Self::Delivery>;
}

/// A host that runs the request, with the reader of its response.
pub struct HostRun<R> {
    /// Response of the host.
    pub host_response: HostResponse,
    /// Reader of its body.
    pub reader: R,
}

/// A run after one more chunk of its body.
type ReadRun<R> = (HostRun<R>, Progress<<R as BodyReader>::Delivery>);

/// Reads the next chunk of a body. The future is never dropped while its run is kept, since a
/// response must not be read further after that.
async fn read_chunk<R: BodyReader>(mut run: HostRun<R>) -> ReadRun<R> {
    let progress = match run.host_response.response.next_data().await {
        Ok(Some(chunk)) => run.reader.push(&chunk),
        Ok(None) => run.reader.finish(),
        Err(e) => {
            log::debug!("{} broke off: {e}", run.host_response.host);
            Progress::Incomplete
        }
    };
    (run, progress)
}

/// Hosts that run one request and are read side by side.
struct Race<'a, R: BodyReader> {
    state: &'a GatewayState,
    worker: &'a WorkerState,
    outbound: &'a mut OutboundRequest,
    new_reader: Box<dyn Fn() -> R>,
    reads: FuturesUnordered<LocalBoxFuture<'static, ReadRun<R>>>,
    /// Hosts of `reads`.
    running_hosts: Vec<HostId>,
    /// Attempt at another host that has not responded yet.
    attempt: Option<LocalBoxFuture<'static, Attempted>>,
    /// Whether so many attempts failed that none is started before the next silence.
    is_exhausted: bool,
    /// Time at which the request is sent to another host unless one delivers something before.
    stalled_at: Instant,
    /// Time at which the hosts are given up unless one delivers something before.
    expires_at: Instant,
}

/// Waits until a host delivers what the reader needs, which is at first only `run`, and returns that
/// host's run with the delivery. Returns `None` if all hosts that may run the request broke off, or if
/// they were silent for the request's timeout.
pub async fn next_delivery<R: BodyReader>(
    state: &GatewayState,
    worker: &WorkerState,
    outbound: &mut OutboundRequest,
    run: HostRun<R>,
) -> Option<(HostRun<R>, R::Delivery)> {
    let now = Instant::now();
    let mut race = Race {
        stalled_at: now + stall_timeout(state),
        expires_at: now + outbound.timeout(),
        state,
        worker,
        outbound,
        new_reader: run.reader.factory_for_other_hosts(),
        reads: FuturesUnordered::new(),
        running_hosts: Vec::new(),
        attempt: None,
        is_exhausted: false,
    };
    race.add_run(run);
    race.run().await
}

fn stall_timeout(state: &GatewayState) -> Duration {
    Duration::from_millis(state.settings.stream_stall_ms)
}

impl<R: BodyReader> Race<'_, R> {
    async fn run(&mut self) -> Option<(HostRun<R>, R::Delivery)> {
        loop {
            if self.reads.is_empty() && self.attempt.is_none() && !self.start_attempt() {
                return None;
            }
            let attempted = async {
                match &mut self.attempt {
                    Some(attempt) => attempt.await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                // Data that has come is read before a timer counts.
                biased;
                Some((run, progress)) = self.reads.next() => match progress {
                    Progress::Delivered(delivery) => {
                        self.leave_others(&run);
                        return Some((run, delivery));
                    }
                    Progress::NeedsMore => {
                        self.restart_timers();
                        self.reads.push(read_chunk(run).boxed_local());
                    }
                    Progress::Incomplete => self.remove_run(run),
                },
                attempted = attempted => {
                    self.attempt = None;
                    self.conclude_attempt(attempted);
                }
                () = tokio::time::sleep_until(self.stalled_at) => {
                    self.stalled_at = Instant::now() + stall_timeout(self.state);
                    self.is_exhausted = false;
                    self.outbound.lift_exclusions(Exclusion::Rejected);
                    if self.attempt.is_none() && self.start_attempt() {
                        self.state.counters.incr("retried.silent");
                    }
                }
                () = tokio::time::sleep_until(self.expires_at) => return None,
            }
        }
    }

    fn add_run(&mut self, run: HostRun<R>) {
        self.running_hosts.push(run.host_response.host.clone());
        self.reads.push(read_chunk(run).boxed_local());
    }

    /// Removes a run whose response is not complete, and sends the request to another host at once.
    fn remove_run(&mut self, run: HostRun<R>) {
        let host = run.host_response.host;
        self.running_hosts.retain(|running| *running != host);
        self.outbound.exclude(host, Exclusion::Failed);
        if self.attempt.is_none() && self.start_attempt() {
            self.state.counters.incr("retried.broke_off");
        }
    }

    fn restart_timers(&mut self) {
        let now = Instant::now();
        self.stalled_at = now + stall_timeout(self.state);
        self.expires_at = now + self.outbound.timeout();
    }

    /// Sends the request to another host. Returns `false` if none may or can run it.
    fn start_attempt(&mut self) -> bool {
        if self.is_exhausted {
            return false;
        }
        if self.reads.is_empty() {
            self.restart_timers();
        }
        self.attempt = self
            .outbound
            .start_attempt(self.state, self.worker, &self.running_hosts);
        self.attempt.is_some()
    }

    fn conclude_attempt(&mut self, attempted: Attempted) {
        let host_response = match self.outbound.conclude_attempt(self.state, attempted) {
            Ok(host_response) => host_response,
            Err(failed) => {
                self.is_exhausted = !failed.may_try_another;
                self.start_attempt();
                return;
            }
        };
        let accepts_error = R::ACCEPTS_ERRORS && self.reads.is_empty();
        if host_response.response.status().is_success() || accepts_error {
            self.restart_timers();
            let reader = (self.new_reader)();
            self.add_run(HostRun {
                host_response,
                reader,
            });
        } else {
            self.outbound.exclude(host_response.host, Exclusion::Failed);
            self.start_attempt();
        }
    }

    /// Leaves all hosts but that of `kept`. They are used again only if no other host is left.
    fn leave_others(&mut self, kept: &HostRun<R>) {
        if self.attempt.take().is_some() {
            self.outbound.record_abandoned_attempt();
        }
        for host in self.running_hosts.drain(..) {
            if host != kept.host_response.host {
                self.outbound.exclude(host, Exclusion::Silent);
            }
        }
    }
}
