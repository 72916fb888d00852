//! A small deployment on loopback addresses: the store, replicas, and the project's own fronts and
//! workers, each as a process of its own. All of them end when the fleet is dropped.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::store::Store;

/// The host of all routes.
pub const HOST: &str = "desk.example";
/// The service of the replicas.
pub const SERVICE: &str = "draftsman";
/// The zones.
const ZONES: [&str; 3] = ["suwon-hall", "yongin-hall", "seongnam-hall"];
const CALLER_PORT: u16 = 8144;
const READINESS_PORT: u16 = 8140;
const PEER_PORT: u16 = 7660;
const METRICS_PORT: u16 = 9464;
/// Interval of the replicas' check-ins, as in `DEPLOY.md`.
const HEARTBEAT: Duration = Duration::from_millis(1200);

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

const SIGKILL: u64 = 9;
/// Number of the option of `prctl` that sets the signal for the end of the parent.
const PR_SET_PDEATHSIG: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Makes the process that `command` starts end with this one, however this one ends.
fn end_with_parent(command: &mut Command) -> &mut Command {
    let set_signal = || {
        // SAFETY: a system call that takes no memory; it runs between fork and exec.
        unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
        Ok(())
    };
    // SAFETY: the closure makes one system call and allocates nothing.
    unsafe { command.pre_exec(set_signal) }
}

/// Writes the record of a run, with the time since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("create the record");
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!(
            "{:8.3} s  {}",
            self.started.elapsed().as_secs_f64(),
            text.as_ref()
        );
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }
}

/// A run at a replica.
#[derive(Debug, Clone)]
pub struct Run {
    pub replica: String,
    pub id: String,
    /// When it ended; `None` while it goes on.
    pub ended_at: Option<Instant>,
}

/// A replica with its process.
pub struct ReplicaProcess {
    pub id: String,
    child: Child,
    port: u16,
    zone: &'static str,
    state: &'static str,
    seq: u64,
}

/// One of the project's processes.
pub struct Machine {
    pub name: String,
    ip: Ipv4Addr,
    child: Child,
}

impl Machine {
    pub fn signal(&self, signal: i32) {
        // SAFETY: sends a signal to a child process that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }
}

/// What a fleet consists of.
pub struct FleetSpec {
    pub fronts: usize,
    pub workers: usize,
    pub replicas: usize,
    pub event_count: u64,
    pub event_interval_ms: u64,
    /// By how much the interval grows with the number in the id of a request.
    pub interval_step_us: u64,
}

pub struct Fleet {
    pub store: Store,
    pub fronts: Vec<Machine>,
    pub workers: Vec<Machine>,
    pub replicas: Arc<Mutex<Vec<ReplicaProcess>>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Record,
    spec: FleetSpec,
    folder: PathBuf,
    born: u128,
}

impl Fleet {
    /// Starts everything and waits until all fronts are ready. `config` is the first configuration.
    pub fn start(spec: FleetSpec, config: &str, record: Record) -> Result<Self, String> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = now.map_err(|e| e.to_string())?.as_millis();
        let folder = std::env::temp_dir().join(format!("review-{}-{born}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let store = Store::default();
        store.put("config", "main", config);
        let mut fleet = Self {
            store,
            fronts: Vec::new(),
            workers: Vec::new(),
            replicas: Arc::default(),
            runs: Arc::default(),
            record,
            spec,
            folder,
            born,
        };
        for number in 0..fleet.spec.replicas {
            fleet.add_replica(&format!("i-{number:02}"), ZONES[number % ZONES.len()])?;
        }
        fleet.send_heartbeats();
        let ips = free_addresses(fleet.spec.fronts + fleet.spec.workers)?;
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:8146\""))
            .collect();
        let seeds = seeds.join(",");
        for (index, ip) in ips.iter().enumerate() {
            let is_front = index < fleet.spec.fronts;
            let number = match is_front {
                true => index,
                false => index - fleet.spec.fronts,
            };
            let zone = ZONES[number % ZONES.len()];
            let class = if is_front { "front" } else { "store" };
            let name = format!("{class}-{zone}-{}", number / ZONES.len() + 1);
            let machine = fleet.start_machine(&name, zone, *ip, is_front, &seeds)?;
            match is_front {
                true => fleet.fronts.push(machine),
                false => fleet.workers.push(machine),
            }
        }
        fleet.wait_until_ready()?;
        // Traffic starts 10 s after the machines do on the users' sites; the workers know each other by then.
        thread::sleep(Duration::from_secs(4));
        fleet.record.note("all fronts are ready; traffic starts");
        Ok(fleet)
    }

    fn start_machine(
        &self,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        is_front: bool,
        seeds: &str,
    ) -> Result<Machine, String> {
        let store = self.store.listen(name);
        let listeners = match is_front {
            true => format!(
                "\"caller_address\":\"{ip}:{CALLER_PORT}\",\"readiness_address\":\"{ip}:{READINESS_PORT}\","
            ),
            false => String::new(),
        };
        let role = if is_front { "front" } else { "worker" };
        let settings = format!(
            "{{\"host\":\"{name}\",\"role\":\"{role}\",\"availability_zone\":\"{zone}\",\"ip\":\"{ip}\",\
             \"peer_ports\":[{PEER_PORT},{}],\"seeds\":[{seeds}],{listeners}\
             \"metrics_port\":{METRICS_PORT},\"store_address\":\"{store}\",\"stop_grace_s\":8,\
             \"results_readable_s\":120,\"store_value_bytes\":1048576}}",
            PEER_PORT + 15
        );
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings).map_err(|e| e.to_string())?;
        let log = File::create(self.folder.join(format!("{name}.log")));
        let log = log.map_err(|e| e.to_string())?;
        let mut command = Command::new(format!("target/release/foxwheel-{role}"));
        let child = end_with_parent(&mut command)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|e| e.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|e| format!("cannot start {role}: {e}"))?;
        Ok(Machine {
            name: name.to_owned(),
            ip,
            child,
        })
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        for front in &self.fronts {
            let addr = SocketAddr::from((front.ip, READINESS_PORT));
            loop {
                let timeout = Duration::from_secs(1);
                let called = http::call(addr, "GET", "/api/readyz", "Host: x\r\n", b"", timeout);
                if called.is_ok_and(|response| response.status == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("{} is not ready", front.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Starts a replica and lists it as ready.
    pub fn add_replica(&self, id: &str, zone: &'static str) -> Result<(), String> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        let mut child = end_with_parent(&mut command)
            .arg("replica")
            .arg(id)
            .arg(self.spec.event_count.to_string())
            .arg(self.spec.event_interval_ms.to_string())
            .arg(self.spec.interval_step_us.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("cannot start a replica: {e}"))?;
        let output = child.stdout.take().ok_or("a replica has no output")?;
        let mut lines = BufReader::new(output).lines();
        let port = lines.next().and_then(Result::ok);
        let port = port.and_then(|line| line.strip_prefix("PORT ")?.parse().ok());
        let port: u16 = port.ok_or("a replica does not listen")?;
        let (runs, record, replica) = (Arc::clone(&self.runs), self.record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.note(format!("replica {replica}: {line}"));
                let words: Vec<&str> = line.split(' ').collect();
                let mut runs = runs.lock().unwrap();
                match words[..] {
                    ["BEGIN", id, _after] => runs.push(Run {
                        replica: replica.clone(),
                        id: id.to_owned(),
                        ended_at: None,
                    }),
                    ["END", id, _how] => {
                        let is_run = |run: &&mut Run| run.replica == replica && run.id == id;
                        let mut found = runs.iter_mut().filter(is_run);
                        if let Some(run) = found.find(|run| run.ended_at.is_none()) {
                            run.ended_at = Some(Instant::now());
                        }
                    }
                    _ => {}
                }
            }
        });
        let replica = ReplicaProcess {
            id: id.to_owned(),
            child,
            port,
            zone,
            state: "ready",
            seq: 1,
        };
        write_entry(&self.store, &replica, self.born);
        self.replicas.lock().unwrap().push(replica);
        Ok(())
    }

    /// Lets the replicas check in from now on.
    fn send_heartbeats(&self) {
        let (replicas, store, born) = (Arc::clone(&self.replicas), self.store.clone(), self.born);
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            for replica in replicas.lock().unwrap().iter_mut() {
                let is_alive = replica
                    .child
                    .try_wait()
                    .is_ok_and(|status| status.is_none());
                if is_alive && !store.is_down() {
                    replica.seq += 1;
                    write_entry(&store, replica, born);
                }
            }
        });
    }

    /// The replica reports that it is draining.
    pub fn drain_replica(&self, id: &str) {
        let mut replicas = self.replicas.lock().unwrap();
        for replica in replicas.iter_mut().filter(|replica| replica.id == id) {
            replica.state = "draining";
            replica.seq += 1;
            write_entry(&self.store, replica, self.born);
        }
    }

    /// Ends the process of a replica with SIGKILL. Its entry stays until its check-ins are missed.
    pub fn kill_replica(&self, id: &str) {
        let mut replicas = self.replicas.lock().unwrap();
        for replica in replicas.iter_mut().filter(|replica| replica.id == id) {
            let _ = replica.child.kill();
            let _ = replica.child.wait();
        }
    }

    pub fn caller_address(&self, front: usize) -> SocketAddr {
        SocketAddr::from((self.fronts[front].ip, CALLER_PORT))
    }

    /// Sends a request to a front as a client does.
    pub fn call(
        &self,
        front: usize,
        method: &str,
        target: &str,
        headers: &str,
        body: &str,
        timeout: Duration,
    ) -> std::io::Result<http::Response> {
        let headers = format!("Host: {HOST}\r\n{headers}");
        let addr = self.caller_address(front);
        http::call(addr, method, target, &headers, body.as_bytes(), timeout)
    }

    /// Returns the ids of the runs so far whose id begins with `prefix`.
    pub fn runs_of(&self, prefix: &str) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        let found = runs.iter().filter(|run| run.id.starts_with(prefix));
        found.cloned().collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in self.fronts.iter_mut().chain(&mut self.workers) {
            machine.signal(SIGCONT);
            let _ = machine.child.kill();
            let _ = machine.child.wait();
        }
        for replica in self.replicas.lock().unwrap().iter_mut() {
            let _ = replica.child.kill();
            let _ = replica.child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

fn write_entry(store: &Store, replica: &ReplicaProcess, born: u128) {
    let ReplicaProcess {
        port,
        zone,
        state,
        seq,
        ..
    } = replica;
    let spec = format!(
        "{{\"service\":\"{SERVICE}\",\"addr\":\"127.0.0.1:{port}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{seq},\
         \"born\":{born}}}"
    );
    store.put("servers", &replica.id, &spec);
}

/// Returns loopback addresses on which the ports of the processes are free.
fn free_addresses(count: usize) -> Result<Vec<Ipv4Addr>, String> {
    let draw = std::process::id();
    for step in 0..200 {
        let second = 16 + ((draw + step) % 200) as u8;
        let third = ((draw / 200 + step) % 250) as u8;
        let ips: Vec<Ipv4Addr> = (1..=count)
            .map(|last| Ipv4Addr::new(127, second, third, last as u8))
            .collect();
        let is_free = |ip: &Ipv4Addr| {
            let ports = [CALLER_PORT, READINESS_PORT, PEER_PORT, METRICS_PORT];
            ports
                .iter()
                .all(|port| TcpListener::bind((*ip, *port)).is_ok())
                && UdpSocket::bind((*ip, PEER_PORT)).is_ok()
        };
        if ips.iter().all(is_free) {
            return Ok(ips);
        }
    }
    Err("no free loopback addresses".to_owned())
}
