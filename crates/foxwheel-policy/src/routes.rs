//! The operator's configuration, and the selection of a route and a service for a request.

use std::time::Duration;

use foxwheel_core::ids::ServiceName;
use serde::{Deserialize, Serialize};

/// A complete configuration as published by the operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Increases with each change, not necessarily by one.
    pub version: u64,
    /// Routes in the operator's order.
    pub routes: Vec<Route>,
    /// The services that routes refer to.
    pub services: Vec<Service>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}

/// The kind of a route: whether its requests are online requests or batch jobs, and whether an
/// online request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request runs at most once per request id.
    NonIdempotent,
    /// The response is a stream of events. A request runs at most once unless the route is
    /// resumable.
    Stream,
    /// The route accepts batch jobs, whose items run later.
    Batch,
}

/// A route: which requests it matches and how they are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name given by the operator.
    pub name: String,
    /// Host header that the route matches, in lower case and without a port.
    pub host: String,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may run more than once.
    pub kind: RouteKind,
    /// Maximum time that a caller waits for the response.
    pub timeout: Duration,
    /// Latency up to which a response counts as on time.
    pub target_latency: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Services that the requests are split among, with their weights; never empty.
    pub targets: Vec<WeightedService>,
    /// Maximum number of backend servers on which one request may run; at least 1.
    pub max_attempts: u32,
    /// Whether an interrupted stream may be resumed at another backend server.
    pub resumable: bool,
    /// Batch only: time after the first submission at which all results are due.
    pub completion_target: Duration,
    /// Batch only: time after the first submission from which on an item may be given up.
    pub retention: Duration,
    /// Batch only: maximum sum of the unfinished tokens of the route's open jobs; 0 means no limit.
    pub quota_tokens: u64,
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service's name.
    pub service: ServiceName,
    /// Share of the requests, relative to the sum of the route's weights.
    pub weight: u32,
}

/// The operator's settings of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// Path of the service's health check.
    pub health_path: String,
    /// Maximum number of connections that one backend server accepts from all callers.
    pub max_connections: u32,
}

/// Limits on the size and duration of what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Maximum time for receiving the head of a request.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Config {
    /// Returns the route of `host` with the longest prefix that matches `path`, or `None`.
    pub fn match_route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host_without_port(host);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns whether a call on a batch job, whose path begins with `call_prefix`, goes to the job and not
    /// to a route. On a host that accepts jobs the longer prefix decides, as between routes; elsewhere
    /// a call goes to the job only if no route matches, because a job outlives the routes of its host.
    pub fn is_job_call(&self, host: &str, path: &str, call_prefix: &str) -> bool {
        let Some(matched) = self.match_route(host, path) else {
            return true;
        };
        let accepts_jobs = self.routes.iter().any(|route| {
            route.kind == RouteKind::Batch && route.host.eq_ignore_ascii_case(&matched.host)
        });
        accepts_jobs && matched.path_prefix.len() < call_prefix.len()
    }

    /// Returns the settings of a service, or `None` if the configuration has none.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl Route {
    /// Returns whether requests of the route may go to `service`.
    pub fn has_service(&self, service: &str) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|target| target.service == service)
    }

    /// Returns the service for a request, chosen by weight. The same `draw`, which may be any
    /// number, always selects the same service.
    pub fn pick_service(&self, draw: u64) -> &ServiceName {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut remaining = if total == 0 { 0 } else { draw % total };
        for target in &self.targets {
            if remaining < u64::from(target.weight) {
                return &target.service;
            }
            remaining -= u64::from(target.weight);
        }
        &self.targets[0].service
    }

    /// Returns whether a request of this route may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent | RouteKind::Batch => true,
            RouteKind::Stream => self.resumable,
            RouteKind::NonIdempotent => false,
        }
    }
}

fn host_without_port(host: &str) -> &str {
    host.split_once(':').map_or(host, |(name, _)| name)
}
