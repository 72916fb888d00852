//! Starts the store's stand-in, real fronts and real workers as processes of their own on loopback
//! addresses, and writes to the store as the operator and the backend servers do.

use std::fs::File;
use std::io::{Error, ErrorKind, Result, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// Time limit for the start of all processes.
const START_TIMEOUT: Duration = Duration::from_secs(25);

/// Time limit for a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// What a case is given.
pub struct Setup {
    /// Folder of the built programs.
    pub programs: PathBuf,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
    /// The record of the run.
    pub record: Record,
}

/// Running processes. Dropping it kills them.
pub struct Fleet {
    /// Address of the store.
    pub store: SocketAddr,
    /// Addresses for clients, one for each front.
    pub fronts: Vec<SocketAddr>,
    children: Vec<Child>,
}

impl Fleet {
    /// Starts a store, `fronts` fronts and `workers` workers in one zone.
    pub fn start(setup: &Setup, fronts: u8, workers: u8) -> Result<Self> {
        let network = free_network()?;
        let host = |number: u8| Ipv4Addr::new(127, 83, network, number);
        let peer_port = free_port(host(1))?;
        let store = SocketAddr::from((host(250), free_port(host(250))?));
        let mut fleet = Self {
            store,
            fronts: Vec::new(),
            children: Vec::new(),
        };
        let settings = format!("{{\"listen_addr\":\"{store}\"}}");
        fleet.spawn(setup, "foxwheel-platform-emu", "store", &settings)?;
        wait_for("the store", || {
            http::call(store, "GET", "/stats", &[], b"", STORE_TIMEOUT).is_ok()
        })?;
        fleet.create("config", "main", &crate::cases::first_config())?;
        for number in 1..=fronts + workers {
            let ip = host(number);
            let is_front = number <= fronts;
            let (role, program) = match is_front {
                true => ("front", "foxwheel-front"),
                false => ("worker", "foxwheel-worker"),
            };
            let name = format!("{role}-{number}");
            let mut addresses = String::new();
            if is_front {
                let caller = SocketAddr::from((ip, free_port(ip)?));
                let ready = SocketAddr::from((ip, free_port(ip)?));
                addresses =
                    format!("\"caller_address\":\"{caller}\",\"readiness_address\":\"{ready}\",");
                fleet.fronts.push(caller);
            }
            let seed = SocketAddr::from((host(1), peer_port));
            let settings = format!(
                "{{\"host\":\"{name}\",\"role\":\"{role}\",\"availability_zone\":\"hall-centro\",\"ip\":\"{ip}\",\
                 \"peer_ports\":[{peer_port},{peer_port}],\"seeds\":[\"{seed}\"],{addresses}\
                 \"store_address\":\"{store}\",\"stop_grace_s\":8,\"results_readable_s\":120,\
                 \"memory_limit_mb\":130,\"store_value_bytes\":1048576}}"
            );
            fleet.spawn(setup, program, &name, &settings)?;
        }
        Ok(fleet)
    }

    /// Waits until a request on `target` is served through each front.
    pub fn wait_until_served(&self, host: &str, target: &str) -> Result<()> {
        for front in &self.fronts {
            let mut number = 0;
            wait_for("the fronts", || {
                number += 1;
                let id = format!("start-{number}-{}", front.port());
                let headers = [
                    ("Host", host),
                    ("X-Request-Id", id.as_str()),
                    ("X-Deadline-Ms", "1000"),
                ];
                let called = http::call(*front, "POST", target, &headers, b"start", STORE_TIMEOUT);
                called.is_ok_and(|response| response.status() == 200)
            })?;
        }
        Ok(())
    }

    /// Creates an object of the store.
    pub fn create(&self, kind: &str, name: &str, spec: &str) -> Result<()> {
        let body = format!("{{\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{spec}}}");
        self.write("POST", &format!("/api/objects/{kind}"), &body)
    }

    /// Replaces an object of the store.
    pub fn replace(&self, kind: &str, name: &str, spec: &str) -> Result<()> {
        let body = format!("{{\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{spec}}}");
        self.write("PUT", &format!("/api/objects/{kind}/{name}"), &body)
    }

    fn write(&self, method: &str, target: &str, body: &str) -> Result<()> {
        let headers = [("Content-Type", "application/json")];
        let response = http::call(
            self.store,
            method,
            target,
            &headers,
            body.as_bytes(),
            STORE_TIMEOUT,
        )?;
        match response.status() {
            200 | 201 => Ok(()),
            status => Err(Error::other(format!(
                "the store answered {status} to {method} {target}"
            ))),
        }
    }

    fn spawn(&mut self, setup: &Setup, program: &str, name: &str, settings: &str) -> Result<()> {
        let file = setup.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings)?;
        let log = File::create(setup.folder.join(format!("{name}.log")))?;
        let child = Command::new(setup.programs.join(program))
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        note_pid(&setup.folder, child.id())?;
        self.children.push(child);
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Lists the processes that were started, for a script that has to end them.
fn note_pid(folder: &Path, pid: u32) -> Result<()> {
    let mut file = File::options()
        .create(true)
        .append(true)
        .open(folder.join("pids"))?;
    writeln!(file, "{pid}")
}

/// Repeats `attempt` until it succeeds.
fn wait_for(what: &str, mut attempt: impl FnMut() -> bool) -> Result<()> {
    let deadline = Instant::now() + START_TIMEOUT;
    while Instant::now() < deadline {
        if attempt() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Err(Error::new(
        ErrorKind::TimedOut,
        format!("{what} did not start"),
    ))
}

/// Returns the number of a loopback network whose addresses nobody uses.
fn free_network() -> Result<u8> {
    let first = std::process::id();
    for at in 0..200 {
        let network = 20 + ((first + at) % 200) as u8;
        if TcpListener::bind((Ipv4Addr::new(127, 83, network, 251), 27_658)).is_ok() {
            return Ok(network);
        }
    }
    Err(Error::other("no free loopback network"))
}

/// Returns a free port of `ip`.
fn free_port(ip: Ipv4Addr) -> Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}
