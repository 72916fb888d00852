//! Clients of batch jobs. Each submits jobs, repeats some submissions, ends some jobs early, and
//! reads the results of the others twice.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use crate::evidence::{Job, Recorder, RefusedJob};
use crate::front_client;

/// Range of the number of items of a job.
const ITEM_COUNT_RANGE: std::ops::Range<usize> = 3..20;

/// Probability that a client ends its job early.
const ENDED_JOB_SHARE: f64 = 0.2;

/// Number of attempts after which a client may give up a job that was refused each time.
const ATTEMPTS_BEFORE_GIVING_UP: u32 = 2;

/// Probability that it does.
const GIVEN_UP_JOB_SHARE: f64 = 0.5;

/// Time limit for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause between two calls of a client.
const CALL_INTERVAL: Duration = Duration::from_millis(150);

/// A client that submits batch jobs to random fronts.
pub struct BatchClient {
    /// Name of the client. The ids of its jobs start with it.
    pub name: String,
    /// Addresses of the fronts.
    pub fronts: Vec<SocketAddr>,
    /// Records the client's jobs.
    pub recorder: Arc<Recorder>,
}

impl BatchClient {
    /// Submits one job after the other until `stop` is cancelled, and reads or ends each of them.
    /// When `give_up` is cancelled, reading stops and the job is recorded with the results read so
    /// far.
    pub async fn run(self, seed: u64, stop: CancellationToken, give_up: CancellationToken) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut number = 0;
        while !stop.is_cancelled() {
            number += 1;
            let id = format!("{}-{number}", self.name);
            let item_count = rng.random_range(ITEM_COUNT_RANGE);
            let submitted_at = Instant::now();
            let Some(accepted_at) = self
                .submit_until_accepted(&id, item_count, &mut rng, &stop)
                .await
            else {
                continue;
            };
            let mut job = Job {
                id,
                item_count,
                submitted_at,
                accepted_at,
                ended_at: None,
                results: Vec::new(),
                second_read: None,
            };
            if rng.random_bool(ENDED_JOB_SHARE) {
                job.ended_at = self.end_job(&job.id, &mut rng, &give_up).await;
                if job.ended_at.is_none() {
                    // It is unknown whether the job was ended, so it cannot be checked.
                    continue;
                }
            } else {
                job.results = self.read_all_results(&job, &mut rng, &give_up).await;
                job.second_read = Some(self.read_all_results(&job, &mut rng, &give_up).await);
            }
            self.recorder.lock().jobs.push(job);
        }
    }

    /// Submits a job until it is accepted, and sometimes once more after that. Returns the time at
    /// which the acceptance was received, or `None` if `stop` was cancelled before or the job was
    /// given up. A job is given up only if no attempt may have been accepted.
    async fn submit_until_accepted(
        &self,
        id: &str,
        item_count: usize,
        rng: &mut StdRng,
        stop: &CancellationToken,
    ) -> Option<Instant> {
        let mut refusals = 0;
        let mut may_be_accepted = false;
        while !stop.is_cancelled() {
            let submitted = front_client::submit_job(self.choose_front(rng), id, item_count);
            let status = await_status(submitted).await;
            if status == Some(StatusCode::ACCEPTED) {
                let accepted_at = Instant::now();
                if rng.random_bool(0.3) {
                    // The job is accepted already, whatever the response to the repeated
                    // submission is.
                    let _ = await_status(front_client::submit_job(
                        self.choose_front(rng),
                        id,
                        item_count,
                    ))
                    .await;
                }
                return Some(accepted_at);
            }
            match status {
                Some(StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {
                    refusals += 1
                }
                _ => may_be_accepted = true,
            }
            if refusals == ATTEMPTS_BEFORE_GIVING_UP
                && !may_be_accepted
                && rng.random_bool(GIVEN_UP_JOB_SHARE)
            {
                let job = RefusedJob {
                    id: id.to_owned(),
                    item_count,
                };
                self.recorder.lock().refused_jobs.push(job);
                return None;
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        None
    }

    /// Requests the end of a job until a front confirms it. Returns the time of the confirmation,
    /// or `None` if `give_up` was cancelled before.
    async fn end_job(
        &self,
        job: &str,
        rng: &mut StdRng,
        give_up: &CancellationToken,
    ) -> Option<Instant> {
        while !give_up.is_cancelled() {
            let ended = await_status(front_client::end_job(self.choose_front(rng), job)).await;
            if ended == Some(StatusCode::OK) {
                return Some(Instant::now());
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        None
    }

    async fn read_all_results(
        &self,
        job: &Job,
        rng: &mut StdRng,
        give_up: &CancellationToken,
    ) -> Vec<Value> {
        let mut results = Vec::new();
        while results.len() < job.item_count && !give_up.is_cancelled() {
            let read = front_client::read_results(self.choose_front(rng), &job.id, results.len());
            if let Ok(Some(page)) = tokio::time::timeout(RESPONSE_TIMEOUT, read).await {
                results.extend(page["results"].as_array().cloned().unwrap_or_default());
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        results
    }

    fn choose_front(&self, rng: &mut StdRng) -> SocketAddr {
        self.fronts[rng.random_range(0..self.fronts.len())]
    }
}

async fn await_status<E>(
    response: impl std::future::Future<Output = Result<front_client::ReceivedResponse, E>>,
) -> Option<StatusCode> {
    let response = tokio::time::timeout(RESPONSE_TIMEOUT, response)
        .await
        .ok()?
        .ok()?;
    Some(response.status)
}
