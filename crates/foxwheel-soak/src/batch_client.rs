//! Clients of batch jobs: they submit, submit again, read, end some, and read once more.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use crate::evidence::{Job, Record};
use crate::front_client;

/// Items of a job.
const ITEMS: std::ops::Range<usize> = 3..20;

/// Share of jobs whose client ends them early.
const ENDED_SHARE: f64 = 0.2;

/// Longest wait for one answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// Pause between the calls of one client.
const PAUSE: Duration = Duration::from_millis(150);

/// A client of jobs.
pub struct Client {
    /// Its name, the first part of its jobs' ids.
    pub name: String,
    /// Where it finds the fronts.
    pub fronts: Vec<SocketAddr>,
    /// Where its jobs are noted.
    pub record: Arc<Record>,
}

impl Client {
    /// Submits jobs one after the other until `stop` fires, and follows each to its end; one
    /// that is not listed whole when `give_up` fires is noted as it is.
    pub async fn run(self, seed: u64, stop: CancellationToken, give_up: CancellationToken) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut number = 0;
        while !stop.is_cancelled() {
            number += 1;
            let id = format!("{}-{number}", self.name);
            let count = rng.random_range(ITEMS);
            let submitted_at = Instant::now();
            let Some(accepted_at) = self.submit(&id, count, &mut rng, &stop).await else {
                continue;
            };
            let mut job = Job {
                id,
                count,
                submitted_at,
                accepted_at,
                ended_at: None,
                results: Vec::new(),
                read_again: None,
            };
            if rng.random_bool(ENDED_SHARE) {
                job.ended_at = self.end(&job.id, &mut rng, &give_up).await;
                if job.ended_at.is_none() {
                    // Whether it goes on cannot be told.
                    continue;
                }
            } else {
                job.results = self.read_all(&job, &mut rng, &give_up).await;
                job.read_again = Some(self.read_all(&job, &mut rng, &give_up).await);
            }
            self.record.lock().jobs.push(job);
        }
    }

    /// Submits until accepted, and sometimes once more; none if `stop` fires before.
    async fn submit(
        &self,
        id: &str,
        count: usize,
        rng: &mut StdRng,
        stop: &CancellationToken,
    ) -> Option<Instant> {
        while !stop.is_cancelled() {
            let submitted = front_client::submit_job(self.front(rng), id, count);
            if status_of(submitted).await == Some(StatusCode::ACCEPTED) {
                let accepted_at = Instant::now();
                if rng.random_bool(0.3) {
                    // Whatever becomes of the repeat, the job stands.
                    let _ = status_of(front_client::submit_job(self.front(rng), id, count)).await;
                }
                return Some(accepted_at);
            }
            tokio::time::sleep(PAUSE).await;
        }
        None
    }

    /// Asks for the end of a job until it is confirmed; none if `give_up` fires before.
    async fn end(
        &self,
        job: &str,
        rng: &mut StdRng,
        give_up: &CancellationToken,
    ) -> Option<Instant> {
        while !give_up.is_cancelled() {
            let ended = status_of(front_client::end_job(self.front(rng), job)).await;
            if ended == Some(StatusCode::OK) {
                return Some(Instant::now());
            }
            tokio::time::sleep(PAUSE).await;
        }
        None
    }

    async fn read_all(
        &self,
        job: &Job,
        rng: &mut StdRng,
        give_up: &CancellationToken,
    ) -> Vec<Value> {
        let mut results = Vec::new();
        while results.len() < job.count && !give_up.is_cancelled() {
            let read = front_client::read_results(self.front(rng), &job.id, results.len());
            if let Ok(Some(page)) = tokio::time::timeout(PATIENCE, read).await {
                results.extend(page["results"].as_array().cloned().unwrap_or_default());
            }
            tokio::time::sleep(PAUSE).await;
        }
        results
    }

    fn front(&self, rng: &mut StdRng) -> SocketAddr {
        self.fronts[rng.random_range(0..self.fronts.len())]
    }
}

async fn status_of<E>(
    answer: impl std::future::Future<Output = Result<front_client::ReceivedResponse, E>>,
) -> Option<StatusCode> {
    let answer = tokio::time::timeout(PATIENCE, answer).await.ok()?.ok()?;
    Some(answer.status)
}
