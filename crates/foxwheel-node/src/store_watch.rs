//! Keeps the configuration and the backend servers up to date with the platform's store.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_core::ids::{ServerId, Version};
use foxwheel_platform::store::{Change, Object, StoreError};
use foxwheel_platform::{config, servers};
use foxwheel_policy::membership::BackendServer;
use foxwheel_policy::server_changes::ServerChange;
use foxwheel_policy::{drain_timing, watcher_selection};
use tokio_util::sync::CancellationToken;

use crate::node::Node;
use crate::store_access::{Backoff, WatchEnd};
use crate::watched_kind::WatchedKind;
use crate::{discovery, quarantine_store, request_quarantine, state_sync, version_records};

/// Interval at which servers with expired entries and idle connections are removed.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Applies the store's objects of one kind to a [`Node`].
trait KindWatcher: Send + Sync + 'static {
    /// The kind of the objects.
    const KIND: &'static str;

    /// Returns what `node` knows of its watch of the kind.
    fn watched(node: &Node) -> &WatchedKind;

    /// Returns whether `node` has already received the objects of the kind from the store or a
    /// peer.
    fn was_listed(node: &Node) -> bool;

    /// Delay after a watch that returned changes, so that several changes cost one call.
    const COALESCING_DELAY: Duration = Duration::ZERO;

    /// Called when the store stops responding.
    fn on_store_lost(&self, _node: &Node) {}

    /// Called when the store responds again, before the next list is applied.
    fn on_store_regained(&self, _node: &Node) {}

    /// Applies a list of all objects of the kind.
    fn apply_list(&self, node: &Node, objects: Vec<Object>, revision: u64);

    /// Applies one change.
    fn apply_change(&self, node: &Node, change: Change);

    /// Called when every change up to `revision` has been applied.
    fn on_revision_reached(&self, _node: &Node, _revision: u64) {}
}

/// Runs all tasks that keep `node` up to date with the store and its peers, until cancelled.
pub async fn run(node: Arc<Node>, cancel: CancellationToken) {
    let tasks = async {
        tokio::join!(
            watch_kind(&node, ConfigWatcher),
            watch_kind(&node, ServerWatcher::default()),
            discovery::discover_processes(&node),
            discovery::announce_process(&node),
            remove_expired(&node),
            state_sync::sync_from_watchers(&node),
            state_sync::sync_from_any_peer(&node),
            request_quarantine::sync_crash_reports(&node),
            quarantine_store::run(&node),
            version_records::run(&node),
            probe_store(&node),
        )
    };
    tokio::select! {
        () = cancel.cancelled() => {}
        _ = tasks => {}
    }
}

/// Delay between the start of a process and its first watch.
///
/// It lasts two heartbeats. By then the process knows which processes watch the store for its
/// zone and usually needs no watch of its own. It is a tenth of the shortest time limit for
/// applying a change (2 s), and no change is missed, because the watch continues from the list.
const FIRST_WATCH_DELAY: Duration = Duration::from_millis(200);

/// Lists and watches the objects of one kind for as long as this process should watch the
/// store. Never returns.
async fn watch_kind<W: KindWatcher>(node: &Node, watcher: W) {
    let mut backoff = Backoff::default();
    let mut revision = None;
    let mut failing = false;
    let first_watch_at = Instant::now() + FIRST_WATCH_DELAY;
    loop {
        if revision.is_some() {
            tokio::time::sleep_until(first_watch_at.into()).await;
        }
        // A process that has no list yet asks for one immediately. A process whose calls fail
        // continues until the store responds, so that it knows whether it is still rejected.
        let must_continue = failing || !W::was_listed(node);
        node.select_representatives(Instant::now());
        while !must_continue && !node.should_watch_store(Instant::now()) {
            if revision.take().is_some() {
                log::info!(kind = W::KIND; "store watch stopped: other processes watch");
            }
            W::watched(node).record_not_watched();
            tokio::time::sleep(watcher_selection::CHECK_INTERVAL).await;
        }
        let called_at = Instant::now();
        match list_or_watch(node, &watcher, revision).await {
            Ok(next) => {
                match next {
                    Some(_) => W::watched(node).record_response(Instant::now()),
                    None => W::watched(node).record_not_watched(),
                }
                if revision.is_none() {
                    log::info!(kind = W::KIND, revision = next; "store watch began");
                }
                if failing {
                    watcher.on_store_regained(node);
                    failing = false;
                }
                backoff = Backoff::default();
                revision = next;
            }
            Err(e) => {
                W::watched(node).record_not_watched();
                // A lost watch, or a call whose rate is used up, shows no outage.
                if node.store.failing_for(Instant::now()).is_some() {
                    watcher.on_store_lost(node);
                }
                if !failing {
                    let waited_ms = called_at.elapsed().as_millis() as u64;
                    log::info!(kind = W::KIND, revision, waited_ms, error:% = e; "store watch failed");
                    failing = true;
                    revision = None;
                }
                node.store.wait_before_retry(backoff.next_delay()).await;
            }
        }
    }
}

/// Probes the store periodically. Never returns.
///
/// A watching process with subscribers does so to find out quickly that the store no longer
/// responds to it, and any process does so if the result of another call left that open. A process
/// that does not watch the store does so while its calls fail: otherwise it would make no further
/// call for a long time, and would keep sending its writes through peers after the store serves it
/// again.
async fn probe_store(node: &Node) {
    loop {
        tokio::time::sleep(watcher_selection::PROBE_INTERVAL).await;
        let now = Instant::now();
        let was_reached = node.store.failing_for(now).is_none();
        let should_watch = node.should_watch_store(now);
        let must_probe = match should_watch {
            true => node.has_subscribers(now),
            false => !was_reached,
        };
        if must_probe || node.store.is_in_doubt() {
            let probed = node.store.probe(config::KIND, config::NAME).await;
            if probed.is_err() && was_reached {
                // The zone's processes must select another store watcher now.
                node.urgent_heartbeat.notify_one();
            }
        }
    }
}

/// Lists the kind if `revision` is None, otherwise watches it from that revision. Returns the
/// revision for the next watch, or None if the kind must be listed again.
async fn list_or_watch<W: KindWatcher>(
    node: &Node,
    watcher: &W,
    revision: Option<u64>,
) -> Result<Option<u64>, StoreError> {
    let Some(revision) = revision else {
        let listing = node.store.list(W::KIND).await?;
        watcher.on_store_regained(node);
        watcher.apply_list(node, listing.objects, listing.revision);
        return Ok(Some(listing.revision));
    };
    let wait = watcher_selection::WATCH_WAIT;
    W::watched(node).record_open();
    match node.store.watch(W::KIND, revision, wait).await? {
        WatchEnd::Changes { changes, revision } => {
            let any_changed = !changes.is_empty();
            for change in changes {
                watcher.apply_change(node, change);
            }
            watcher.on_revision_reached(node, revision);
            if any_changed && !W::COALESCING_DELAY.is_zero() {
                tokio::time::sleep(W::COALESCING_DELAY).await;
            }
            Ok(Some(revision))
        }
        WatchEnd::ListAgain(reason) => {
            log::info!(kind = W::KIND, revision, reason; "listing the store's objects again");
            Ok(None)
        }
    }
}

struct ConfigWatcher;

impl KindWatcher for ConfigWatcher {
    const KIND: &'static str = config::KIND;

    fn watched(node: &Node) -> &WatchedKind {
        &node.watched_config
    }

    fn was_listed(node: &Node) -> bool {
        node.config().is_some()
    }

    fn apply_list(&self, node: &Node, objects: Vec<Object>, _revision: u64) {
        for object in objects {
            apply_config_object(node, &object);
        }
    }

    fn apply_change(&self, node: &Node, change: Change) {
        if !change.removed {
            apply_config_object(node, &change.object);
        }
    }
}

fn apply_config_object(node: &Node, object: &Object) {
    if object.name != config::NAME {
        return;
    }
    match config::decode(&object.spec) {
        Ok((config, faults)) => {
            for fault in faults {
                log::warn!(revision = object.revision, fault; "invalid configuration entry ignored");
            }
            node.apply_config(config, "store");
        }
        Err(e) => {
            log::warn!(revision = object.revision, error:% = e; "configuration refused, the one before stays");
        }
    }
}

#[derive(Default)]
struct ServerWatcher {
    /// Corrupted entries and the revisions at which they were logged, sorted by name.
    logged_entries: Mutex<Vec<(ServerId, Version)>>,
}

impl KindWatcher for ServerWatcher {
    const KIND: &'static str = servers::KIND;
    const COALESCING_DELAY: Duration = drain_timing::WATCH_COALESCING_DELAY;

    fn watched(node: &Node) -> &WatchedKind {
        &node.watched_servers
    }

    fn was_listed(node: &Node) -> bool {
        let directory = node.directory.lock().expect("directory lock");
        directory.revision().is_some()
    }

    fn on_store_lost(&self, node: &Node) {
        node.directory
            .lock()
            .expect("directory lock")
            .record_source_lost();
    }

    fn on_store_regained(&self, node: &Node) {
        let mut directory = node.directory.lock().expect("directory lock");
        directory.record_source_regained(Instant::now());
    }

    fn apply_list(&self, node: &Node, objects: Vec<Object>, revision: u64) {
        let (mut listed, mut corrupted) = (Vec::new(), Vec::new());
        for object in &objects {
            match self.decode(object) {
                Some(server) => listed.push(server),
                None => corrupted.push(&object.name),
            }
        }
        self.retain_logged(&corrupted);
        let now = Instant::now();
        let list_age = node.server_list_age(now);
        let (servers, spoiled_entries) = (listed.len(), corrupted.len());
        let mut directory = node.directory.lock().expect("directory lock");
        directory.record_confirmed(list_age.and_then(|age| now.checked_sub(age)));
        let taken = directory.apply_list(listed, revision, now);
        for id in corrupted.into_iter().filter(|_| taken) {
            directory.record_corrupted_entry(id);
        }
        node.server_list_replaced.notify_one();
        log::info!(servers, spoiled_entries, revision, taken; "backend servers listed");
    }

    fn on_revision_reached(&self, node: &Node, revision: u64) {
        let mut directory = node.directory.lock().expect("directory lock");
        directory.advance_revision(revision);
        // Other processes of the zone may be waiting for the new revision.
        node.urgent_heartbeat.notify_one();
    }

    fn apply_change(&self, node: &Node, change: Change) {
        let id = change.object.name.clone();
        let revision = change.object.revision;
        let change = if change.removed {
            log::info!(server = id, revision; "backend server delisted");
            ServerChange::Removed(id)
        } else if let Some(server) = self.decode(&change.object) {
            log::info!(server = id, incarnation = server.incarnation, revision, state:? = server.state, service = server.service; "backend server changed");
            ServerChange::Listed(server)
        } else {
            ServerChange::Corrupted(id)
        };
        let now = Instant::now();
        let mut directory = node.directory.lock().expect("directory lock");
        directory.record_confirmed(now.checked_sub(drain_timing::max_watch_delay()));
        directory.apply_change(change, revision, now);
    }
}

impl ServerWatcher {
    /// Decodes a server's entry. Returns None if the entry is corrupted, and logs each version
    /// of a corrupted entry once, however often it is read.
    fn decode(&self, object: &Object) -> Option<BackendServer> {
        let error = match servers::decode(&object.name, &object.spec) {
            Ok(server) => return Some(server),
            Err(error) => error,
        };
        let mut logged = self.logged_entries.lock().expect("logged entries lock");
        let found = logged.binary_search_by(|(name, _)| name.cmp(&object.name));
        match found {
            Ok(at) if logged[at].1 == object.revision => return None,
            Ok(at) => logged[at].1 = object.revision,
            Err(at) => logged.insert(at, (object.name.clone(), object.revision)),
        }
        log::warn!(server = object.name, revision = object.revision, error:% = error; "cannot decode backend server entry");
        None
    }

    /// Drops the log records of all entries except the `corrupted` ones of a complete list.
    fn retain_logged(&self, corrupted: &[&ServerId]) {
        let mut logged = self.logged_entries.lock().expect("logged entries lock");
        logged.retain(|(name, _)| corrupted.contains(&name));
    }
}

/// Periodically removes servers whose expired entries are past their grace period, and idle
/// connections past their lifetime. Never returns.
async fn remove_expired(node: &Node) {
    let mut ticks = tokio::time::interval(EXPIRY_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        let now = Instant::now();
        let failing = node.should_watch_store(now) && node.store.failing_for(now).is_some();
        let removed = {
            let mut directory = node.directory.lock().expect("directory lock");
            // The open watch of the servers may not notice an outage that other calls show.
            match failing {
                true => directory.record_source_lost(),
                false => directory.record_source_regained(now),
            }
            directory.remove_expired(now)
        };
        if !removed.is_empty() {
            log::info!(servers:? = removed; "backend servers gone");
            node.loads.remove_servers(&removed);
        }
        node.pool.close_expired();
    }
}
