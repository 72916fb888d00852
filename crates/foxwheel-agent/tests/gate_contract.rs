//! The batch gate: which signals close it, for whom, and until when; and that the queue
//! holds back what it does not admit.

use foxwheel_agent::admits::{Admits, Signals};
use foxwheel_agent::gate::Gate;
use foxwheel_agent::queue::{Limits, Queue};
use foxwheel_core::declarations::{
    BatchGate, GateCheck, GateEffect, GateRule, PriorityClass, Signal,
};
use foxwheel_core::protocol::AgentConfig;
use futures::FutureExt;

const NOW_MS: u64 = 1_000_000;

fn gate(rules: Vec<GateRule>) -> BatchGate {
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
fn each_signal_closes_the_gate_and_rules_make_exceptions() {
    let only_ttft = GateEffect::CheckOnly(vec![Signal::OnlineTtftP95Ms]);
    let later = Some(NOW_MS + 1);
    let passed = Some(NOW_MS);
    // (case, rules, signals, whether permissa-sul's batch work is admitted)
    let cases = [
        ("all hold, at the limit", vec![], signals(0, 90, 400), true),
        ("engine queue", vec![], signals(1, 0, 0), false),
        ("cache", vec![], signals(0, 91, 0), false),
        ("online tail", vec![], signals(0, 0, 401), false),
        (
            "another workspace's exemption",
            vec![rule("sodam", GateEffect::Exempt, None)],
            signals(9, 99, 999),
            false,
        ),
        (
            "exempt",
            vec![rule("permissa-sul", GateEffect::Exempt, later)],
            signals(9, 99, 999),
            true,
        ),
        (
            "an exemption that expired",
            vec![rule("permissa-sul", GateEffect::Exempt, passed)],
            signals(9, 99, 999),
            false,
        ),
        (
            "only the online tail counts for it",
            vec![rule("permissa-sul", only_ttft.clone(), None)],
            signals(9, 99, 400),
            true,
        ),
        (
            "and it is over",
            vec![rule("permissa-sul", only_ttft.clone(), None)],
            signals(0, 0, 401),
            false,
        ),
        (
            "of two rules the first counts",
            vec![
                rule("permissa-sul", only_ttft.clone(), None),
                rule("permissa-sul", GateEffect::Exempt, None),
            ],
            signals(0, 0, 401),
            false,
        ),
        (
            "unless it expired",
            vec![
                rule("permissa-sul", only_ttft, passed),
                rule("permissa-sul", GateEffect::Exempt, None),
            ],
            signals(0, 0, 401),
            true,
        ),
    ];
    for (case, rules, signals, admitted) in cases {
        let admits = Admits::judge(&gate(rules), &signals, NOW_MS);
        assert_eq!(admits.admits("permissa-sul"), admitted, "case '{case}'");
    }
}

#[test]
fn a_share_is_rejected_and_configurations_only_move_forward() {
    let handle = Gate::default();
    let config = |revision, percent| AgentConfig {
        revision,
        batch_gate: Some(gate(vec![rule(
            "permissa-sul",
            GateEffect::RejectPercent(percent),
            None,
        )])),
    };
    assert_eq!(handle.configure(config(5, 30)), 5);
    assert!(handle.rejects("permissa-sul", 0.29));
    assert!(!handle.rejects("permissa-sul", 0.30));
    assert!(!handle.rejects("sodam", 0.0));
    assert_eq!(
        handle.configure(config(4, 100)),
        5,
        "an older one is ignored"
    );
    assert!(!handle.rejects("permissa-sul", 0.99));
    assert_eq!(handle.configure(config(6, 0)), 6);
    assert!(!handle.rejects("permissa-sul", 0.0));
}

#[test]
fn the_queue_holds_back_batch_work_the_gate_does_not_admit() {
    let queue = Queue::new(Limits {
        max_running: 4,
        max_batch_running: 4,
        max_waiting_online: 4,
        max_waiting_batch: 4,
    });
    queue.set_admits(Admits {
        closed: true,
        by_workspace: vec![("sodam".to_owned(), false)],
    });
    let held_back = queue.acquire(PriorityClass::Batch, "permissa-sul");
    let mut held_back = Box::pin(held_back);
    assert!(held_back.as_mut().now_or_never().is_none());
    let online = queue.acquire(PriorityClass::Online, "").now_or_never();
    assert!(online.is_some_and(|p| p.is_ok()), "online work passes");
    queue.set_admits(Admits::default());
    let started = held_back.as_mut().now_or_never();
    assert!(
        started.is_some_and(|p| p.is_ok()),
        "it starts once admitted"
    );
}
