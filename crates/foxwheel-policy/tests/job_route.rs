//! The route of an accepted job while the operator changes the routes.

mod common;

use std::time::{Duration, Instant};

use foxwheel_policy::batch::job::JobSpec;
use foxwheel_policy::batch::job_route::JobRoute;
use foxwheel_policy::routes::{CallerLimits, Config, Route, RouteKind};

const HOST: &str = "host.example";

/// Age of the job when the retention does not matter.
const AGE: Duration = Duration::from_secs(600);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// The job of these tests: accepted at `/letters/night/` by the route `letters`.
fn job() -> JobSpec {
    JobSpec {
        host: HOST.to_owned(),
        path: "/letters/night/job".to_owned(),
        route: "letters".to_owned(),
        ..common::job_with_items(1)
    }
}

fn route(name: &str, path_prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind,
        timeout: seconds(5),
        target_latency: seconds(1),
        priority: 2,
        targets: Vec::new(),
        max_attempts: 3,
        resumable: false,
        completion_target: seconds(18),
        retention: Duration::ZERO,
        quota_tokens: 0,
    }
}

fn batch_route(name: &str, path_prefix: &str) -> Route {
    route(name, path_prefix, RouteKind::Batch)
}

/// Returns the configuration with the route that accepted the job.
fn accepting_config() -> Config {
    config(vec![batch_route("letters", "/letters/")])
}

fn config(routes: Vec<Route>) -> Config {
    Config {
        version: 1,
        routes,
        services: Vec::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 4_194_304,
            header_timeout: seconds(3),
            idle_timeout: seconds(15),
        },
    }
}

/// A job at a worker on which configurations come into force.
struct Worker {
    job: JobSpec,
    route: JobRoute,
    now: Instant,
}

impl Worker {
    fn new() -> Self {
        Self {
            job: job(),
            route: JobRoute::default(),
            now: Instant::now(),
        }
    }

    /// Lets `config` be in force for a time, and returns the name of the job's route at its end.
    fn apply<'a>(&mut self, config: &'a Config, duration: Duration) -> Option<&'a str> {
        self.route.update(config, &self.job, self.now);
        self.now += duration;
        self.route.update(config, &self.job, self.now);
        let found = self.route.find(config, &self.job, self.now);
        found.map(|route| route.name.as_str())
    }

    fn gives_up(&self, config: &Config, age: Duration) -> bool {
        self.route.should_give_up(config, &self.job, age, self.now)
    }
}

/// The items of the job were given up, or ran as the other route says.
#[test]
fn added_route_with_a_longer_prefix_takes_an_accepted_job() {
    let kinds = [
        RouteKind::Idempotent,
        RouteKind::NonIdempotent,
        RouteKind::Stream,
        RouteKind::Batch,
    ];
    for kind in kinds {
        let added = config(vec![
            batch_route("letters", "/letters/"),
            route("desk", "/letters/night/", kind),
        ]);
        let mut worker = Worker::new();
        worker.apply(&accepting_config(), seconds(1));
        assert_eq!(worker.apply(&added, seconds(60)), Some("letters"));
        assert!(!worker.gives_up(&added, AGE), "{kind:?}");
    }
}

/// The route no longer matches the path of the job.
#[test]
fn job_is_given_up_when_its_route_matches_other_paths() {
    let mut moved = accepting_config();
    moved.routes[0].host = "other.example".to_owned();
    moved.routes[0].path_prefix = "/post/".to_owned();
    moved.routes.push(batch_route("other", "/letters/"));
    let mut worker = Worker::new();
    worker.apply(&accepting_config(), seconds(1));
    assert_eq!(worker.apply(&moved, seconds(60)), Some("letters"));
    assert!(!worker.gives_up(&moved, AGE));
}

/// The worker has an older configuration than the front that accepted the job, and another batch route
/// matched its path in that.
#[test]
fn job_runs_on_another_route_until_its_own_arrives() {
    let older = config(vec![batch_route("post", "/")]);
    let mut worker = Worker::new();
    assert_eq!(worker.apply(&older, seconds(4)), None);
    assert!(!worker.gives_up(&older, seconds(4)));
    let newer = accepting_config();
    assert_eq!(worker.apply(&newer, Duration::ZERO), Some("letters"));
}

#[test]
fn job_is_given_up_while_its_route_is_being_replaced() {
    let removed = config(Vec::new());
    let mut worker = Worker::new();
    for _ in 0..10 {
        let accepting = accepting_config();
        assert_eq!(worker.apply(&accepting, seconds(1)), Some("letters"));
        assert_eq!(worker.apply(&removed, seconds(4)), None);
        assert!(!worker.gives_up(&removed, AGE));
    }
}

/// Nobody ended the work that the route accepted.
#[test]
fn job_is_given_up_when_its_route_is_renamed() {
    let renamed = config(vec![batch_route("post", "/letters/")]);
    let mut worker = Worker::new();
    worker.apply(&accepting_config(), seconds(1));
    assert_eq!(worker.apply(&renamed, seconds(6)), Some("post"));
    assert!(!worker.gives_up(&renamed, AGE));
}

#[test]
fn job_is_given_up_after_its_retention_or_without_a_route() {
    let with_retention = |retention| {
        let mut config = accepting_config();
        config.routes[0].retention = retention;
        config
    };
    let limited = with_retention(seconds(60));
    let unlimited = with_retention(Duration::ZERO);
    let removed = config(Vec::new());
    let online = config(vec![route("letters", "/letters/", RouteKind::Stream)]);
    let cases = [
        ("within its retention", &limited, 60, 600, false),
        ("past its retention", &limited, 61, 600, true),
        ("no retention", &unlimited, 100_000, 600, false),
        ("route missing", &removed, 10, 10, true),
        ("batch route replaced", &online, 10, 10, true),
        ("missing for a short time", &removed, 100, 2, false),
        ("just submitted", &removed, 2, 2, false),
    ];
    for (name, config, age_s, in_force_s, expected) in cases {
        let mut worker = Worker::new();
        worker.apply(config, seconds(in_force_s));
        assert_eq!(worker.gives_up(config, seconds(age_s)), expected, "{name}");
    }
}
