//! Starts and stops the processes of an experiment, all on the loopback interface.
//!
//! The programs are those in the folder of the running program. Each process has a settings file
//! and a log under the output folder. Stopping the fleet stops all processes, first gracefully.

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

/// The time within which the store must open its port and the gateways must route to all agents.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// The time within which processes must stop gracefully before they are killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// The role of a process. Resource usage is reported by role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// The store emulator.
    Store,
    /// A gateway.
    Gateway,
    /// An agent.
    Agent,
    /// An engine emulator or service emulator.
    Backend,
}

/// The errors when starting a fleet or one of its processes.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A file or folder could not be created, or a program could not be started.
    #[error("{origin}: {source}")]
    Io {
        /// The failed step and the file or program.
        origin: Origin,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The declarations are invalid or refused, or do not contain a deployment.
    #[error("declarations: {0}")]
    Manifest(String),
    /// A process was not ready within the timeout.
    #[error("{0} was not ready within {READY_TIMEOUT:?}")]
    NotReady(String),
}

fn io_error(step: &'static str, path: &Path) -> impl FnOnce(std::io::Error) -> FleetError {
    let origin = Origin::new(step, path.display().to_string());
    move |source| FleetError::Io { origin, source }
}

/// A process of the fleet.
#[derive(Debug)]
pub struct Process {
    /// The name of the process, e.g. `agent-draftsman-0`.
    pub name: String,
    /// The role of the process.
    pub role: Role,
    /// The address that the process listens on, as `ip:port`.
    pub addr: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process. Does nothing if the process has ended.
    pub fn send_signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.pid() as i32), signal);
    }

    /// Waits until the process has ended and starts it again with the same settings. Returns an
    /// error if it does not start.
    pub fn restart(&mut self) -> Result<(), FleetError> {
        let _ = self.child.wait();
        self.child = spawn_process(&self.program, &self.settings, &self.log)?;
        Ok(())
    }
}

fn spawn_process(program: &Path, settings: &Path, log: &Path) -> Result<Child, FleetError> {
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

/// A running fleet. Dropping it kills every process.
pub struct Fleet {
    /// All processes, in the order in which they were started.
    pub processes: Vec<Process>,
    /// The base URL of the store emulator.
    pub store_url: String,
    /// The base URLs of the gateways.
    pub gateway_urls: Vec<String>,
    /// The base URLs of the service emulators, each with the name of its deployment.
    pub service_urls: Vec<(String, String)>,
    /// The number of agents.
    pub agents: usize,
    folder: PathBuf,
    next_port: u16,
}

impl Fleet {
    /// Starts the processes of `spec`, applies its declarations and waits until every gateway
    /// routes to every agent. The paths of `spec` are relative to `base`; settings and logs are
    /// written under `out`. Returns an error if a process does not start or is not ready in
    /// time, or if the declarations are refused.
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
        for folder_name in ["settings", "logs"] {
            let path = out.join(folder_name);
            std::fs::create_dir_all(&path).map_err(io_error("create folder", &path))?;
        }
        let store_addr = fleet.allocate_addr();
        let store = with_fields(&spec.store, [("listen_addr", json!(store_addr))]);
        fleet.start_process("platform", Role::Store, "foxwheel-platform-emu", store)?;
        wait_for_port(&store_addr, "platform").await?;
        let gateway_addrs: Vec<String> = spec
            .gateway_zones
            .iter()
            .map(|_| fleet.allocate_addr())
            .collect();
        fleet.gateway_urls = gateway_addrs
            .iter()
            .map(|addr| format!("http://{addr}"))
            .collect();
        for (index, zone) in spec.gateway_zones.iter().enumerate() {
            fleet.start_gateway(index, &gateway_addrs[index], zone, &spec.gateway)?;
        }
        for deployment in &spec.deployments {
            fleet.start_deployment(deployment, &manifest)?;
        }
        fleet.apply(&manifest_path).await?;
        fleet.wait_until_routed(&spec.deployments).await?;
        Ok(fleet)
    }

    fn allocate_addr(&mut self) -> String {
        let addr = format!("127.0.0.1:{}", self.next_port);
        self.next_port += 1;
        addr
    }

    fn start_process(
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
        let child = spawn_process(&program, &path, &log)?;
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
        index: usize,
        addr: &str,
        zone: &str,
        extra_settings: &Map<String, Value>,
    ) -> Result<(), FleetError> {
        let name = format!("gateway-{index}");
        let mut peers = self.gateway_urls.clone();
        peers.remove(index);
        let settings = with_fields(
            extra_settings,
            [
                ("listen_addr", json!(addr)),
                ("name", json!(name)),
                ("zone", json!(zone)),
                ("store_url", json!(self.store_url)),
                ("peers", json!(peers)),
            ],
        );
        self.start_process(&name, Role::Gateway, "foxwheel-gateway", settings)
    }

    fn start_deployment(
        &mut self,
        spec: &FleetDeployment,
        manifest: &Manifest,
    ) -> Result<(), FleetError> {
        let declared = manifest
            .deployments
            .iter()
            .find(|deployment| deployment.name == spec.name);
        let declared = declared.ok_or_else(|| {
            FleetError::Manifest(format!("deployment `{}` is not declared", spec.name))
        })?;
        for index in 0..spec.replicas {
            let zone = &declared.zones[index % declared.zones.len()];
            let (backend_addr, agent_addr) = (self.allocate_addr(), self.allocate_addr());
            let control_addr = self.allocate_addr();
            let backend_url = format!("http://{backend_addr}");
            let backend_name = format!("backend-{}-{index}", spec.name);
            let (program, backend_field) = match declared.backend {
                BackendKind::Model => ("foxwheel-engine-emu", ("models", json!(declared.models))),
                BackendKind::Service => ("foxwheel-service-emu", ("service", json!(spec.name))),
            };
            if declared.backend == BackendKind::Service {
                let url = backend_url.clone();
                self.service_urls.push((spec.name.clone(), url));
            }
            let backend = with_fields(
                &spec.backend,
                [("listen_addr", json!(backend_addr)), backend_field],
            );
            self.start_process(&backend_name, Role::Backend, program, backend)?;
            let agent = with_fields(
                &spec.agent,
                [
                    ("listen_addr", json!(agent_addr)),
                    ("control_addr", json!(control_addr)),
                    ("host", json!(format!("{zone}-{}-{index}", spec.name))),
                    ("zone", json!(zone)),
                    ("deployment", json!(spec.name)),
                    ("backend", json!(declared.backend)),
                    ("backend_url", json!(backend_url)),
                    ("store_url", json!(self.store_url)),
                ],
            );
            let name = format!("agent-{}-{index}", spec.name);
            self.start_process(&name, Role::Agent, "foxwheel-agent", agent)?;
            self.agents += 1;
        }
        Ok(())
    }

    /// Applies declarations with `foxwheel-ctl`, as an operator does. Returns an error with its
    /// output if it fails.
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
            while !routes_to_all_replicas(&http, gateway, deployments).await {
                if Instant::now() > deadline {
                    return Err(FleetError::NotReady(gateway.clone()));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Returns the base URLs of the processes with `role`.
    pub fn urls_with_role(&self, role: Role) -> Vec<String> {
        let processes = self.processes.iter().filter(|process| process.role == role);
        processes
            .map(|process| format!("http://{}", process.addr))
            .collect()
    }

    /// Returns the process with this name, if there is one.
    pub fn find_process(&mut self, name: &str) -> Option<&mut Process> {
        self.processes
            .iter_mut()
            .find(|process| process.name == name)
    }

    /// Stops every process gracefully and kills those that have not stopped within the timeout. A
    /// process that hangs on its way to stop is logged.
    pub async fn stop(mut self) {
        for process in &self.processes {
            process.send_signal(Signal::SIGTERM);
        }
        let deadline = Instant::now() + STOP_TIMEOUT;
        for process in &mut self.processes {
            while matches!(process.child.try_wait(), Ok(None)) {
                if Instant::now() > deadline {
                    log::warn!(
                        "{} did not stop within the timeout; killing it",
                        process.name
                    );
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

async fn routes_to_all_replicas(
    http: &awc::Client,
    gateway: &str,
    deployments: &[FleetDeployment],
) -> bool {
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
    deployments.iter().all(|spec| {
        let found = listed
            .iter()
            .find(|entry| entry["deployment"] == *spec.name);
        found.is_some_and(|entry| entry["live_hosts"] == spec.replicas)
    })
}

fn program_path(program: &str) -> Result<PathBuf, FleetError> {
    let own_path = std::env::current_exe().map_err(io_error("find", Path::new(program)))?;
    Ok(own_path.with_file_name(program))
}

fn with_fields<const N: usize>(
    extra_settings: &Map<String, Value>,
    fields: [(&str, Value); N],
) -> Map<String, Value> {
    let mut settings = extra_settings.clone();
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
