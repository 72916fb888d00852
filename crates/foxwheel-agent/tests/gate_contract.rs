//! Tests of the batch gate: which signals close it, for which workspaces and until when, and that
//! the queue holds back the batch requests that it does not admit.

use foxwheel_agent::batch_admission::{BatchAdmission, Signals};
use foxwheel_agent::gate::Gate;
use foxwheel_agent::queue::{Limits, Queue};
use foxwheel_core::declarations::{
    BatchGate, GateCheck, GateEffect, GateRule, PriorityClass, Signal,
};
use foxwheel_core::protocol::AgentConfig;
use futures::FutureExt;

const NOW_MS: u64 = 1_000_000;

fn gate_with_rules(rules: Vec<GateRule>) -> BatchGate {
    let check = |signal, at_most| GateCheck { signal, at_most };
    BatchGate {
        checks: vec![
            check(Signal::EngineWaiting, 0),
            check(Signal::CacheUsedPercent, 90),
            check(Signal::OnlineTtftP95Ms, 400),
        ],
        rules,
    }
}

fn rule(workspace: &str, effect: GateEffect, expires_unix_ms: Option<u64>) -> GateRule {
    GateRule {
        workspace: workspace.to_owned(),
        effect,
        expires_unix_ms,
    }
}

fn signals(engine_waiting: u64, cache_used_percent: u64, online_ttft_p95_ms: u64) -> Signals {
    Signals {
        engine_waiting,
        cache_used_percent,
        online_ttft_p95_ms,
    }
}

#[test]
fn each_signal_closes_the_gate_unless_a_rule_exempts_the_workspace() {
    let check_only_ttft = GateEffect::CheckOnly(vec![Signal::OnlineTtftP95Ms]);
    let not_expired = Some(NOW_MS + 1);
    let expired = Some(NOW_MS);
    // (case, rules, signals, whether batch requests of the workspace permissa-sul are admitted)
    let cases = [
        (
            "all signals at their limits",
            vec![],
            signals(0, 90, 400),
            true,
        ),
        (
            "requests wait in the engine",
            vec![],
            signals(1, 0, 0),
            false,
        ),
        (
            "prefix cache above its limit",
            vec![],
            signals(0, 91, 0),
            false,
        ),
        (
            "online time to first token above its limit",
            vec![],
            signals(0, 0, 401),
            false,
        ),
        (
            "only another workspace is exempt",
            vec![rule("sodam", GateEffect::Exempt, None)],
            signals(9, 99, 999),
            false,
        ),
        (
            "workspace is exempt",
            vec![rule("permissa-sul", GateEffect::Exempt, not_expired)],
            signals(9, 99, 999),
            true,
        ),
        (
            "exemption has expired",
            vec![rule("permissa-sul", GateEffect::Exempt, expired)],
            signals(9, 99, 999),
            false,
        ),
        (
            "only time to first token is checked, at its limit",
            vec![rule("permissa-sul", check_only_ttft.clone(), None)],
            signals(9, 99, 400),
            true,
        ),
        (
            "only time to first token is checked, above its limit",
            vec![rule("permissa-sul", check_only_ttft.clone(), None)],
            signals(0, 0, 401),
            false,
        ),
        (
            "the first of two rules applies",
            vec![
                rule("permissa-sul", check_only_ttft.clone(), None),
                rule("permissa-sul", GateEffect::Exempt, None),
            ],
            signals(0, 0, 401),
            false,
        ),
        (
            "the first of two rules has expired",
            vec![
                rule("permissa-sul", check_only_ttft, expired),
                rule("permissa-sul", GateEffect::Exempt, None),
            ],
            signals(0, 0, 401),
            true,
        ),
    ];
    for (case, rules, signals, expected) in cases {
        let admission = BatchAdmission::evaluate(&gate_with_rules(rules), &signals, NOW_MS);
        assert_eq!(
            admission.is_admitted("permissa-sul"),
            expected,
            "case '{case}'"
        );
    }
}

#[test]
fn a_share_of_requests_is_rejected_and_older_configurations_are_ignored() {
    let gate = Gate::default();
    let config_with_percent = |revision, percent| AgentConfig {
        revision,
        batch_gate: Some(gate_with_rules(vec![rule(
            "permissa-sul",
            GateEffect::RejectPercent(percent),
            None,
        )])),
    };
    assert_eq!(gate.configure(config_with_percent(5, 30)), 5);
    assert!(gate.should_reject("permissa-sul", 0.29));
    assert!(!gate.should_reject("permissa-sul", 0.30));
    assert!(!gate.should_reject("sodam", 0.0));
    assert_eq!(
        gate.configure(config_with_percent(4, 100)),
        5,
        "an older configuration is ignored"
    );
    assert!(!gate.should_reject("permissa-sul", 0.99));
    assert_eq!(gate.configure(config_with_percent(6, 0)), 6);
    assert!(!gate.should_reject("permissa-sul", 0.0));
}

#[test]
fn the_queue_holds_back_batch_requests_that_the_gate_does_not_admit() {
    let queue = Queue::new(Limits {
        max_running: 4,
        max_batch_running: 4,
        max_waiting_online: 4,
        max_waiting_batch: 4,
    });
    queue.set_batch_admission(BatchAdmission {
        default_closed: true,
        closed_by_workspace: vec![("sodam".to_owned(), false)],
    });
    let held_back = queue.acquire(PriorityClass::Batch, "permissa-sul");
    let mut held_back = Box::pin(held_back);
    assert!(held_back.as_mut().now_or_never().is_none());
    let online_acquire = queue.acquire(PriorityClass::Online, "").now_or_never();
    assert!(
        online_acquire.is_some_and(|p| p.is_ok()),
        "online requests are not held back"
    );
    queue.set_batch_admission(BatchAdmission::default());
    let batch_acquire = held_back.as_mut().now_or_never();
    assert!(
        batch_acquire.is_some_and(|p| p.is_ok()),
        "the batch request starts once it is admitted"
    );
}
