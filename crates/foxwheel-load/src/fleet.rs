//! Starting and stopping the processes of an experiment, all on loopback.
//!
//! The programs are taken from the folder this one stands in. Each gets a settings file and
//! a log under the output folder; all are stopped, gracefully first, when the fleet is.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use foxwheel_core::declarations::{BackendKind, Manifest};
use foxwheel_core::error::Origin;
use foxwheel_core::settings;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Map, Value};

use crate::experiment::{FleetDeployment, FleetSpec};

/// How long processes have to open their ports and be routed to.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a graceful stop may take before a process is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// What a process does, for figures per role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// The store stand-in.
    Store,
    /// A gateway.
    Gateway,
    /// An agent.
    Agent,
    /// A model engine or service stand-in.
    Backend,
}

/// Why a fleet did not start.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A file or program could not be used.
    #[error("{origin}: {source}")]
    Io {
        /// The step and the file or program.
        origin: Origin,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The declarations are refused, or lack a deployment.
    #[error("declarations: {0}")]
    Manifest(String),
    /// A process did not become ready in time.
    #[error("{0} was not ready within {READY_TIMEOUT:?}")]
    NotReady(String),
}

fn io_error(step: &'static str, peer: &Path) -> impl FnOnce(std::io::Error) -> FleetError {
    let origin = Origin::new(step, peer.display().to_string());
    move |source| FleetError::Io { origin, source }
}

/// One process.
#[derive(Debug)]
pub struct Process {
    /// Its name, e.g. `agent-draftsman-0`.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// The address it listens on.
    pub addr: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal; a process that ended already is left alone.
    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.pid() as i32), signal);
    }

    /// Waits for its end and starts it again with the same settings.
    pub fn restart(&mut self) -> Result<(), FleetError> {
        let _ = self.child.wait();
        self.child = spawn(&self.program, &self.settings, &self.log)?;
        Ok(())
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Result<Child, FleetError> {
    let log_file = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .map_err(io_error("open log", log))?;
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log_file)
        .spawn()
        .map_err(io_error("start", program))
}

/// A running fleet; dropping it stops every process.
pub struct Fleet {
    /// Every process, in the order started.
    pub processes: Vec<Process>,
    /// The store stand-in's base URL.
    pub store_url: String,
    /// The gateways' base URLs.
    pub gateway_urls: Vec<String>,
    /// The service stand-ins' base URLs, by deployment.
    pub service_urls: Vec<(String, String)>,
    /// Agents started.
    pub agents: usize,
    folder: PathBuf,
    next_port: u16,
}

impl Fleet {
    /// Starts the processes of `spec`, applies its declarations and waits until every
    /// gateway routes to every agent. `base` is the folder the spec's paths are relative
    /// to; settings and logs go under `out`.
    pub async fn start(spec: &FleetSpec, base: &Path, out: &Path) -> Result<Self, FleetError> {
        let manifest_path = base.join(&spec.manifest);
        let manifest: Manifest =
            settings::load(&manifest_path).map_err(|e| FleetError::Manifest(e.to_string()))?;
        let mut fleet = Self {
            processes: Vec::new(),
            store_url: format!("http://127.0.0.1:{}", spec.base_port),
            gateway_urls: Vec::new(),
            service_urls: Vec::new(),
            agents: 0,
            folder: out.to_owned(),
            next_port: spec.base_port,
        };
        for sub in ["settings", "logs"] {
            let path = out.join(sub);
            std::fs::create_dir_all(&path).map_err(io_error("create folder", &path))?;
        }
        let store_addr = fleet.take_addr();
        let store = with(&spec.store, [("listen_addr", json!(store_addr))]);
        fleet.launch("platform", Role::Store, "foxwheel-platform-emu", store)?;
        wait_for_port(&store_addr, "platform").await?;
        let gateway_addrs: Vec<String> = spec
            .gateway_zones
            .iter()
            .map(|_| fleet.take_addr())
            .collect();
        fleet.gateway_urls = gateway_addrs
            .iter()
            .map(|a| format!("http://{a}"))
            .collect();
        for (i, zone) in spec.gateway_zones.iter().enumerate() {
            fleet.start_gateway(i, &gateway_addrs[i], zone, &spec.gateway)?;
        }
        for deployment in &spec.deployments {
            fleet.start_deployment(deployment, &manifest)?;
        }
        fleet.apply(&manifest_path).await?;
        fleet.wait_until_routed(&spec.deployments).await?;
        Ok(fleet)
    }

    fn take_addr(&mut self) -> String {
        let addr = format!("127.0.0.1:{}", self.next_port);
        self.next_port += 1;
        addr
    }

    fn launch(
        &mut self,
        name: &str,
        role: Role,
        program: &str,
        settings: Map<String, Value>,
    ) -> Result<(), FleetError> {
        let path = self.folder.join("settings").join(format!("{name}.json"));
        let text = serde_json::to_string_pretty(&settings).expect("settings encode");
        std::fs::write(&path, text).map_err(io_error("write settings", &path))?;
        let log = self.folder.join("logs").join(format!("{name}.log"));
        let program = program_path(program)?;
        let child = spawn(&program, &path, &log)?;
        let addr = settings.get("listen_addr").and_then(Value::as_str);
        self.processes.push(Process {
            name: name.to_owned(),
            role,
            addr: addr.unwrap_or_default().to_owned(),
            program,
            settings: path,
            log,
            child,
        });
        Ok(())
    }

    fn start_gateway(
        &mut self,
        i: usize,
        addr: &str,
        zone: &str,
        further: &Map<String, Value>,
    ) -> Result<(), FleetError> {
        let name = format!("gateway-{i}");
        let mut peers = self.gateway_urls.clone();
        peers.remove(i);
        let settings = with(
            further,
            [
                ("listen_addr", json!(addr)),
                ("name", json!(name)),
                ("zone", json!(zone)),
                ("store_url", json!(self.store_url)),
                ("peers", json!(peers)),
            ],
        );
        self.launch(&name, Role::Gateway, "foxwheel-gateway", settings)
    }

    fn start_deployment(
        &mut self,
        spec: &FleetDeployment,
        manifest: &Manifest,
    ) -> Result<(), FleetError> {
        let declared = manifest.deployments.iter().find(|d| d.name == spec.name);
        let declared = declared.ok_or_else(|| {
            FleetError::Manifest(format!("deployment `{}` is not declared", spec.name))
        })?;
        for i in 0..spec.replicas {
            let zone = &declared.zones[i % declared.zones.len()];
            let (backend_addr, agent_addr) = (self.take_addr(), self.take_addr());
            let control_addr = self.take_addr();
            let backend_url = format!("http://{backend_addr}");
            let backend_name = format!("backend-{}-{i}", spec.name);
            let (program, what) = match declared.backend {
                BackendKind::Model => ("foxwheel-engine-emu", ("models", json!(declared.models))),
                BackendKind::Service => ("foxwheel-service-emu", ("service", json!(spec.name))),
            };
            if declared.backend == BackendKind::Service {
                let url = backend_url.clone();
                self.service_urls.push((spec.name.clone(), url));
            }
            let backend = with(&spec.backend, [("listen_addr", json!(backend_addr)), what]);
            self.launch(&backend_name, Role::Backend, program, backend)?;
            let agent = with(
                &spec.agent,
                [
                    ("listen_addr", json!(agent_addr)),
                    ("control_addr", json!(control_addr)),
                    ("host", json!(format!("{zone}-{}-{i}", spec.name))),
                    ("zone", json!(zone)),
                    ("deployment", json!(spec.name)),
                    ("backend", json!(declared.backend)),
                    ("backend_url", json!(backend_url)),
                    ("store_url", json!(self.store_url)),
                ],
            );
            let name = format!("agent-{}-{i}", spec.name);
            self.launch(&name, Role::Agent, "foxwheel-agent", agent)?;
            self.agents += 1;
        }
        Ok(())
    }

    /// Applies declarations with `foxwheel-ctl`, as an operator does.
    pub async fn apply(&self, manifest: &Path) -> Result<(), FleetError> {
        let program = program_path("foxwheel-ctl")?;
        let output = tokio::process::Command::new(&program)
            .args(["--store", &self.store_url, "apply", "-f"])
            .arg(manifest)
            .output()
            .await
            .map_err(io_error("start", &program))?;
        if output.status.success() {
            return Ok(());
        }
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        Err(FleetError::Manifest(message))
    }

    async fn wait_until_routed(&self, deployments: &[FleetDeployment]) -> Result<(), FleetError> {
        let http = awc::Client::default();
        let deadline = Instant::now() + READY_TIMEOUT;
        for gateway in &self.gateway_urls {
            while !routes_to_all(&http, gateway, deployments).await {
                if Instant::now() > deadline {
                    return Err(FleetError::NotReady(gateway.clone()));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// The base URLs of the processes of `role`.
    pub fn urls_of(&self, role: Role) -> Vec<String> {
        let processes = self.processes.iter().filter(|p| p.role == role);
        processes.map(|p| format!("http://{}", p.addr)).collect()
    }

    /// The process called `name`.
    pub fn process(&mut self, name: &str) -> Option<&mut Process> {
        self.processes.iter_mut().find(|p| p.name == name)
    }

    /// Stops every process: the gateways and agents gracefully, so that a stop that hangs
    /// shows, then the rest.
    pub async fn stop(mut self) {
        for process in &self.processes {
            process.signal(Signal::SIGTERM);
        }
        let deadline = Instant::now() + STOP_TIMEOUT;
        for process in &mut self.processes {
            while matches!(process.child.try_wait(), Ok(None)) {
                if Instant::now() > deadline {
                    log::warn!("{} did not stop in time: killed", process.name);
                    break;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}

async fn routes_to_all(http: &awc::Client, gateway: &str, expected: &[FleetDeployment]) -> bool {
    let Ok(mut response) = http.get(format!("{gateway}/status")).send().await else {
        return false;
    };
    let Ok(status) = response.json::<Value>().await else {
        return false;
    };
    let listed = status["deployments"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    expected.iter().all(|spec| {
        let found = listed.iter().find(|d| d["deployment"] == *spec.name);
        found.is_some_and(|d| d["live_hosts"] == spec.replicas)
    })
}

fn program_path(program: &str) -> Result<PathBuf, FleetError> {
    let own = std::env::current_exe().map_err(io_error("find", Path::new(program)))?;
    Ok(own.with_file_name(program))
}

fn with<const N: usize>(
    further: &Map<String, Value>,
    fields: [(&str, Value); N],
) -> Map<String, Value> {
    let mut settings = further.clone();
    for (name, value) in fields {
        settings.insert(name.to_owned(), value);
    }
    settings
}

async fn wait_for_port(addr: &str, name: &str) -> Result<(), FleetError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while tokio::net::TcpStream::connect(addr).await.is_err() {
        if Instant::now() > deadline {
            return Err(FleetError::NotReady(name.to_owned()));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}
