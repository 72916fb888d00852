//! A replay of requests at processes and servers, in steps of simulated time. Some prompts have a part
//! that crashes their server.

use std::time::{Duration, Instant};

use foxwheel_policy::part_quarantine::{PartPermission, PartQuarantine};
use foxwheel_policy::quarantine::{ObservedCrash, RunKind};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const SERVICE: &str = "model";

/// Part that crashes servers.
pub const CRASHING_PART: &str = "crashing";

/// Part that nearly all prompts begin with.
pub const SHARED_PART: &str = "shared";

const STEP: Duration = Duration::from_millis(10);

/// Time from sending a request with the part until its server crashes.
const CRASH_DELAY: Duration = Duration::from_millis(110);

/// Time from sending a sound request until its response is complete.
const RUN_TIME: Duration = Duration::from_millis(600);

/// Time between two exchanges of reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Time after which a crashed server is replaced.
const RESTART_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of runs of one request.
const MAX_RUNS: u32 = 2;

/// The load and size of a storm.
pub struct StormPlan {
    pub processes: usize,
    pub servers: usize,
    pub sound_per_s: f64,
    pub crashing_per_s: f64,
    /// Crashes of servers without a request at fault.
    pub other_crashes_per_s: f64,
}

impl Default for StormPlan {
    fn default() -> Self {
        Self {
            processes: 8,
            servers: 18,
            sound_per_s: 80.0,
            crashing_per_s: 17.0,
            other_crashes_per_s: 0.0,
        }
    }
}

struct Run {
    request: u64,
    runs: u32,
    process: usize,
    server: usize,
    parts: Vec<String>,
    sent_at: Instant,
}

impl Run {
    fn is_crashing(&self) -> bool {
        self.parts.iter().any(|part| part == CRASHING_PART)
    }
}

struct ServerSlot {
    /// Identifies the instance.
    instance: u64,
    /// `None` while the server runs.
    back_at: Option<Instant>,
}

/// The state of a replay.
pub struct Storm {
    plan: StormPlan,
    rng: StdRng,
    now: Instant,
    started_at: Instant,
    next_report_at: Instant,
    pub processes: Vec<PartQuarantine>,
    servers: Vec<ServerSlot>,
    runs: Vec<Run>,
    request_count: u64,
    instance_count: u64,
    /// Times at which a server crashed under a request with the part.
    crash_times: Vec<Instant>,
    /// Times at which a request with the part was sent to a server.
    crashing_sent: Vec<Instant>,
    /// Sound requests: when they came, and whether they were permitted to run at once.
    sound: Vec<(Instant, bool)>,
}

impl Storm {
    pub fn new(plan: StormPlan, seed: u64) -> Self {
        let now = Instant::now() + Duration::from_secs(3_600);
        let mut processes = Vec::new();
        processes.resize_with(plan.processes, PartQuarantine::default);
        let servers = (0..plan.servers).map(|at| ServerSlot {
            instance: at as u64,
            back_at: None,
        });
        Self {
            servers: servers.collect(),
            instance_count: plan.servers as u64,
            rng: StdRng::seed_from_u64(seed),
            now,
            started_at: now,
            next_report_at: now,
            processes,
            runs: Vec::new(),
            request_count: 0,
            crash_times: Vec::new(),
            crashing_sent: Vec::new(),
            sound: Vec::new(),
            plan,
        }
    }

    /// Replays the load for that time, with or without the requests that crash servers.
    pub fn run(&mut self, duration: Duration, with_crashing: bool) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.restart_servers();
            self.end_runs();
            self.exchange_reports();
            if self.draws(self.plan.other_crashes_per_s) {
                let server = self.rng.random_range(0..self.servers.len());
                self.crash_server(server);
            }
            if self.draws(self.plan.sound_per_s) {
                let topic = format!("topic-{}", self.rng.random_range(0..9));
                self.send_new(vec![SHARED_PART.to_owned(), topic]);
            }
            if with_crashing && self.draws(self.plan.crashing_per_s) {
                self.send_new(vec![SHARED_PART.to_owned(), CRASHING_PART.to_owned()]);
            }
        }
    }

    /// Crashes all servers within some tens of milliseconds.
    pub fn crash_all(&mut self) {
        for server in 0..self.servers.len() {
            self.now += Duration::from_millis(2);
            self.crash_server(server);
        }
    }

    /// Returns the number of crashes under requests with the part.
    pub fn crashes(&self) -> usize {
        self.crash_times.len()
    }

    /// Returns the number of requests with the part that were sent later than `after` after the crash
    /// with that number, counted from 1; of the last one if there were fewer.
    pub fn late_runs(&self, crash: usize, after: Duration) -> usize {
        let counted = self.crash_times.get(crash - 1).or(self.crash_times.last());
        let Some(counted) = counted else { return 0 };
        let late = self.crashing_sent.iter();
        late.filter(|at| **at > *counted + after).count()
    }

    /// Returns the share of the sound requests that were permitted to run, of those that came `since`
    /// the start or later.
    pub fn sound_share_since(&self, since: Duration) -> f64 {
        let from = self.started_at + since;
        let counted = self.sound.iter().filter(|(at, _)| *at >= from);
        let (mut all, mut permitted) = (0, 0);
        for (_, is_permitted) in counted {
            all += 1;
            permitted += u32::from(*is_permitted);
        }
        f64::from(permitted) / f64::from(all.max(1))
    }

    fn draws(&mut self, per_s: f64) -> bool {
        self.rng.random_bool((per_s * STEP.as_secs_f64()).min(1.0))
    }

    fn restart_servers(&mut self) {
        for server in &mut self.servers {
            if server.back_at.is_some_and(|at| at <= self.now) {
                server.back_at = None;
                server.instance = self.instance_count;
                self.instance_count += 1;
            }
        }
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let crashing = self
            .runs
            .iter()
            .find(|run| run.is_crashing() && now >= run.sent_at + CRASH_DELAY);
        if let Some(server) = crashing.map(|run| run.server) {
            self.crash_times.push(now);
            self.crash_server(server);
            return self.end_runs();
        }
        let (ended, running) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition::<Vec<_>, _>(|run| now >= run.sent_at + RUN_TIME);
        self.runs = running;
        for run in ended {
            self.processes[run.process].record_success(&run.parts, SERVICE, now);
        }
    }

    fn crash_server(&mut self, server: usize) {
        if self.servers[server].back_at.is_some() {
            return;
        }
        self.servers[server].back_at = Some(self.now + RESTART_DELAY);
        let instance = self.servers[server].instance;
        let (cut_off, running) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition::<Vec<_>, _>(|run| run.server == server);
        self.runs = running;
        for run in &cut_off {
            let observed = ObservedCrash {
                server: instance,
                service: SERVICE.to_owned(),
                sent_at: run.sent_at,
                cut_off_at: self.now,
                run_kind: RunKind::Online,
            };
            let process = &mut self.processes[run.process];
            process.record_crash(&run.parts, run.request, &observed, self.now);
        }
        for run in cut_off {
            if run.runs < MAX_RUNS {
                self.send(run.process, run.request, run.runs + 1, run.parts);
            }
        }
    }

    fn exchange_reports(&mut self) {
        if self.now < self.next_report_at {
            return;
        }
        self.next_report_at = self.now + REPORT_INTERVAL;
        let now = self.now;
        let digests = self.processes.iter_mut().map(|it| it.digest(now));
        let digests: Vec<_> = digests.collect();
        if digests.iter().all(|digest| *digest == digests[0]) {
            return;
        }
        let evidence = self.processes.iter().map(|it| it.evidence(now));
        let all: Vec<_> = digests.into_iter().zip(evidence).collect();
        for process in &mut self.processes {
            for (digest, evidence) in &all {
                if *digest != process.digest(now) {
                    process.merge(evidence, now);
                }
            }
        }
    }

    fn send_new(&mut self, parts: Vec<String>) {
        self.request_count += 1;
        let process = self.rng.random_range(0..self.processes.len());
        let is_sound = !parts.iter().any(|part| part == CRASHING_PART);
        let is_permitted = self.send(process, self.request_count, 1, parts);
        if is_sound {
            self.sound.push((self.now, is_permitted));
        }
    }

    /// Sends a request to a server that runs, if there is one. Returns whether it is permitted.
    fn send(&mut self, process: usize, request: u64, runs: u32, parts: Vec<String>) -> bool {
        let host = format!("host-{process}");
        let count = self.processes.len();
        let quarantine = &mut self.processes[process];
        let permission = quarantine.begin_run(&parts, SERVICE, &host, count, self.now);
        if matches!(permission, PartPermission::Refused(..)) {
            return false;
        }
        let usable: Vec<usize> = (0..self.servers.len())
            .filter(|at| self.servers[*at].back_at.is_none())
            .collect();
        if usable.is_empty() {
            return true;
        }
        let server = usable[self.rng.random_range(0..usable.len())];
        let run = Run {
            request,
            runs,
            process,
            server,
            parts,
            sent_at: self.now,
        };
        if run.is_crashing() {
            self.crashing_sent.push(self.now);
        }
        self.runs.push(run);
        true
    }
}
