//! Choice of route and service, and the configuration in force.

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
fn the_longest_prefix_of_the_host_wins() {
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

#[test]
fn a_split_route_follows_its_weights_and_the_draw_alone() {
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
fn what_may_run_again_follows_from_the_kind() {
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

/// Configurations arrive from the store and from peers in any order.
#[test]
fn the_version_in_force_never_falls() {
    common::seeded(200, 512, |u| {
        let mut in_force = ConfigInForce::default();
        for _ in 0..20 {
            let version: u64 = u.int_in_range(1..=30)?;
            let before = in_force.version();
            let taken = in_force.replace_if_newer(config(version, Vec::new()));
            assert_eq!(taken, before.is_none_or(|before| version > before));
            assert!(in_force.version() >= before);
        }
        Ok(())
    });
}

/// A request on its way: what it was given when it came, and what became of its attempts.
struct Waiting {
    version: u64,
    service: String,
    attempts: Attempts,
    /// Attempts that ran.
    runs: u32,
}

/// The service of the route in a version of the configuration; none where it is dropped.
fn service_in(version: u64) -> Option<String> {
    (version % 5 != 0).then(|| format!("service-{}", version % 3))
}

fn config_of(version: u64, kind: RouteKind) -> Config {
    let routes = service_in(version).map(|service| {
        let mut route = route("moving", "a.example", "/x/");
        route.kind = kind;
        route.max_attempts = 3;
        route.targets[0].service = service;
        route
    });
    config(version, routes.into_iter().collect())
}

/// Configurations come from the store and from peers in any order while requests come, wait,
/// run, fail and are tried again: each request goes where the newest version known when it
/// came sends it, none comes in under an older one than one before it, and one that may not
/// repeat runs once at most, and never after it was refused as not run.
#[test]
fn a_route_that_moves_under_waiting_requests_keeps_their_promises() {
    const OUTCOMES: [AttemptOutcome; 4] = [
        AttemptOutcome::NotSent,
        AttemptOutcome::Rejected,
        AttemptOutcome::Failed,
        AttemptOutcome::Unknown,
    ];
    for kind in [RouteKind::Idempotent, RouteKind::NonIdempotent] {
        common::seeded(8, 40_000, |u| {
            let mut in_force = ConfigInForce::default();
            let mut waiting: Vec<Waiting> = Vec::new();
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
                        assert!(config.version >= last_version, "an older version again");
                        last_version = config.version;
                        let Some(route) = config.match_route("a.example", "/x/1") else {
                            assert_eq!(service_in(config.version), None);
                            continue;
                        };
                        waiting.push(Waiting {
                            version: config.version,
                            service: route.pick_service(u.arbitrary()?).clone(),
                            attempts: Attempts::new(route.is_repeatable(), route.max_attempts),
                            runs: 0,
                        });
                    }
                    _ if waiting.is_empty() => {}
                    _ => {
                        let at = u.choose_index(waiting.len())?;
                        let outcome = OUTCOMES[u.choose_index(OUTCOMES.len())?];
                        let request = &mut waiting[at];
                        assert_eq!(Some(&request.service), service_in(request.version).as_ref());
                        let ran =
                            matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::Unknown);
                        request.runs += u32::from(ran);
                        let next = request.attempts.record(outcome);
                        let most = if kind == RouteKind::Idempotent { 3 } else { 1 };
                        assert!(request.runs <= most, "ran {} times", request.runs);
                        if next == NextStep::RefuseNotRun {
                            assert_eq!(request.runs, 0, "refused as not run");
                        }
                        if next != NextStep::TryAnother {
                            waiting.swap_remove(at);
                        }
                    }
                }
            }
            Ok(())
        });
    }
}
