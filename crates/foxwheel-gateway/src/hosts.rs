//! The controller of the host table, which decides which backend hosts take work.
//!
//! The membership records in the store list the agents that exist. The control polls
//! ([`crate::control`]) show which of them are alive, draining or busy. A host takes work while
//! its record is in state ready, its agent does not report that it drains, and its agent has not
//! missed several polls in a row. A dead or leaving host is therefore taken out of use within
//! seconds even while the store is down, and an outage of the store takes no live host out of
//! use. Missed polls are counted instead of measuring time, so that a gateway that was paused
//! itself does not consider every host dead. Routing prefers the gateway's zone and, within it,
//! the host with the fewest requests in flight.

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

/// Interval at which membership records with an expired lease are deleted.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// Result of the latest control polls of one agent.
#[derive(Debug)]
pub struct PollStatus {
    /// Number of polls without a response since the last one with a response.
    missed_polls: u32,
    /// Last load report.
    load_report: LoadReport,
    /// Number of online requests at the host, as of the report, that were not sent by this
    /// gateway.
    online_from_others: u32,
}

/// One backend host, as known to this gateway.
#[derive(Debug, Clone)]
pub struct BackendHost {
    /// Membership record.
    pub member: Member,
    /// Version of the record in the store.
    pub version: Version,
    /// Time when this gateway first read that version. The lease's expiry is computed from it, so
    /// that only this gateway's own clock matters.
    pub first_seen_at: Instant,
    /// Number of requests that this gateway has in flight at the host.
    pub in_flight: Arc<AtomicU32>,
    /// Results of the control polls, shared with the task that polls this host's agent.
    poll_status: Arc<Mutex<PollStatus>>,
}

impl BackendHost {
    fn new(member: Member, version: Version, now: Instant) -> Self {
        Self {
            member,
            version,
            first_seen_at: now,
            in_flight: Arc::default(),
            poll_status: Arc::new(Mutex::new(PollStatus {
                missed_polls: 0,
                load_report: LoadReport::default(),
                online_from_others: 0,
            })),
        }
    }

    /// Records the response to a control poll.
    pub fn record_report(&self, load_report: LoadReport) {
        let own_in_flight = self.in_flight.load(Ordering::Relaxed);
        let mut poll_status = self.poll_status.lock().expect("poll status lock");
        poll_status.online_from_others =
            (load_report.running_online + load_report.waiting_online).saturating_sub(own_in_flight);
        poll_status.load_report = load_report;
        poll_status.missed_polls = 0;
    }

    /// Records a control poll without a response. Returns the number of polls in a row that had
    /// none.
    pub fn record_missed_poll(&self) -> u32 {
        let mut poll_status = self.poll_status.lock().expect("poll status lock");
        poll_status.missed_polls = poll_status.missed_polls.saturating_add(1);
        poll_status.missed_polls
    }

    /// Returns whether the host takes work.
    fn is_live(&self, max_missed_polls: u32) -> bool {
        let poll_status = self.poll_status.lock().expect("poll status lock");
        self.member.state == MemberState::Ready
            && !poll_status.load_report.draining
            && poll_status.missed_polls < max_missed_polls
    }

    /// Returns this host as a candidate for work of `class`. Running batch work is not counted,
    /// because the agent preempts it for online requests.
    fn to_candidate(&self, class: PriorityClass) -> Candidate {
        let poll_status = self.poll_status.lock().expect("poll status lock");
        let online_in_flight =
            self.in_flight.load(Ordering::Relaxed) + poll_status.online_from_others;
        let queued_ahead = match class {
            PriorityClass::Online => 0,
            PriorityClass::Batch => poll_status.load_report.waiting_batch,
        };
        Candidate {
            id: self.member.host.clone(),
            zone: self.member.zone.clone(),
            slots: poll_status.load_report.slots,
            in_flight: online_in_flight + queued_ahead,
            ..Candidate::default()
        }
    }

    /// Returns whether the record's lease has expired at `now`.
    fn is_lease_expired(&self, now: Instant) -> bool {
        let ttl = Duration::from_millis(self.member.lease_ttl_ms);
        now.saturating_duration_since(self.first_seen_at) > ttl
    }
}

/// Counts one request as in flight at a host until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicU32>);

impl InFlightGuard {
    /// Counts one more request at `host`.
    pub fn start(host: &BackendHost) -> Self {
        host.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(host.in_flight.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Routing table: the hosts by deployment, each list sorted by host id.
#[derive(Debug, Clone)]
pub struct HostTable {
    /// Number of missed polls in a row after which a host takes no more work.
    max_missed_polls: u32,
    by_deployment: Arc<RwLock<BTreeMap<String, Vec<BackendHost>>>>,
}

impl HostTable {
    /// Creates an empty table whose hosts take no more work after `max_missed_polls` polls in a row
    /// without a response.
    pub fn new(max_missed_polls: u32) -> Self {
        Self {
            max_missed_polls,
            by_deployment: Arc::default(),
        }
    }

    /// Picks a live host of `deployment` for work of `class`, preferring those in `zone` and
    /// skipping `excluded` hosts. Agents queue requests, so a busy host is picked if none is free.
    /// Returns `None` if no live host is left.
    pub fn pick_host(
        &self,
        deployment: &str,
        class: PriorityClass,
        zone: &str,
        excluded: &[HostId],
    ) -> Option<BackendHost> {
        let table = self.by_deployment.read().expect("host table lock");
        let hosts = table.get(deployment)?;
        let candidates: Vec<Candidate> = hosts
            .iter()
            .filter(|host| host.is_live(self.max_missed_polls))
            .filter(|host| !excluded.contains(&host.member.host))
            .map(|host| host.to_candidate(class))
            .collect();
        let tie_breaker = rand::random::<u32>() as usize;
        let picked = placement::least_loaded(&candidates, zone, tie_breaker)?;
        let at = hosts
            .binary_search_by(|host| host.member.host.cmp(&picked.id))
            .ok()?;
        Some(hosts[at].clone())
    }

    /// Returns the number of live hosts of `deployment`.
    pub fn live_count(&self, deployment: &str) -> usize {
        let is_live = |host: &&BackendHost| host.is_live(self.max_missed_polls);
        let table = self.by_deployment.read().expect("host table lock");
        table
            .get(deployment)
            .map_or(0, |hosts| hosts.iter().filter(is_live).count())
    }

    /// Returns all hosts in the table.
    pub fn hosts(&self) -> Vec<BackendHost> {
        let table = self.by_deployment.read().expect("host table lock");
        table.values().flatten().cloned().collect()
    }

    /// Replaces the contents of the table by those of `records`. A host whose agent has kept its
    /// control address keeps its count of requests in flight and its poll results; a host whose
    /// agent moved to another address starts without them.
    pub fn rebuild(&self, records: Vec<(Member, Version)>) {
        let now = Instant::now();
        let mut table = self.by_deployment.write().expect("host table lock");
        let mut new_table: BTreeMap<String, Vec<BackendHost>> = BTreeMap::new();
        for (member, version) in records {
            let previous = table.get(&member.deployment).and_then(|hosts| {
                hosts
                    .binary_search_by(|host| host.member.host.cmp(&member.host))
                    .ok()
                    .map(|at| &hosts[at])
                    .filter(|host| host.member.control_addr == member.control_addr)
            });
            let host = match previous {
                Some(previous) if previous.version == version => previous.clone(),
                Some(previous) => BackendHost {
                    member,
                    version,
                    first_seen_at: now,
                    ..previous.clone()
                },
                None => BackendHost::new(member, version, now),
            };
            new_table
                .entry(host.member.deployment.clone())
                .or_default()
                .push(host);
        }
        for hosts in new_table.values_mut() {
            hosts.sort_by(|a, b| a.member.host.cmp(&b.member.host));
        }
        *table = new_table;
    }
}

/// Keeps `table` up to date from the membership records and deletes expired records until `cancel`
/// is cancelled. Starts `reflector`, which must be the one of `members/`.
pub async fn run_controller(
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
                remove_expired_members(&table, &store).await;
                continue;
            }
        }
        table.rebuild(reflector.read(|snapshot| snapshot.decode_all("hosts")));
    }
}

/// Deletes records whose lease has expired. Each delete is conditional on the version read, so that
/// an agent that renews its lease in the meantime keeps its record. A failed delete is retried by
/// the next sweep.
async fn remove_expired_members(table: &HostTable, store: &StoreClient) {
    let now = Instant::now();
    for host in table.hosts() {
        let member = &host.member;
        if !host.is_lease_expired(now) {
            continue;
        }
        let key = keys::member(&member.deployment, &member.host);
        match store.delete(&key, Some(host.version)).await {
            Ok(()) => log::info!("removed {key}: its lease has expired"),
            Err(e) => log::debug!("{key} not removed: {e}"),
        }
    }
}
