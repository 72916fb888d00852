//! Tests of the simulated engine's timing, and of scheduling decisions under simulated load.

use std::time::Duration;

use foxwheel_model::engine::{Engine, EngineEvent, Task};
use foxwheel_model::outcome::Outcome;
use foxwheel_model::scenario::{EngineSpec, Scenario, Variant};
use foxwheel_model::simulation;

const ENGINE_SPEC: EngineSpec = EngineSpec {
    slots: 2,
    step_ms: 10.0,
    step_ms_per_slot: 0.0,
    prefill_tokens_per_ms: 100.0,
    first_token_ms: 0.0,
};

fn task(id: usize, output_tokens: u32) -> Task {
    Task {
        id,
        prompt_tokens: 0,
        output_tokens,
    }
}

#[test]
fn engine_fills_its_slots_and_serves_the_queue_in_order_of_arrival() {
    let mut engine = Engine::new(ENGINE_SPEC);
    for id in 0..3 {
        engine.enqueue(task(id, 5));
    }
    let mut finished = Vec::new();
    for at_ms in 0..200 {
        for event in engine.advance(Duration::from_millis(at_ms)) {
            if let EngineEvent::Finished(id) = event {
                finished.push((id, at_ms));
            }
        }
    }
    let ids: Vec<usize> = finished.iter().map(|(id, _)| *id).collect();
    assert_eq!(ids, [0, 1, 2]);
    assert!(finished[2].1 >= finished[0].1 + 40, "{finished:?}");
}

#[test]
fn cancelling_a_request_frees_its_slot_and_returns_its_generated_tokens() {
    let mut engine = Engine::new(ENGINE_SPEC);
    for id in 0..3 {
        engine.enqueue(task(id, 100));
    }
    engine.advance(Duration::from_millis(95));
    assert!((9..=11).contains(&engine.cancel(0)));
    assert_eq!(engine.cancel(7), 0, "unknown request");
    let events = engine.advance(Duration::from_millis(130));
    assert!(events.contains(&EngineEvent::FirstToken(2)), "{events:?}");
}

fn load_short_scenario(name: &str) -> Scenario {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/policy");
    let path = std::path::Path::new(folder).join(name);
    let mut scenario: Scenario = foxwheel_core::settings::load(&path).expect("a scenario");
    scenario.seeds.truncate(1);
    scenario.length_s = 14;
    scenario
}

fn simulate(scenario: &Scenario, variant_name: &str) -> Outcome {
    let variant: &Variant = scenario
        .variants
        .iter()
        .find(|variant| variant.name == variant_name)
        .expect("the variant");
    let mut outcome = Outcome::default();
    for seed in &scenario.seeds {
        simulation::simulate_variant(scenario, variant, *seed, &mut outcome);
    }
    outcome
}

#[test]
fn every_request_and_item_is_counted_once_and_a_seed_gives_the_same_results() {
    let scenario = load_short_scenario("small-fleet.json");
    let first = simulate(&scenario, "as built");
    assert_eq!(
        first.requests,
        first.on_time + first.late + first.refused_twice
    );
    assert_eq!(first.items, first.items_on_time + first.items_late);
    let second = simulate(&scenario, "as built");
    assert_eq!(first.first_token_us, second.first_token_us);
    assert_eq!(first.runs_preempted, second.runs_preempted);
}

/// The online rate steps to five times its trough on a small fleet. Fronts know the load of
/// other zones as of 0.3 s ago. If they send requests to other zones too readily, 3% of the
/// requests reach engines whose slots have filled in the meantime.
#[test]
fn rate_steps_are_served_in_time_beside_batch_items() {
    let outcome = simulate(&load_short_scenario("small-fleet.json"), "as built");
    assert!(outcome.on_time_share() > 0.985, "{outcome:?}");
    assert!(outcome.items_on_time_share() > 0.99, "{outcome:?}");
}

/// If a batch item counts as much as an online request, requests of a full zone queue behind
/// each other although other zones are filled only with batch items, which would be preempted
/// at once.
#[test]
fn batch_items_in_other_zones_do_not_keep_requests_in_a_full_zone() {
    let scenario = load_short_scenario("small-fleet.json");
    let as_built = simulate(&scenario, "as built").on_time_share();
    let with_full_weight = simulate(&scenario, "batch counts whole").on_time_share();
    assert!(as_built > 0.996, "{as_built}");
    assert!(as_built > with_full_weight, "{as_built} {with_full_weight}");
}

/// Seven fronts share a zone that runs near its capacity. Each must learn at once which engines
/// the others have filled; with a delay of 25 ms, more requests are late.
#[test]
fn immediate_load_reports_keep_requests_on_time_near_capacity() {
    let mut scenario = load_short_scenario("large-fleet.json");
    let reported_at_once = simulate(&scenario, "as built").on_time_share();
    scenario.fleet.local_view_age_ms = 25;
    let reported_25_ms_late = simulate(&scenario, "as built").on_time_share();
    assert!(reported_at_once > 0.93, "{reported_at_once}");
    assert!(
        reported_at_once > reported_25_ms_late + 0.04,
        "{reported_at_once} {reported_25_ms_late}"
    );
}

/// The online rate steps to a third above the capacity of the engines. If all requests queued
/// at full engines, every one would be late; so some are refused, and served on their retry.
#[test]
fn overload_leaves_most_requests_on_time_and_few_refused_twice() {
    let outcome = simulate(&load_short_scenario("overload.json"), "as built");
    assert!(outcome.on_time_share() > 0.6, "{outcome:?}");
    assert!(outcome.refused_twice * 50 < outcome.requests, "{outcome:?}");
}

#[test]
fn example_scenarios_are_valid_and_have_variants() {
    for name in ["small-fleet.json", "large-fleet.json", "overload.json"] {
        assert!(!load_short_scenario(name).variants.is_empty(), "{name}");
    }
}
