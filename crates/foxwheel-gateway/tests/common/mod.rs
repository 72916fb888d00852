//! A small fleet in one process for the gateway's tests: the emulated platform store, engines, a
//! service, their agents and one gateway, all on ephemeral loopback ports.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxwheel_agent::settings::AgentSettings;
use foxwheel_callers::connections::CallerConnections;
use foxwheel_control::server::{self, AgentHandle};
use foxwheel_core::declarations::{BackendKind, Manifest};
use foxwheel_core::ids::Version;
use foxwheel_core::keys;
use foxwheel_core::protocol::{AgentConfig, LoadReport, Member, MemberState};
use foxwheel_engine_emu::settings::EngineSettings;
use foxwheel_gateway::settings::GatewaySettings;
use foxwheel_service_emu::scripted::{self, AfterResponse, ScriptedServer};
use foxwheel_store::client::{StoreClient, StoreError};
use tokio_util::sync::CancellationToken;

/// Addresses and handles of the fleet's processes.
pub struct Fleet {
    pub gateway: String,
    pub store: StoreClient,
    pub service: String,
    pub engines: Vec<String>,
    pub agents: Vec<String>,
    /// Tokens that stop one agent gracefully, in the order of `agents`.
    pub agent_cancels: Vec<CancellationToken>,
    /// Token that stops the gateway gracefully.
    pub gateway_cancel: CancellationToken,
    pub cancel: CancellationToken,
    pub http: awc::Client,
}

pub const MANIFEST: &str = r#"{
  "deployments": [
    {"name": "draftsman", "backend": "model", "models": ["draftsman"], "zones": ["suwon-hall"], "replicas": 2},
    {"name": "llm-residente", "backend": "model", "models": ["llm-residente"], "zones": ["hall-centro"], "replicas": 0},
    {"name": "yardbook", "backend": "service", "zones": ["suwon-hall"], "replicas": 1, "non_idempotent_paths": ["/orders"]}
  ],
  "rules": [
    {"name": "sodam-batch", "when": {"workload": "batch", "model": "draftsman"}, "then": {"action": "route", "deployment": "draftsman", "class": "batch"}},
    {"name": "sodam-online", "when": {"model": "draftsman"}, "then": {"action": "route", "deployment": "draftsman", "class": "online"}},
    {"name": "residents-online", "when": {"model": "llm-residente"}, "then": {"action": "route", "deployment": "llm-residente", "class": "online"}},
    {"name": "yardbook-calls", "when": {"service": "yardbook"}, "then": {"action": "route", "deployment": "yardbook", "class": "online"}},
    {"name": "nothing-else", "then": {"action": "reject", "status": 404, "message": "no such model or service"}}
  ]
}"#;

/// Writes the objects of the manifest to the store, as `foxwheel-ctl apply` does.
pub async fn apply_manifest(store: &StoreClient, manifest: &Manifest) {
    for deployment in &manifest.deployments {
        write_declaration(store, &keys::deployment(&deployment.name), deployment).await;
    }
    let rules = foxwheel_core::declarations::RuleSet {
        rules: manifest.rules.clone(),
    };
    write_declaration(store, keys::RULES_KEY, &rules).await;
}

/// Writes a declaration. Retries while the store does not respond, because on a busy machine the test
/// process can stall for longer than the timeout of the store's client.
async fn write_declaration<T: serde::Serialize>(store: &StoreClient, key: &str, value: &T) {
    const RETRY_TIMEOUT: Duration = Duration::from_secs(20);
    let started = std::time::Instant::now();
    while let Err(e) = store.put(key, value, None).await {
        let should_retry =
            matches!(e, StoreError::Unavailable { .. }) && started.elapsed() < RETRY_TIMEOUT;
        assert!(should_retry, "{key}: {e}");
    }
}

/// Returns gateway settings for tests, with short intervals and timeouts.
pub fn gateway_settings(store_url: &str, name: &str) -> GatewaySettings {
    GatewaySettings {
        listen_addr: "127.0.0.1:0".to_owned(),
        name: name.to_owned(),
        zone: "suwon-hall".to_owned(),
        store_url: store_url.to_owned(),
        peers: Vec::new(),
        online_max_in_flight: 64,
        max_attempts: 3,
        stream_stall_ms: 1_000,
        control_poll_ms: 100,
        control_poll_timeout_ms: 300,
        control_missed_polls: 3,
        retry_after_s: 1,
        batch_chunks_in_flight: 4,
        batch_items_in_flight: 4,
        chunk_lease_ms: 2_000,
        dispatch_poll_ms: 50,
        commit_interval_ms: 100,
        statsd_addr: None,
        memory_limit_mb: 512.0,
        open_files_limit: None,
    }
}

/// Adds a host to `deployment` that closes the connection of every request without a response.
pub async fn add_no_response_host(
    store: &StoreClient,
    deployment: &str,
    host: &str,
) -> ScriptedServer {
    add_scripted_host(store, deployment, host, "").await
}

/// Adds a host to `deployment` that writes `response` to every request and then closes the
/// connection.
pub async fn add_scripted_host(
    store: &StoreClient,
    deployment: &str,
    host: &str,
    response: &'static str,
) -> ScriptedServer {
    let started = scripted::start(response, AfterResponse::Close).await;
    let server = started.expect("server starts");
    add_member(store, deployment, host, server.addr).await;
    server
}

/// Registers the server at `agent_addr` as a host of `deployment` that reports no load.
pub async fn add_member(store: &StoreClient, deployment: &str, host: &str, agent_addr: SocketAddr) {
    let control_addr = serve_control(Arc::new(IdleAgent), CancellationToken::new()).await;
    let record = Member {
        host: host.to_owned(),
        deployment: deployment.to_owned(),
        agent_addr: agent_addr.to_string(),
        control_addr: control_addr.to_string(),
        zone: "suwon-hall".to_owned(),
        state: MemberState::Ready,
        lease_ttl_ms: 600_000,
        renewals: 1,
    };
    store
        .put(&keys::member(deployment, host), &record, None)
        .await
        .expect("member written");
}

/// Serves the control channel of an agent on a free port until `cancel` is cancelled.
pub async fn serve_control(agent: Arc<dyn AgentHandle>, cancel: CancellationToken) -> SocketAddr {
    let host = gateway_settings("", "").host_limits();
    let connections = CallerConnections::new(host.for_peers(), |_| {});
    let served = server::serve("127.0.0.1:0", agent, connections, cancel).await;
    served.expect("control channel")
}

/// An agent that always reports no load.
pub struct IdleAgent;

impl AgentHandle for IdleAgent {
    fn configure(&self, config: AgentConfig) -> Version {
        config.revision
    }

    fn load(&self) -> LoadReport {
        LoadReport::default()
    }
}

/// Starts the fleet with `engine_count` engines of draftsman and waits until the gateway routes to
/// them.
pub async fn start(engine_count: usize) -> Fleet {
    let cancel = CancellationToken::new();
    let platform = foxwheel_platform_emu::settings::PlatformSettings::for_test();
    let (store_addr, server) =
        foxwheel_platform_emu::server::start(&platform, cancel.clone()).expect("store");
    actix_web::rt::spawn(server);
    let store_url = format!("http://{store_addr}");
    let store = StoreClient::new(&store_url);
    let manifest: Manifest =
        foxwheel_core::settings::parse("test manifest", MANIFEST).expect("manifest");
    apply_manifest(&store, &manifest).await;
    let mut engine_urls = Vec::new();
    let mut agents = Vec::new();
    let agent_cancels: Vec<CancellationToken> =
        (0..=engine_count).map(|_| cancel.child_token()).collect();
    for (i, agent_cancel) in agent_cancels.iter().take(engine_count).enumerate() {
        let (addr, server) = foxwheel_engine_emu::server::start(
            EngineSettings::for_test("draftsman"),
            cancel.clone(),
        )
        .expect("engine");
        actix_web::rt::spawn(server);
        let engine_url = format!("http://{addr}");
        let agent = foxwheel_agent::server::start(
            AgentSettings {
                host: format!("suwon-hall-draftsman-{i}"),
                ..AgentSettings::for_test("draftsman", BackendKind::Model, &engine_url, &store_url)
            },
            agent_cancel.clone(),
        )
        .await
        .expect("agent");
        engine_urls.push(engine_url);
        agents.push(format!("http://{}", agent.addr));
    }
    let service_settings = foxwheel_service_emu::ServiceSettings {
        listen_addr: "127.0.0.1:0".to_owned(),
        service: "yardbook".to_owned(),
        delay_ms: 1,
    };
    let (service_addr, server) =
        foxwheel_service_emu::start(&service_settings, cancel.clone()).expect("service");
    actix_web::rt::spawn(server);
    let service = format!("http://{service_addr}");
    let agent = foxwheel_agent::server::start(
        AgentSettings::for_test("yardbook", BackendKind::Service, &service, &store_url),
        agent_cancels[engine_count].clone(),
    )
    .await
    .expect("service agent");
    agents.push(format!("http://{}", agent.addr));
    let gateway_cancel = cancel.child_token();
    let gateway = foxwheel_gateway::server::start(
        gateway_settings(&store_url, "gateway-test"),
        gateway_cancel.clone(),
    )
    .expect("gateway");
    let fleet = Fleet {
        gateway: format!("http://{}", gateway.addr),
        store,
        service,
        engines: engine_urls,
        agents,
        agent_cancels,
        gateway_cancel,
        cancel,
        http: awc::Client::builder()
            .timeout(Duration::from_secs(30))
            .finish(),
    };
    fleet.wait_until_routing(engine_count).await;
    fleet
}

/// Starts an engine and its agent as another host of `deployment`.
pub async fn add_model_host(store: &StoreClient, deployment: &str, host: &str) {
    let cancel = CancellationToken::new();
    let settings = EngineSettings::for_test(deployment);
    let (addr, server) =
        foxwheel_engine_emu::server::start(settings, cancel.clone()).expect("engine");
    actix_web::rt::spawn(server);
    let settings = AgentSettings {
        host: host.to_owned(),
        ..AgentSettings::for_test(
            deployment,
            BackendKind::Model,
            &format!("http://{addr}"),
            store.base_url(),
        )
    };
    foxwheel_agent::server::start(settings, cancel)
        .await
        .expect("agent");
}

/// Number of tokens of each item's response in a [`batch_request`].
pub const ITEM_TOKENS: usize = 3;

/// Returns a batch request with `count` items of draftsman, each with a prompt of its own.
pub fn batch_request(client_key: &str, count: usize) -> serde_json::Value {
    batch_request_with_tokens(client_key, count, ITEM_TOKENS)
}

/// Returns a [`batch_request`] whose responses have `tokens` tokens.
pub fn batch_request_with_tokens(
    client_key: &str,
    count: usize,
    tokens: usize,
) -> serde_json::Value {
    let items: Vec<serde_json::Value> = (0..count)
        .map(|i| serde_json::json!({"custom_id": format!("letter-{i}"), "body": {"model": "draftsman", "prompt": format!("renewal letter {i}"), "max_tokens": tokens}}))
        .collect();
    serde_json::json!({"client_key": client_key, "model": "draftsman", "completion_window_s": 600, "items": items})
}

impl Fleet {
    /// Creates a batch job and returns its id.
    pub async fn create_batch(&self, request: &serde_json::Value) -> String {
        let url = format!("{}/v1/batches", self.gateway);
        let mut response = self
            .http
            .post(url)
            .send_json(request)
            .await
            .expect("create");
        let created: serde_json::Value = response.json().await.expect("json");
        created["job"]["id"].as_str().expect("id").to_owned()
    }

    /// Returns a job's status.
    pub async fn batch_status(&self, id: &str) -> serde_json::Value {
        let url = format!("{}/v1/batches/{id}", self.gateway);
        let mut response = self.http.get(url).send().await.expect("status");
        response.json().await.expect("status decodes")
    }

    /// Waits until the job is completed and returns its status. Panics if this takes too long.
    pub async fn wait_until_completed(&self, id: &str) -> serde_json::Value {
        self.wait_for_job(id, |job| job["state"] == "completed")
            .await
    }

    /// Waits until the job's counts are final and returns its status. Panics if this takes too long.
    pub async fn wait_until_ended(&self, id: &str) -> serde_json::Value {
        let has_ended = |job: &serde_json::Value| !job["final_counts"].is_null();
        self.wait_for_job(id, has_ended).await
    }

    async fn wait_for_job(
        &self,
        id: &str,
        condition: impl Fn(&serde_json::Value) -> bool,
    ) -> serde_json::Value {
        for _ in 0..1_200 {
            let status = self.batch_status(id).await;
            if condition(&status["job"]) {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        panic!(
            "job did not reach the expected state: {}",
            self.batch_status(id).await
        );
    }

    /// Asserts that each of the `count` items of a [`batch_request`] has exactly one result, with the
    /// response to its own prompt.
    pub async fn assert_own_responses(&self, id: &str, count: usize) {
        self.assert_own_responses_with_tokens(id, count, ITEM_TOKENS)
            .await;
    }

    /// Does the same as [`Self::assert_own_responses`] for a [`batch_request_with_tokens`].
    pub async fn assert_own_responses_with_tokens(&self, id: &str, count: usize, tokens: usize) {
        let url = format!("{}/v1/batches/{id}/results", self.gateway);
        let mut response = self.http.get(url).send().await.expect("results");
        let body = response.body().await.expect("results body");
        let body = String::from_utf8_lossy(&body);
        let lines: Vec<serde_json::Value> = body
            .lines()
            .map(|line| serde_json::from_str(line).expect("line"))
            .collect();
        assert_eq!(lines.len(), count);
        for (i, line) in lines.iter().enumerate() {
            assert_eq!(line["custom_id"], format!("letter-{i}"));
            let content = foxwheel_engine_emu::openai::extract_text(&line["response"]);
            let expected =
                foxwheel_engine_emu::text::response_text(&format!("renewal letter {i}"), tokens);
            assert_eq!(content, Some(expected.as_str()), "{line}");
        }
    }

    /// Waits until the gateway counts `expected` live hosts of `deployment`. Panics if this takes too
    /// long.
    pub async fn wait_for_live(&self, deployment: &str, expected: u64) {
        for _ in 0..400 {
            let url = format!("{}/status", self.gateway);
            let mut response = self.http.get(url).send().await.expect("status");
            let status: serde_json::Value = response.json().await.expect("status decodes");
            let found = status["deployments"]
                .as_array()
                .and_then(|ds| ds.iter().find(|d| d["deployment"] == deployment));
            if found.is_some_and(|d| d["live_hosts"] == expected) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        panic!("the gateway did not reach {expected} live hosts of {deployment}");
    }

    /// Waits until the gateway has a configuration and counts every host as live. Panics if this takes
    /// too long.
    pub async fn wait_until_routing(&self, engine_count: usize) {
        for _ in 0..200 {
            if let Ok(mut response) = self
                .http
                .get(format!("{}/status", self.gateway))
                .send()
                .await
            {
                if let Ok(status) = response.json::<serde_json::Value>().await {
                    let live = |name: &str| {
                        status["deployments"]
                            .as_array()
                            .and_then(|ds| ds.iter().find(|d| d["deployment"] == name))
                            .and_then(|d| d["live_hosts"].as_u64())
                            .unwrap_or(0)
                    };
                    if live("draftsman") as usize == engine_count && live("yardbook") == 1 {
                        return;
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        panic!("the gateway did not route to all hosts");
    }

    /// Returns how often the emulated yardbook service ran the call with this idempotency key.
    pub async fn execution_count(&self, key: &str) -> u64 {
        let mut response = self
            .http
            .get(format!("{}/_emu/executions", self.service))
            .send()
            .await
            .expect("executions");
        let list: Vec<serde_json::Value> = response.json().await.expect("executions decode");
        list.iter()
            .filter(|e| e["idempotency_key"] == key)
            .map(|e| e["count"].as_u64().unwrap_or(0))
            .sum()
    }
}
