//! Selection of the route and the service, and the configuration in force.

mod common;

use std::time::Duration;

use foxwheel_policy::config_in_force::ConfigInForce;
use foxwheel_policy::retry::{AttemptOutcome, Attempts, NextStep};
use foxwheel_policy::routes::{CallerLimits, Config, Route, RouteKind, WeightedService};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(5),
        target_latency: Duration::from_millis(300),
        priority: 0,
        targets: vec![WeightedService {
            service: "model".to_owned(),
            weight: 1,
        }],
        max_attempts: 1,
        resumable: false,
        completion_target: Duration::ZERO,
        retention: Duration::ZERO,
        quota_tokens: 0,
    }
}

fn config(version: u64, routes: Vec<Route>) -> Config {
    Config {
        version,
        routes,
        services: Vec::new(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 4_194_304,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

#[test]
fn the_route_with_the_longest_matching_prefix_is_selected() {
    let config = config(
        1,
        vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/y/z/"),
        ],
    );
    let matched = |host, path| {
        config
            .match_route(host, path)
            .map(|route| route.name.as_str())
    };
    assert_eq!(matched("a.example", "/x/y/z/1"), Some("long"));
    assert_eq!(matched("A.Example:8080", "/x/1"), Some("short"));
    assert_eq!(matched("a.example", "/x"), None);
    assert_eq!(matched("c.example", "/x/1"), None);
}

/// A call on an accepted job was answered by a server of a route for all paths.
#[test]
fn calls_on_jobs_go_to_a_route_with_a_shorter_prefix() {
    const PREFIX: &str = "/api/lots/";
    let batch = |host| Route {
        kind: RouteKind::Batch,
        ..route("letters", host, "/letters/")
    };
    let all_paths = route("page", "a.example", "/");
    let same_prefix = route("lots", "a.example", PREFIX);
    let cases = [
        ("no route", vec![], true),
        ("batch route", vec![batch("a.example")], true),
        (
            "all paths",
            vec![batch("a.example"), all_paths.clone()],
            true,
        ),
        (
            "the same prefix",
            vec![batch("a.example"), same_prefix],
            false,
        ),
        (
            "no jobs on the host",
            vec![batch("b.example"), all_paths],
            false,
        ),
    ];
    for (name, routes, expected) in cases {
        let config = config(1, routes);
        let is_job_call = config.is_job_call("A.example:80", "/api/lots/job", PREFIX);
        assert_eq!(is_job_call, expected, "{name}");
    }
}

#[test]
fn a_split_route_selects_services_by_weight_and_draw_only() {
    let mut split = route("split", "a.example", "/x/");
    split.targets = [("old", 90), ("new", 10), ("never", 0)]
        .map(|(service, weight)| WeightedService {
            service: service.to_owned(),
            weight,
        })
        .to_vec();
    let picks = |service: &str| {
        (0..100)
            .filter(|draw| split.pick_service(*draw) == service)
            .count()
    };
    assert_eq!((picks("old"), picks("new"), picks("never")), (90, 10, 0));
}

#[test]
fn the_route_kind_decides_whether_requests_may_run_again() {
    let mut route = route("r", "a.example", "/x/");
    let cases = [
        (RouteKind::Idempotent, false, true),
        (RouteKind::NonIdempotent, true, false),
        (RouteKind::Stream, false, false),
        (RouteKind::Stream, true, true),
    ];
    for (kind, resumable, repeatable) in cases {
        route.kind = kind;
        route.resumable = resumable;
        assert_eq!(
            route.is_repeatable(),
            repeatable,
            "{kind:?}, resumable {resumable}"
        );
    }
}

/// Configurations arrive from the store and from peers in any order; an older version must not
/// replace a newer one.
#[test]
fn the_version_in_force_never_decreases() {
    common::run_seeded_cases(200, 512, |u| {
        let mut in_force = ConfigInForce::default();
        for _ in 0..20 {
            let version: u64 = u.int_in_range(1..=30)?;
            let before = in_force.version();
            let replaced = in_force.replace_if_newer(config(version, Vec::new()));
            assert_eq!(replaced, before.is_none_or(|before| version > before));
            assert!(in_force.version() >= before);
        }
        Ok(())
    });
}

/// A request in progress: the version and service assigned when it arrived, and its attempts.
struct PendingRequest {
    version: u64,
    service: String,
    attempts: Attempts,
    /// Number of attempts that ran.
    runs: u32,
}

/// Returns the service of the route in a version of the configuration, or `None` if that version
/// has no route.
fn service_in(version: u64) -> Option<String> {
    (version % 5 != 0).then(|| format!("service-{}", version % 3))
}

fn config_of(version: u64, kind: RouteKind) -> Config {
    let routes = service_in(version).map(|service| {
        let mut route = route("changing", "a.example", "/x/");
        route.kind = kind;
        route.max_attempts = 3;
        route.targets[0].service = service;
        route
    });
    config(version, routes.into_iter().collect())
}

/// Configurations arrive from the store and from peers in any order while requests arrive, wait,
/// run, fail and are retried. Each request must go to the service of the newest version known on
/// its arrival, no request may use an older version than an earlier one, and a request that may
/// not repeat runs at most once and never after it was refused as not run.
#[test]
fn pending_requests_keep_their_service_and_run_limit_when_the_route_changes() {
    const OUTCOMES: [AttemptOutcome; 4] = [
        AttemptOutcome::NotSent,
        AttemptOutcome::Rejected,
        AttemptOutcome::Failed,
        AttemptOutcome::Unknown,
    ];
    for kind in [RouteKind::Idempotent, RouteKind::NonIdempotent] {
        common::run_seeded_cases(8, 40_000, |u| {
            let mut in_force = ConfigInForce::default();
            let mut pending: Vec<PendingRequest> = Vec::new();
            let (mut newest, mut last_version) = (0, 0);
            for _ in 0..10_000 {
                match u.int_in_range(0..=9)? {
                    0 => newest += u.int_in_range(1..=3)?,
                    1 => {
                        let version = u.int_in_range(0..=newest)?;
                        in_force.replace_if_newer(config_of(version, kind));
                    }
                    2..=4 => {
                        let Some(config) = in_force.get() else {
                            continue;
                        };
                        assert!(
                            config.version >= last_version,
                            "the version in force decreased"
                        );
                        last_version = config.version;
                        let Some(route) = config.match_route("a.example", "/x/1") else {
                            assert_eq!(service_in(config.version), None);
                            continue;
                        };
                        pending.push(PendingRequest {
                            version: config.version,
                            service: route.pick_service(u.arbitrary()?).clone(),
                            attempts: Attempts::new(route.is_repeatable(), route.max_attempts),
                            runs: 0,
                        });
                    }
                    _ if pending.is_empty() => {}
                    _ => {
                        let at = u.choose_index(pending.len())?;
                        let outcome = OUTCOMES[u.choose_index(OUTCOMES.len())?];
                        let request = &mut pending[at];
                        assert_eq!(Some(&request.service), service_in(request.version).as_ref());
                        let ran =
                            matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::Unknown);
                        request.runs += u32::from(ran);
                        let next = request.attempts.record(outcome);
                        let max_runs = if kind == RouteKind::Idempotent { 3 } else { 1 };
                        assert!(request.runs <= max_runs, "ran {} times", request.runs);
                        if next == NextStep::RefuseNotRun {
                            assert_eq!(request.runs, 0, "refused as not run");
                        }
                        if next != NextStep::TryAnother {
                            pending.swap_remove(at);
                        }
                    }
                }
            }
            Ok(())
        });
    }
}
