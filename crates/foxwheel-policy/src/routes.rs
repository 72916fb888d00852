//! The operator's configuration and the choice of a route and service for a request.

use std::time::Duration;

use foxwheel_core::ids::ServiceName;
use serde::{Deserialize, Serialize};

/// A whole configuration as the operator put it in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Grows with each change, in uneven steps.
    pub version: u64,
    /// Routes in the operator's order.
    pub routes: Vec<Route>,
    /// Services that routes name.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// How the requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each request id.
    NonIdempotent,
    /// Answered by a series of events; runs at most once unless the route is resumable.
    Stream,
    /// Takes batch jobs whose items run later.
    Batch,
}

/// One route: the requests it matches and how they are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The operator's name of the route.
    pub name: String,
    /// Host header it matches, in lower case and without a port.
    pub host: String,
    /// Path prefix it matches; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time a caller is kept waiting for its answer.
    pub timeout: Duration,
    /// Time within which an answer is on time.
    pub target_latency: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services and their weights; never empty.
    pub targets: Vec<WeightedService>,
    /// Most backend servers on which one request may run; at least 1.
    pub max_attempts: u32,
    /// Whether a stream may go on at another backend server.
    pub resumable: bool,
    /// Batch only: time from the first submission until all results are due.
    pub completion_target: Duration,
    /// Batch only: time from the first submission after which an item may be given up.
    pub retention: Duration,
    /// Batch only: most tokens that may wait on the route; 0 is no limit.
    pub quota_tokens: u64,
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service's name.
    pub service: ServiceName,
    /// Share among the route's weights.
    pub weight: u32,
}

/// What the operator says of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// Path of its health check.
    pub health_path: String,
    /// Most connections one backend server takes from all callers.
    pub max_connections: u32,
}

/// What callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time a caller may take to send a head.
    pub header_timeout: Duration,
    /// Longest time a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Config {
    /// The route with the longest prefix among those of `host`, or none.
    pub fn match_route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host_without_port(host);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Whether any route names `host`.
    pub fn has_host(&self, host: &str) -> bool {
        let host = host_without_port(host);
        self.routes
            .iter()
            .any(|route| route.host.eq_ignore_ascii_case(host))
    }

    /// The operator's entry for a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl Route {
    /// The service for a request; the same `draw` (any number) always picks the same one.
    pub fn pick_service(&self, draw: u64) -> &ServiceName {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut left = if total == 0 { 0 } else { draw % total };
        for target in &self.targets {
            if left < u64::from(target.weight) {
                return &target.service;
            }
            left -= u64::from(target.weight);
        }
        &self.targets[0].service
    }

    /// Whether a request of this route may run more than once.
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
