//! The host list controller: which backend hosts take work.
//!
//! The membership records in the store say which agents exist; the control polls
//! ([`crate::control`]) say which are alive, draining or busy. A host takes work while its
//! record says ready and its agent has not missed several polls in a row. So a dead or
//! leaving host drops out within seconds even while the store is down, and a store outage
//! takes no live host out. Polls are counted rather than time, so that a gateway that was
//! itself paused does not take every host for dead. Routing prefers the gateway's zone and,
//! within it, the host with the fewest requests in flight.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use foxwheel_core::declarations::PriorityClass;
use foxwheel_core::ids::{HostId, Version};
use foxwheel_core::keys;
use foxwheel_core::protocol::{LoadReport, Member, MemberState};
use foxwheel_policy::placement::{self, Candidate};
use foxwheel_store::client::StoreClient;
use foxwheel_store::reflector::Reflector;
use tokio_util::sync::CancellationToken;

/// How often expired membership records are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// What the control polls of one agent last said.
#[derive(Debug)]
pub struct Liveness {
    /// Polls missed since the last answer.
    missed: u32,
    /// The last report.
    report: LoadReport,
    /// Online requests on the host sent by others than this gateway, as of the report.
    others_online: u32,
}

/// One backend host as seen by this gateway.
#[derive(Debug, Clone)]
pub struct Target {
    /// The member record.
    pub member: Member,
    /// The record's store version.
    pub version: Version,
    /// When this gateway saw that version; a lease runs out by this gateway's own clock.
    pub seen_at: Instant,
    /// Requests this gateway has in flight on the host.
    pub in_flight: Arc<AtomicU32>,
    /// Shared with the poller of this host.
    liveness: Arc<Mutex<Liveness>>,
}

impl Target {
    fn new(member: Member, version: Version, now: Instant) -> Self {
        Self {
            member,
            version,
            seen_at: now,
            in_flight: Arc::default(),
            liveness: Arc::new(Mutex::new(Liveness {
                missed: 0,
                report: LoadReport::default(),
                others_online: 0,
            })),
        }
    }

    /// Records the answer to a control poll.
    pub fn record(&self, report: LoadReport) {
        let own = self.in_flight.load(Ordering::Relaxed);
        let mut liveness = self.liveness.lock().expect("liveness lock");
        liveness.others_online =
            (report.running_online + report.waiting_online).saturating_sub(own);
        liveness.report = report;
        liveness.missed = 0;
    }

    /// Records a control poll that got no answer; answers how many in a row that makes.
    pub fn record_missed(&self) -> u32 {
        let mut liveness = self.liveness.lock().expect("liveness lock");
        liveness.missed = liveness.missed.saturating_add(1);
        liveness.missed
    }

    /// Whether the host takes work.
    fn is_live(&self, max_missed: u32) -> bool {
        let liveness = self.liveness.lock().expect("liveness lock");
        self.member.state == MemberState::Ready
            && !liveness.report.draining
            && liveness.missed < max_missed
    }

    /// What a choice of a host for work of `class` goes by. Batch work that runs does not
    /// count: the agent preempts it for online requests.
    fn candidate(&self, class: PriorityClass) -> Candidate {
        let liveness = self.liveness.lock().expect("liveness lock");
        let online = self.in_flight.load(Ordering::Relaxed) + liveness.others_online;
        let ahead = match class {
            PriorityClass::Online => 0,
            PriorityClass::Batch => liveness.report.waiting_batch,
        };
        Candidate {
            id: self.member.host.clone(),
            zone: self.member.zone.clone(),
            slots: liveness.report.slots,
            in_flight: online + ahead,
            ..Candidate::default()
        }
    }

    /// Whether the record's lease has run out by `now`.
    fn lease_expired(&self, now: Instant) -> bool {
        let ttl = Duration::from_millis(self.member.lease_ttl_ms);
        now.saturating_duration_since(self.seen_at) > ttl
    }
}

/// Counts one request in flight on a host while it is alive.
#[derive(Debug)]
pub struct InFlight(Arc<AtomicU32>);

impl InFlight {
    /// Counts one more request on `target`.
    pub fn start(target: &Target) -> Self {
        target.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(target.in_flight.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The routing table: hosts by deployment, each list sorted by host id.
#[derive(Debug, Clone)]
pub struct HostTable {
    /// Polls in a row an agent may miss before its host takes no work.
    max_missed: u32,
    by_deployment: Arc<RwLock<BTreeMap<String, Vec<Target>>>>,
}

impl HostTable {
    /// An empty table whose hosts drop out after `max_missed` polls without an answer.
    pub fn new(max_missed: u32) -> Self {
        Self {
            max_missed,
            by_deployment: Arc::default(),
        }
    }

    /// Picks a live host of `deployment` for work of `class` as seen from `zone`, skipping
    /// `excluded` hosts. Agents keep a queue, so a busy host is picked if none is free.
    pub fn pick(
        &self,
        deployment: &str,
        class: PriorityClass,
        zone: &str,
        excluded: &[HostId],
    ) -> Option<Target> {
        let table = self.by_deployment.read().expect("host table lock");
        let targets = table.get(deployment)?;
        let candidates: Vec<Candidate> = targets
            .iter()
            .filter(|target| target.is_live(self.max_missed))
            .filter(|target| !excluded.contains(&target.member.host))
            .map(|target| target.candidate(class))
            .collect();
        let draw = rand::random::<u32>() as usize;
        let picked = placement::least_loaded(&candidates, zone, draw)?;
        let at = targets
            .binary_search_by(|target| target.member.host.cmp(&picked.id))
            .ok()?;
        Some(targets[at].clone())
    }

    /// Live hosts of `deployment` now.
    pub fn live_count(&self, deployment: &str) -> usize {
        let is_live = |target: &&Target| target.is_live(self.max_missed);
        let table = self.by_deployment.read().expect("host table lock");
        table
            .get(deployment)
            .map_or(0, |targets| targets.iter().filter(is_live).count())
    }

    /// Every host in the table.
    pub fn targets(&self) -> Vec<Target> {
        let table = self.by_deployment.read().expect("host table lock");
        table.values().flatten().cloned().collect()
    }

    /// Replaces the table from member records. An agent still at the same control address
    /// keeps its in-flight counts and liveness; one that moved starts anew.
    pub fn rebuild(&self, records: Vec<(Member, Version)>) {
        let now = Instant::now();
        let mut table = self.by_deployment.write().expect("host table lock");
        let mut next: BTreeMap<String, Vec<Target>> = BTreeMap::new();
        for (member, version) in records {
            let old = table.get(&member.deployment).and_then(|targets| {
                targets
                    .binary_search_by(|t| t.member.host.cmp(&member.host))
                    .ok()
                    .map(|at| &targets[at])
                    .filter(|t| t.member.control_addr == member.control_addr)
            });
            let target = match old {
                Some(old) if old.version == version => old.clone(),
                Some(old) => Target {
                    member,
                    version,
                    seen_at: now,
                    ..old.clone()
                },
                None => Target::new(member, version, now),
            };
            next.entry(target.member.deployment.clone())
                .or_default()
                .push(target);
        }
        for targets in next.values_mut() {
            targets.sort_by(|a, b| a.member.host.cmp(&b.member.host));
        }
        *table = next;
    }
}

/// Runs `reflector`, of `members/`, and keeps `table` current until `cancel` fires.
pub async fn run(
    table: HostTable,
    reflector: Reflector,
    store: StoreClient,
    cancel: CancellationToken,
) {
    let mut changes = reflector.subscribe();
    actix_web::rt::spawn(reflector.clone().run(store.clone(), cancel.clone()));
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            changed = changes.changed() => if changed.is_err() { return },
            _ = sweep.tick() => {
                remove_expired(&table, &store).await;
                continue;
            }
        }
        table.rebuild(reflector.read(|snapshot| snapshot.decode_all("hosts")));
    }
}

/// Deletes records whose lease ran out, each only at the version seen, so an agent that
/// renews meanwhile keeps its record. A failed delete is tried again by the next sweep.
async fn remove_expired(table: &HostTable, store: &StoreClient) {
    let now = Instant::now();
    for target in table.targets() {
        let member = &target.member;
        if !target.lease_expired(now) {
            continue;
        }
        let key = keys::member(&member.deployment, &member.host);
        match store.delete(&key, Some(target.version)).await {
            Ok(()) => log::info!("removed {key}: its lease ran out"),
            Err(e) => log::debug!("{key} not removed: {e}"),
        }
    }
}
