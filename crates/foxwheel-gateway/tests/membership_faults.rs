//! Which hosts take work while agents die, drain or are removed, and while the store is down.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use foxwheel_control::server::AgentHandle;
use foxwheel_core::declarations::PriorityClass;
use foxwheel_core::ids::Version;
use foxwheel_core::protocol::{AgentConfig, LoadReport, Member, MemberState, RUN_STATE_HEADER};
use foxwheel_core::telemetry::Counters;
use foxwheel_gateway::config::ConfigHandle;
use foxwheel_gateway::control::{self, PollContext, PollTiming};
use foxwheel_gateway::hosts::HostTable;
use foxwheel_store::api::Faults;
use tokio_util::sync::CancellationToken;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const POLL_TIMEOUT: Duration = Duration::from_millis(200);

/// The control channel of an agent without the rest of it.
#[derive(Default)]
struct FakeAgent {
    draining: AtomicBool,
}

impl AgentHandle for FakeAgent {
    fn configure(&self, config: AgentConfig) -> Version {
        config.revision
    }

    fn load(&self) -> LoadReport {
        LoadReport {
            draining: self.draining.load(Ordering::Relaxed),
            ..LoadReport::default()
        }
    }
}

fn member_record(host: &str, control_addr: String) -> Member {
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

fn start_polling(cancel: &CancellationToken) -> HostTable {
    let table = HostTable::new(3);
    let timing = PollTiming {
        interval: POLL_INTERVAL,
        timeout: POLL_TIMEOUT,
    };
    let counters = Counters::new("test", None).expect("counters");
    let poll_context = PollContext {
        table: table.clone(),
        config: ConfigHandle::default(),
        timing,
        counters,
    };
    actix_web::rt::spawn(control::run_pollers(poll_context, cancel.clone()));
    table
}

async fn wait_for_live(table: &HostTable, expected: usize, case: &str) {
    for _ in 0..500 {
        if table.live_count("draftsman") == expected {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!(
        "case '{case}': {} hosts live, expected {expected}",
        table.live_count("draftsman")
    );
}

/// Fault of one of two agents.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// The agent's process is killed: its connections close and nothing listens at its address.
    Killed,
    /// The agent drains, which only its load reports show and no write to the store.
    Draining,
    /// The agent's record is no longer in the list of members.
    Removed,
}

#[actix_web::test]
async fn a_dead_or_leaving_host_takes_no_new_work_while_the_other_does() {
    let cases = [
        ("killed: polls get no response", Fault::Killed),
        ("drains while the store is down", Fault::Draining),
        ("record removed", Fault::Removed),
    ];
    for (case, fault) in cases {
        let cancel = CancellationToken::new();
        let table = start_polling(&cancel);
        let agents: Vec<Arc<FakeAgent>> = (0..2).map(|_| Arc::default()).collect();
        let kill_tokens: Vec<CancellationToken> = (0..2).map(|_| cancel.child_token()).collect();
        let mut records = Vec::new();
        for (i, (agent, kill)) in agents.iter().zip(&kill_tokens).enumerate() {
            let addr = common::serve_control(agent.clone(), kill.clone()).await;
            records.push((
                member_record(&format!("suwon-hall-{i}"), addr.to_string()),
                1,
            ));
        }
        table.rebuild(records.clone());
        wait_for_live(&table, 2, case).await;
        match fault {
            Fault::Killed => kill_tokens[0].cancel(),
            Fault::Draining => agents[0].draining.store(true, Ordering::Relaxed),
            Fault::Removed => table.rebuild(records[1..].to_vec()),
        }
        wait_for_live(&table, 1, case).await;
        for _ in 0..20 {
            let picked = table
                .pick_host("draftsman", PriorityClass::Online, "suwon-hall", &[])
                .expect("one host is live");
            assert_eq!(picked.member.host, "suwon-hall-1", "case '{case}'");
        }
        cancel.cancel();
    }
}

#[actix_web::test]
async fn a_gateway_that_was_paused_does_not_consider_its_hosts_dead() {
    let cancel = CancellationToken::new();
    let table = start_polling(&cancel);
    let agent: Arc<FakeAgent> = Arc::default();
    let addr = common::serve_control(agent, cancel.clone()).await;
    table.rebuild(vec![(member_record("suwon-hall-0", addr.to_string()), 1)]);
    wait_for_live(&table, 1, "before the pause").await;
    // Lets a poll get its response, then blocks this thread, on which the pollers run too.
    tokio::time::sleep(POLL_INTERVAL * 3).await;
    for _ in 0..3 {
        std::thread::sleep(POLL_INTERVAL * 30);
        assert_eq!(table.live_count("draftsman"), 1, "right after the pause");
        tokio::time::sleep(POLL_INTERVAL).await;
        assert_eq!(table.live_count("draftsman"), 1, "soon after the pause");
    }
    cancel.cancel();
}

#[actix_web::test]
async fn a_gateway_started_while_the_store_is_down_reads_its_state_from_a_peer() {
    let fleet = common::start(1).await;
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fleet.store.set_faults(&outage).await.expect("faults");
    // (case, peers, expected status)
    let cases = [
        ("no peer: not run, retry later", vec![], 503),
        ("a peer", vec![fleet.gateway.clone()], 200),
    ];
    for (case, peers, expected) in cases {
        let settings = foxwheel_gateway::settings::GatewaySettings {
            peers,
            ..common::gateway_settings(fleet.store.base_url(), "gateway-second")
        };
        let second_gateway =
            foxwheel_gateway::server::start(settings, fleet.cancel.clone()).expect("start");
        let ready_url = format!("http://{}/ready", second_gateway.addr);
        let mut is_ready = false;
        for _ in 0..100 {
            let response = fleet.http.get(&ready_url).send().await.expect("ready");
            is_ready = response.status().is_success();
            if is_ready {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        assert_eq!(is_ready, expected == 200, "case '{case}': ready");
        let body = serde_json::json!({"model": "draftsman", "prompt": "a quote", "max_tokens": 3});
        // The list of members can arrive shortly after the configuration.
        let mut last_response = None;
        for _ in 0..100 {
            let url = format!("http://{}/v1/completions", second_gateway.addr);
            let response = fleet.http.post(url).send_json(&body).await.expect("call");
            let is_expected = response.status().as_u16() == expected;
            last_response = Some(response);
            if is_expected {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let response = last_response.expect("a response");
        assert_eq!(response.status().as_u16(), expected, "case '{case}'");
        if expected != 200 {
            let run_state = response.headers().get(RUN_STATE_HEADER);
            assert_eq!(run_state.map(|v| v.as_bytes()), Some(&b"not_run"[..]));
            assert!(
                response.headers().contains_key("retry-after"),
                "case '{case}'"
            );
        }
    }
    fleet.cancel.cancel();
}

#[actix_web::test]
async fn online_calls_are_served_while_the_store_is_down_longer_than_a_lease() {
    let fleet = common::start(1).await;
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fleet.store.set_faults(&outage).await.expect("faults");
    // The leases of test agents last 1 s.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let body = serde_json::json!({"model": "draftsman", "prompt": "a quote", "max_tokens": 3});
    let response = fleet
        .http
        .post(format!("{}/v1/completions", fleet.gateway))
        .send_json(&body)
        .await
        .expect("call");
    assert_eq!(response.status().as_u16(), 200);
    fleet.cancel.cancel();
}
