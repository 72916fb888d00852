//! Which route of the configuration in force an accepted job has.
//!
//! Load pattern: operators add, move, split, remove and restore routes while jobs are open, and processes
//! learn of the changes at different times. What is accepted must not be lost by that.

use std::time::{Duration, Instant};

use crate::batch::job::JobSpec;
use crate::routes::{Config, Route, RouteKind};

/// How long the route of a job must be missing before the job goes on under another route, or is given
/// up. The route may not have arrived here yet, or may be restored.
const MISSING_ROUTE_GRACE: Duration = Duration::from_secs(5);

/// The route of one job in the configurations that come into force.
#[derive(Debug, Clone, Copy, Default)]
pub struct JobRoute {
    /// Since when the configuration has had no batch route of the name under which the job was
    /// accepted; `None` if it has one.
    missing_since: Option<Instant>,
}

impl JobRoute {
    /// Takes note of the configuration in force. Returns whether the route is missing since now.
    pub fn update(&mut self, config: &Config, job: &JobSpec, now: Instant) -> bool {
        if named_route(config, job).is_some() {
            self.missing_since = None;
            return false;
        }
        let was_missing = self.missing_since.is_some();
        self.missing_since.get_or_insert(now);
        !was_missing
    }

    /// Returns the route of the job: the one under which it was accepted, whatever it matches now. If that
    /// has been missing for long, it is the one under which the job would be accepted now. `None` while it
    /// is not known, or if there is none.
    pub fn find<'a>(&self, config: &'a Config, job: &JobSpec, now: Instant) -> Option<&'a Route> {
        let named = named_route(config, job);
        named.or_else(|| match self.is_overdue(now) {
            true => config
                .match_route(&job.host, &job.path)
                .filter(|route| route.kind == RouteKind::Batch),
            false => None,
        })
    }

    /// Returns whether the unfinished items of the job should be given up: it is older than its route's
    /// retention time (zero means no limit), or no route is left for it.
    pub fn should_give_up(
        &self,
        config: &Config,
        job: &JobSpec,
        age: Duration,
        now: Instant,
    ) -> bool {
        match self.find(config, job, now) {
            Some(route) => !route.retention.is_zero() && age > route.retention,
            None => self.is_overdue(now),
        }
    }

    fn is_overdue(&self, now: Instant) -> bool {
        let missing_for = self
            .missing_since
            .map(|since| now.saturating_duration_since(since));
        missing_for.is_some_and(|missing_for| missing_for > MISSING_ROUTE_GRACE)
    }
}

/// Returns the batch route under which the job was accepted, if the configuration has it.
fn named_route<'a>(config: &'a Config, job: &JobSpec) -> Option<&'a Route> {
    let mut routes = config.routes.iter();
    routes.find(|route| route.name == job.route && route.kind == RouteKind::Batch)
}
