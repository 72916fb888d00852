//! The host list controller: which backend hosts take work, from the membership leases.
//!
//! A host takes work while its record says ready and its lease, as judged by this
//! gateway's own clock from the last renewal it saw, has not run out. A draining record
//! takes the host out at once. Routing prefers the gateway's zone and, within it, the
//! host with the fewest requests this gateway has in flight there.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use tokio_util::sync::CancellationToken;

use foxwheel_core::ids::{HostId, Version};
use foxwheel_core::keys;
use foxwheel_core::protocol::{Member, MemberState};
use foxwheel_store::client::StoreClient;
use foxwheel_store::reflector::Reflector;

/// One backend host as seen by this gateway.
#[derive(Debug, Clone)]
pub struct Target {
    /// The member record.
    pub member: Member,
    /// The record's store version.
    pub version: Version,
    /// When this gateway saw that version.
    pub seen_at: Instant,
    /// Requests this gateway has in flight on the host.
    pub in_flight: Arc<AtomicU32>,
}

impl Target {
    fn is_live(&self, now: Instant) -> bool {
        self.member.state == MemberState::Ready
            && now.duration_since(self.seen_at) < Duration::from_millis(self.member.lease_ttl_ms)
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
#[derive(Debug, Clone, Default)]
pub struct HostTable {
    by_deployment: Arc<RwLock<BTreeMap<String, Vec<Target>>>>,
}

impl HostTable {
    /// Picks a live host of `deployment`, preferring `zone`, skipping `excluded` hosts.
    pub fn pick(&self, deployment: &str, zone: &str, excluded: &[HostId]) -> Option<Target> {
        let now = Instant::now();
        let table = self.by_deployment.read().expect("host table lock");
        let targets = table.get(deployment)?;
        let live = targets
            .iter()
            .filter(|t| t.is_live(now) && !excluded.contains(&t.member.host));
        let least = |candidates: Vec<&Target>| {
            candidates
                .into_iter()
                .min_by_key(|t| (t.in_flight.load(Ordering::Relaxed), rand::random::<u16>()))
                .cloned()
        };
        let (local, remote): (Vec<&Target>, Vec<&Target>) =
            live.partition(|t| t.member.zone == zone);
        least(local).or_else(|| least(remote))
    }

    /// Live hosts of `deployment` now.
    pub fn live_count(&self, deployment: &str) -> usize {
        let now = Instant::now();
        let table = self.by_deployment.read().expect("host table lock");
        table
            .get(deployment)
            .map(|ts| ts.iter().filter(|t| t.is_live(now)).count())
            .unwrap_or(0)
    }

    /// Replaces the table from member records, keeping in-flight counts and the time each
    /// unchanged record was first seen.
    pub fn rebuild(&self, records: Vec<(Member, Version)>) {
        let now = Instant::now();
        let mut table = self.by_deployment.write().expect("host table lock");
        let mut next: BTreeMap<String, Vec<Target>> = BTreeMap::new();
        for (member, version) in records {
            let old = table.get(&member.deployment).and_then(|ts| {
                ts.binary_search_by(|t| t.member.host.cmp(&member.host))
                    .ok()
                    .map(|at| &ts[at])
            });
            let (seen_at, in_flight) = match old {
                Some(t) if t.version == version => (t.seen_at, t.in_flight.clone()),
                Some(t) => (now, t.in_flight.clone()),
                None => (now, Arc::default()),
            };
            next.entry(member.deployment.clone())
                .or_default()
                .push(Target {
                    member,
                    version,
                    seen_at,
                    in_flight,
                });
        }
        for targets in next.values_mut() {
            targets.sort_by(|a, b| a.member.host.cmp(&b.member.host));
        }
        *table = next;
    }
}

/// Watches `members/` and keeps `table` current until `cancel` fires.
pub async fn run(table: HostTable, store: StoreClient, cancel: CancellationToken) {
    let reflector = Reflector::new(keys::MEMBERS_PREFIX);
    let mut changes = reflector.subscribe();
    actix_web::rt::spawn(reflector.clone().run(store, cancel.clone()));
    loop {
        tokio::select! {
            _ = cancel.cancelled() => return,
            changed = changes.changed() => if changed.is_err() { return },
        }
        let records = reflector.read(|snapshot| {
            snapshot
                .objects
                .iter()
                .filter_map(|(key, (value, version))| {
                    match serde_json::from_value::<Member>(value.clone()) {
                        Ok(member) => Some((member, *version)),
                        Err(e) => {
                            log::warn!("hosts: {key} does not decode: {e}");
                            None
                        }
                    }
                })
                .collect()
        });
        table.rebuild(records);
    }
}
