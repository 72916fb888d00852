//! Following the platform's store: the configuration and the backend servers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_core::ids::{ServerId, Version};
use foxwheel_platform::store::{Change, Object, StoreError, WatchOutcome};
use foxwheel_platform::{config, servers};
use foxwheel_policy::membership::BackendServer;
use foxwheel_policy::server_changes::ServerChange;
use foxwheel_policy::{drain_timing, watcher_selection};
use tokio_util::sync::CancellationToken;

use crate::node::Node;
use crate::store_access::Backoff;
use crate::{discovery, quarantine_store, request_quarantine, state_sync};

/// How long one watch waits. Longer costs fewer calls; a connection that fell silent is
/// found by its keep-alive probes and not by this.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// How often servers whose entries vanished are looked over.
const EXPIRE_EVERY: Duration = Duration::from_millis(200);

/// What follows one kind of object.
trait Follower: Send + Sync + 'static {
    /// The kind.
    const KIND: &'static str;

    /// Whether `node` knows every change of the kind as the store tells it.
    fn is_current(node: &Node) -> &AtomicBool;

    /// Whether `node` took the kind's objects from the store or a peer before.
    fn was_listed(node: &Node) -> bool;

    /// Pause after a watch that brought changes, so that several cost one call.
    const PAUSE: Duration = Duration::ZERO;

    /// The store stopped answering.
    fn lost(&self, _node: &Node) {}

    /// The store answers again; called before the next list is taken.
    fn regained(&self, _node: &Node) {}

    /// Takes every object of the kind.
    fn take_all(&self, node: &Node, objects: Vec<Object>, revision: u64);

    /// Takes one change.
    fn take_change(&self, node: &Node, change: Change);

    /// Every change up to `revision` was taken.
    fn advance(&self, _node: &Node, _revision: u64) {}
}

/// Follows the store until cancelled.
pub async fn run(node: Arc<Node>, cancel: CancellationToken) {
    let following = async {
        tokio::join!(
            follow(&node, ConfigFollower),
            follow(&node, ServerFollower::default()),
            discovery::discover_processes(&node),
            discovery::announce_process(&node),
            expire(&node),
            state_sync::run(&node),
            state_sync::ask_peers(&node),
            request_quarantine::sync_crash_reports(&node),
            quarantine_store::run(&node),
            probe(&node),
        )
    };
    tokio::select! {
        () = cancel.cancelled() => {}
        _ = following => {}
    }
}

/// How long a process that just started and has its first list waits before it watches: by
/// then it has heard who follows for its zone, and its watch is not needed: two heartbeats.
/// A tenth of the shortest bound for a change (2 s); the watch goes on from the list.
const SETTLE_AFTER_START: Duration = Duration::from_millis(200);

async fn follow<F: Follower>(node: &Node, follower: F) {
    let mut backoff = Backoff::default();
    let mut revision = None;
    let mut failing = false;
    let settled_at = Instant::now() + SETTLE_AFTER_START;
    loop {
        if revision.is_some() {
            tokio::time::sleep_until(settled_at.into()).await;
        }
        // A process that never listed asks at once; one whose calls fail goes on until the
        // store answers, so that it knows whether it is turned away.
        let must_go_on = failing || !F::was_listed(node);
        node.select_representatives(Instant::now());
        while !must_go_on && !node.should_watch_store(Instant::now()) {
            F::is_current(node).store(false, Ordering::Relaxed);
            revision = None;
            tokio::time::sleep(watcher_selection::CHECK_INTERVAL).await;
        }
        let step = follow_once(node, &follower, revision).await;
        F::is_current(node).store(step.is_ok(), Ordering::Relaxed);
        match step {
            Ok(next) => {
                if failing {
                    follower.regained(node);
                    failing = false;
                }
                backoff = Backoff::default();
                revision = next;
            }
            Err(_) => {
                // StoreAccess logs the loss of the store once for all followers.
                if !failing {
                    follower.lost(node);
                    failing = true;
                    revision = None;
                }
                node.store.wait_before_retry(backoff.next_delay()).await;
            }
        }
    }
}

/// Makes sure that the store answers: while others rely on this process, and while its own
/// calls fail and it does not follow. It would not call again for long, and go on sending its
/// writes through peers when the store answers it again.
async fn probe(node: &Node) {
    loop {
        tokio::time::sleep(watcher_selection::PROBE_INTERVAL).await;
        let now = Instant::now();
        let reached = node.store.failing_for(now).is_none();
        let follows = node.should_watch_store(now);
        if (follows && node.has_subscribers(now)) || (!follows && !reached) {
            let answered = node.store.probe(config::KIND, config::NAME).await;
            if answered.is_err() && reached {
                // The others must take another process for the zone's follower now.
                node.urgent_heartbeat.notify_one();
            }
        }
    }
}

/// Lists the kind if `revision` is none, else watches from it. Answers where to go on, or
/// none to list again.
async fn follow_once<F: Follower>(
    node: &Node,
    follower: &F,
    revision: Option<u64>,
) -> Result<Option<u64>, StoreError> {
    let Some(revision) = revision else {
        let listing = node.store.list(F::KIND).await?;
        follower.regained(node);
        follower.take_all(node, listing.objects, listing.revision);
        return Ok(Some(listing.revision));
    };
    match node.store.watch(F::KIND, revision, WATCH_WAIT).await? {
        WatchOutcome::Changes { changes, revision } => {
            let changed = !changes.is_empty();
            for change in changes {
                follower.take_change(node, change);
            }
            follower.advance(node, revision);
            if changed && !F::PAUSE.is_zero() {
                tokio::time::sleep(F::PAUSE).await;
            }
            Ok(Some(revision))
        }
        WatchOutcome::HistoryExpired => {
            log::info!(kind = F::KIND, revision; "history gone, listing again");
            Ok(None)
        }
    }
}

struct ConfigFollower;

impl Follower for ConfigFollower {
    const KIND: &'static str = config::KIND;

    fn is_current(node: &Node) -> &AtomicBool {
        &node.config_is_current
    }

    fn was_listed(node: &Node) -> bool {
        node.config().is_some()
    }

    fn take_all(&self, node: &Node, objects: Vec<Object>, _revision: u64) {
        for object in objects {
            take_config(node, &object);
        }
    }

    fn take_change(&self, node: &Node, change: Change) {
        if !change.removed {
            take_config(node, &change.object);
        }
    }
}

fn take_config(node: &Node, object: &Object) {
    if object.name != config::NAME {
        return;
    }
    match config::decode(&object.spec) {
        Ok((config, faults)) => {
            for fault in faults {
                log::warn!(revision = object.revision, fault; "configuration entry left out");
            }
            node.apply_config(config, "store");
        }
        Err(e) => {
            log::warn!(revision = object.revision, error:% = e; "configuration refused, the one before stays");
        }
    }
}

#[derive(Default)]
struct ServerFollower {
    /// Spoiled entries and the revisions at which they were logged; sorted by name.
    spoiled: Mutex<Vec<(ServerId, Version)>>,
}

impl Follower for ServerFollower {
    const KIND: &'static str = servers::KIND;
    const PAUSE: Duration = drain_timing::WATCH_COALESCING_DELAY;

    fn is_current(node: &Node) -> &AtomicBool {
        &node.servers_are_current
    }

    fn was_listed(node: &Node) -> bool {
        let directory = node.directory.lock().expect("directory lock");
        directory.revision().is_some()
    }

    fn lost(&self, node: &Node) {
        node.directory
            .lock()
            .expect("directory lock")
            .record_source_lost();
    }

    fn regained(&self, node: &Node) {
        let mut directory = node.directory.lock().expect("directory lock");
        directory.record_source_regained(Instant::now());
    }

    fn take_all(&self, node: &Node, objects: Vec<Object>, revision: u64) {
        let (mut listed, mut spoiled) = (Vec::new(), Vec::new());
        for object in &objects {
            match self.decode(object) {
                Some(server) => listed.push(server),
                None => spoiled.push(&object.name),
            }
        }
        self.forget_logged(&spoiled);
        let (servers, spoiled_entries) = (listed.len(), spoiled.len());
        let mut directory = node.directory.lock().expect("directory lock");
        let taken = directory.apply_list(listed, revision, Instant::now());
        for id in spoiled.into_iter().filter(|_| taken) {
            directory.refuse_entry(id);
        }
        log::info!(servers, spoiled_entries, revision, taken; "backend servers listed");
    }

    fn advance(&self, node: &Node, revision: u64) {
        let mut directory = node.directory.lock().expect("directory lock");
        directory.advance_revision(revision);
        // Others of the zone may wait to hear of it.
        node.urgent_heartbeat.notify_one();
    }

    fn take_change(&self, node: &Node, change: Change) {
        let id = change.object.name.clone();
        let revision = change.object.revision;
        let change = if change.removed {
            log::info!(server = id, revision; "backend server delisted");
            ServerChange::Removed(id)
        } else if let Some(server) = self.decode(&change.object) {
            log::info!(server = id, incarnation = server.incarnation, revision, state:? = server.state, service = server.service; "backend server changed");
            ServerChange::Listed(server)
        } else {
            ServerChange::Refused(id)
        };
        let mut directory = node.directory.lock().expect("directory lock");
        directory.apply_change(change, revision, Instant::now());
    }
}

impl ServerFollower {
    /// The server that an entry names, if it names one. Each version of a spoiled entry is
    /// logged once, however often it is read.
    fn decode(&self, object: &Object) -> Option<BackendServer> {
        let error = match servers::decode(&object.name, &object.spec) {
            Ok(server) => return Some(server),
            Err(error) => error,
        };
        let mut logged = self.spoiled.lock().expect("spoiled entries lock");
        let found = logged.binary_search_by(|(name, _)| name.cmp(&object.name));
        match found {
            Ok(at) if logged[at].1 == object.revision => return None,
            Ok(at) => logged[at].1 = object.revision,
            Err(at) => logged.insert(at, (object.name.clone(), object.revision)),
        }
        log::warn!(server = object.name, revision = object.revision, error:% = error; "backend server's entry names no server");
        None
    }

    /// Forgets what was logged of entries that a whole list does not show as spoiled.
    fn forget_logged(&self, spoiled: &[&ServerId]) {
        let mut logged = self.spoiled.lock().expect("spoiled entries lock");
        logged.retain(|(name, _)| spoiled.contains(&name));
    }
}

/// Drops servers whose time as a last resort is over, and idle connections past theirs.
async fn expire(node: &Node) {
    let mut ticks = tokio::time::interval(EXPIRE_EVERY);
    loop {
        ticks.tick().await;
        let now = Instant::now();
        let failing = node.should_watch_store(now) && node.store.failing_for(now).is_some();
        let gone = {
            let mut directory = node.directory.lock().expect("directory lock");
            // The watch of the servers may wait through an outage that other calls show.
            match failing {
                true => directory.record_source_lost(),
                false => directory.record_source_regained(now),
            }
            directory.remove_expired(now)
        };
        if !gone.is_empty() {
            log::info!(servers:? = gone; "backend servers gone");
            node.loads.remove_servers(&gone);
        }
        node.pool.close_expired();
    }
}
