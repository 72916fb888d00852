//! Runs one agent with an emulated platform store and a backend with a given fault.

use std::time::Duration;

use foxwheel_agent::server;
use foxwheel_agent::settings::AgentSettings;
use foxwheel_core::declarations::BackendKind;
use foxwheel_core::keys;
use foxwheel_core::protocol::CLASS_HEADER;
use foxwheel_engine_emu::server::EngineStats;
use foxwheel_engine_emu::settings::EngineSettings;
use foxwheel_platform_emu::settings::PlatformSettings;
use foxwheel_service_emu::scripted::{self, AfterResponse};
use foxwheel_store::client::StoreClient;
use tokio_util::sync::CancellationToken;

/// Fault of the backend, or state of the agent in which it refuses requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendFault {
    /// The backend works and the agent accepts requests.
    None,
    /// No process listens at the address of the backend.
    Unreachable,
    /// The backend reads the request, writes these bytes and closes the connection.
    Writes(&'static str),
    /// The backend writes these bytes to each request and keeps the connection open.
    Repeats(&'static str),
    /// The agent is draining.
    Draining,
    /// All slots are taken and the maximum number of requests is waiting.
    QueueFull,
}

/// A running agent. Dropping it stops the agent, its backend and its store.
pub struct Agent {
    pub url: String,
    pub store: StoreClient,
    pub http: awc::Client,
    pub backend_url: String,
    cancel: CancellationToken,
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

async fn start_backend(fault: BackendFault, cancel: &CancellationToken) -> String {
    match fault {
        BackendFault::Unreachable => {
            let closed_listener = std::net::TcpListener::bind("127.0.0.1:0").expect("port");
            closed_listener.local_addr().expect("address").to_string()
        }
        BackendFault::Writes(response) => {
            let started = scripted::start(response, AfterResponse::Close).await;
            started.expect("backend").addr.to_string()
        }
        BackendFault::Repeats(response) => {
            let started = scripted::start(response, AfterResponse::KeepOpen).await;
            started.expect("backend").addr.to_string()
        }
        BackendFault::None | BackendFault::Draining | BackendFault::QueueFull => {
            let (addr, server) = foxwheel_engine_emu::server::start(
                EngineSettings::for_test("draftsman"),
                cancel.clone(),
            )
            .expect("engine");
            actix_web::rt::spawn(server);
            addr.to_string()
        }
    }
}

impl Agent {
    /// Starts an agent with one slot and room for one waiting request of each class.
    pub async fn start(fault: BackendFault) -> Self {
        let cancel = CancellationToken::new();
        let platform = PlatformSettings::for_test();
        let (store_addr, server) =
            foxwheel_platform_emu::server::start(&platform, cancel.clone()).expect("store");
        actix_web::rt::spawn(server);
        let store_url = format!("http://{store_addr}");
        let backend_addr = start_backend(fault, &cancel).await;
        let settings = AgentSettings {
            max_running: 1,
            max_batch_running: 1,
            max_waiting_online: 1,
            max_waiting_batch: 1,
            ..AgentSettings::for_test(
                "draftsman",
                BackendKind::Model,
                &format!("http://{backend_addr}"),
                &store_url,
            )
        };
        let running = server::start(settings, cancel.clone())
            .await
            .expect("agent");
        let agent = Self {
            url: format!("http://{}", running.addr),
            store: StoreClient::new(store_url),
            http: awc::Client::builder()
                .timeout(Duration::from_secs(30))
                .finish(),
            backend_url: format!("http://{backend_addr}"),
            cancel,
        };
        match fault {
            BackendFault::Draining => {
                let drain_response = agent.http.post(format!("{}/drain", agent.url)).send().await;
                assert!(drain_response.expect("drain").status().is_success());
            }
            BackendFault::QueueFull => agent.fill_queue().await,
            _ => {}
        }
        agent
    }

    /// Fills the slot and the queue with long requests, and waits until the agent reports them.
    async fn fill_queue(&self) {
        let body = serde_json::json!({"model": "draftsman", "prompt": "long", "max_tokens": 1_000_000, "stream": true});
        for class in ["online", "online", "batch"] {
            let pending = self
                .http
                .post(format!("{}/v1/completions", self.url))
                .insert_header((CLASS_HEADER, class))
                .timeout(Duration::from_secs(600))
                .send_json(&body);
            actix_web::rt::spawn(async move {
                // Keeps the request running until the agent stops.
                let Ok(_response) = pending.await else { return };
                std::future::pending::<()>().await;
            });
        }
        for _ in 0..500 {
            let load = self.load().await;
            if load["running_online"] == 1
                && load["waiting_online"] == 1
                && load["waiting_batch"] == 1
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the agent's queue did not become full");
    }

    /// Returns the agent's load report.
    pub async fn load(&self) -> serde_json::Value {
        let url = format!("{}/load", self.url);
        let mut response = self.http.get(url).send().await.expect("load");
        response.json().await.expect("json")
    }

    /// Returns the engine's counters.
    pub async fn engine_stats(&self) -> EngineStats {
        let url = format!("{}/stats", self.backend_url);
        let mut response = self.http.get(url).send().await.expect("stats");
        response.json().await.expect("json")
    }

    /// Waits until the engine has generated `tokens` tokens in total. Panics after 1,000 polls.
    pub async fn wait_until_engine_generated(&self, tokens: u64) {
        for _ in 0..1_000 {
            if self.engine_stats().await.tokens_total >= tokens {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the engine did not generate {tokens} tokens in time");
    }

    /// Waits until the membership record is in `state` and returns it. Panics after 500 polls.
    pub async fn wait_for_member_state(&self, state: &str) -> serde_json::Value {
        let prefix = keys::MEMBERS_PREFIX;
        for _ in 0..500 {
            let listed = self.store.list(prefix).await.expect("members");
            if let Some(found) = listed.objects.iter().find(|o| o.value["state"] == state) {
                return found.value.clone();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the membership record did not become {state} in time");
    }
}
