//! Which hosts take work while agents die, drain or move and while the store is down.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use foxwheel_control::server::{self, AgentHandle};
use foxwheel_core::declarations::PriorityClass;
use foxwheel_core::protocol::{LoadReport, Member, MemberState};
use foxwheel_core::telemetry::Counters;
use foxwheel_gateway::control::{self, PollShape};
use foxwheel_gateway::hosts::HostTable;
use foxwheel_store::api::Faults;
use tokio_util::sync::CancellationToken;

const POLL: Duration = Duration::from_millis(20);
const CONTROL_TIMEOUT: Duration = Duration::from_millis(400);

/// An agent's control channel without the rest of the agent.
#[derive(Default)]
struct FakeAgent {
    draining: AtomicBool,
}

impl AgentHandle for FakeAgent {
    fn load(&self) -> LoadReport {
        LoadReport {
            draining: self.draining.load(Ordering::Relaxed),
            ..LoadReport::default()
        }
    }
}

fn record(host: &str, control_addr: String) -> Member {
    Member {
        host: host.to_owned(),
        deployment: "draftsman".to_owned(),
        agent_addr: "127.0.0.1:9".to_owned(),
        control_addr,
        zone: "suwon-hall".to_owned(),
        state: MemberState::Ready,
        lease_ttl_ms: 60_000,
        renewals: 1,
    }
}

async fn wait_for_live(table: &HostTable, expected: usize, case: &str) {
    for _ in 0..500 {
        if table.live_count("draftsman") == expected {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
    panic!(
        "case '{case}': {} hosts live, expected {expected}",
        table.live_count("draftsman")
    );
}

/// What befalls one of two agents.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// Its process is killed: connections drop, nothing listens any more.
    Killed,
    /// It drains; no store write tells of it.
    Draining,
    /// Its record is gone from the list.
    Removed,
}

#[actix_web::test]
async fn a_dead_or_leaving_host_takes_no_new_work_and_the_other_does() {
    let cases = [
        ("killed: polls go unanswered", Fault::Killed),
        ("drains while the store is down", Fault::Draining),
        ("record removed", Fault::Removed),
    ];
    for (case, fault) in cases {
        let cancel = CancellationToken::new();
        let table = HostTable::new(CONTROL_TIMEOUT);
        let shape = PollShape {
            interval: POLL,
            timeout: CONTROL_TIMEOUT / 2,
        };
        actix_web::rt::spawn(control::run(
            table.clone(),
            shape,
            Counters::new("test", None).expect("counters"),
            cancel.clone(),
        ));
        let agents: Vec<Arc<FakeAgent>> = (0..2).map(|_| Arc::default()).collect();
        let kills: Vec<CancellationToken> = (0..2).map(|_| cancel.child_token()).collect();
        let mut records = Vec::new();
        for (i, (agent, kill)) in agents.iter().zip(&kills).enumerate() {
            let addr = server::serve("127.0.0.1:0", agent.clone(), kill.clone())
                .await
                .expect("control channel");
            records.push((record(&format!("suwon-hall-{i}"), addr.to_string()), 1));
        }
        table.rebuild(records.clone());
        wait_for_live(&table, 2, case).await;
        match fault {
            Fault::Killed => kills[0].cancel(),
            Fault::Draining => agents[0].draining.store(true, Ordering::Relaxed),
            Fault::Removed => table.rebuild(records[1..].to_vec()),
        }
        wait_for_live(&table, 1, case).await;
        for _ in 0..20 {
            let picked = table
                .pick("draftsman", PriorityClass::Online, "suwon-hall", &[])
                .expect("one host is live");
            assert_eq!(picked.member.host, "suwon-hall-1", "case '{case}'");
        }
        cancel.cancel();
    }
}

#[actix_web::test]
async fn online_calls_are_served_while_the_store_is_down_longer_than_a_lease() {
    let fleet = common::start(1).await;
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fleet.store.set_faults(&outage).await.expect("faults");
    // Test agents hold leases of 1 s.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let body = serde_json::json!({"model": "draftsman", "prompt": "a quote", "max_tokens": 3});
    let answer = fleet
        .http
        .post(format!("{}/v1/completions", fleet.gateway))
        .send_json(&body)
        .await
        .expect("call");
    assert_eq!(answer.status().as_u16(), 200);
    fleet.cancel.cancel();
}
