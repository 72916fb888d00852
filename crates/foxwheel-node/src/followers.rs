//! Following the platform's store: the configuration, the backend servers, the other
//! processes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxwheel_core::ids::{ServerId, Version};
use foxwheel_platform::store::{Change, EncodedJson, Object, StoreError, Watched, Write, Written};
use foxwheel_platform::{config, servers};
use foxwheel_policy::membership::BackendServer;
use foxwheel_policy::routes::Config;
use tokio_util::sync::CancellationToken;

use crate::node::Node;
use crate::peer_messages::Contact;
use crate::settings::Role;
use crate::store_access::Backoff;

/// How long one watch waits. Longer costs fewer calls; a connection that fell silent is
/// found by its keep-alive probes and not by this.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// How often servers whose entries vanished are looked over.
const EXPIRE_EVERY: Duration = Duration::from_millis(200);

/// How long the store may fail before a peer is asked for what it knows.
const ASK_PEERS_AFTER: Duration = Duration::from_millis(600);

/// Time between questions to peers while the store is out of reach.
const ASK_PEERS_EVERY: Duration = Duration::from_millis(1_000);

/// How often the other processes' entries are read again.
const FIND_PROCESSES_EVERY: Duration = Duration::from_secs(45);

/// Pause after a watch that brought changes of servers. Servers register and drain together;
/// far below the time within which a draining server must get no more work (2 s).
const SERVER_CHANGES_PAUSE: Duration = Duration::from_millis(150);

/// Kind of the entries with which processes announce themselves.
const NODES_KIND: &str = "foxwheel-nodes";

/// What follows one kind of object.
trait Follower: Send + Sync + 'static {
    /// The kind.
    const KIND: &'static str;

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
            find_processes(&node),
            expire(&node),
            ask_peers(&node),
            announce(&node),
        )
    };
    tokio::select! {
        () = cancel.cancelled() => {}
        _ = following => {}
    }
}

async fn follow<F: Follower>(node: &Node, follower: F) {
    let mut backoff = Backoff::default();
    let mut revision = None;
    let mut failing = false;
    loop {
        let step = follow_once(node, &follower, revision).await;
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
                node.store.pause(backoff.pause()).await;
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
        Watched::Changes { changes, revision } => {
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
        Watched::HistoryGone => {
            log::info!(kind = F::KIND, revision; "history gone, listing again");
            Ok(None)
        }
    }
}

struct ConfigFollower;

impl Follower for ConfigFollower {
    const KIND: &'static str = config::KIND;

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
            put_in_force(node, config, "store");
        }
        Err(e) => {
            log::warn!(revision = object.revision, error:% = e; "configuration refused, the one before stays");
        }
    }
}

/// Puts `config` in force if it is newer.
pub fn put_in_force(node: &Node, config: Config, source: &str) {
    let version = config.version;
    let routes = config.routes.len();
    let mut in_force = node.config.lock().expect("config lock");
    let before = in_force.version();
    if in_force.offer(config) {
        log::info!(version, before, routes, source; "configuration in force");
    }
}

#[derive(Default)]
struct ServerFollower {
    /// Spoiled entries and the revisions at which they were logged; sorted by name.
    spoiled: Mutex<Vec<(ServerId, Version)>>,
}

impl Follower for ServerFollower {
    const KIND: &'static str = servers::KIND;
    const PAUSE: Duration = SERVER_CHANGES_PAUSE;

    fn lost(&self, node: &Node) {
        node.directory.lock().expect("directory lock").source_lost();
    }

    fn regained(&self, node: &Node) {
        let mut directory = node.directory.lock().expect("directory lock");
        directory.source_back(Instant::now());
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
        let taken = directory.take_list(listed, revision, Instant::now());
        for id in spoiled.into_iter().filter(|_| taken) {
            directory.refuse(id);
        }
        log::info!(servers, spoiled_entries, revision, taken; "backend servers listed");
    }

    fn advance(&self, node: &Node, revision: u64) {
        let mut directory = node.directory.lock().expect("directory lock");
        directory.advance(revision);
    }

    fn take_change(&self, node: &Node, change: Change) {
        let id = change.object.name.clone();
        let mut directory = node.directory.lock().expect("directory lock");
        if change.removed {
            log::info!(server = id, revision = change.object.revision; "backend server delisted");
            directory.remove(&id, Instant::now());
        } else if let Some(server) = self.decode(&change.object) {
            log::info!(server = id, incarnation = server.incarnation, revision = change.object.revision, state:? = server.state, service = server.service; "backend server changed");
            directory.upsert(server);
        } else {
            directory.refuse(&id);
        }
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
        let failing = node.store.failing_for(now).is_some();
        let gone = {
            let mut directory = node.directory.lock().expect("directory lock");
            // The watch of the servers may wait through an outage that other calls show.
            match failing {
                true => directory.source_lost(),
                false => directory.source_back(now),
            }
            directory.expire(now)
        };
        if !gone.is_empty() {
            log::info!(servers:? = gone; "backend servers gone");
            node.loads.forget(&gone);
        }
        node.pool.close_expired();
    }
}

/// While the store is out of reach, takes what a peer knows.
async fn ask_peers(node: &Node) {
    loop {
        tokio::time::sleep(ASK_PEERS_EVERY).await;
        let now = Instant::now();
        let failing = node.store.failing_for(now);
        if failing.is_none_or(|failing| failing < ASK_PEERS_AFTER) {
            continue;
        }
        for (host, addr) in peers_in_turn(node, now) {
            let Ok(knowledge) = node.peer_calls.knowledge(addr).await else {
                continue;
            };
            if !knowledge.store_reached {
                continue;
            }
            if let Some(config) = knowledge.config {
                put_in_force(node, config, "peer");
            }
            let Some(revision) = knowledge.servers_revision else {
                continue;
            };
            let servers = knowledge.servers.len();
            let mut directory = node.directory.lock().expect("directory lock");
            let taken = directory.take_list(knowledge.servers, revision, Instant::now());
            log::info!(peer = host, servers, revision, taken; "state asked of a peer");
            break;
        }
    }
}

fn peers_in_turn(node: &Node, now: Instant) -> Vec<(String, SocketAddr)> {
    let mut peers = node.peers.live(Role::Worker, now);
    peers.extend(node.peers.live(Role::Front, now));
    let first = rand::random_range(0..peers.len().max(1));
    peers.rotate_left(first);
    peers
}

/// Reads where the other processes are. A process that starts later is heard by its
/// heartbeats, so this is a start and a remedy, not a watch: a watch would wake every
/// process for each one that starts.
async fn find_processes(node: &Node) {
    let mut backoff = Backoff::default();
    loop {
        match node.store.list(NODES_KIND).await {
            Ok(listing) => {
                for object in &listing.objects {
                    note_process(node, object);
                }
                backoff = Backoff::default();
                tokio::time::sleep(FIND_PROCESSES_EVERY).await;
            }
            Err(_) => node.store.pause(backoff.pause()).await,
        }
    }
}

fn note_process(node: &Node, object: &Object) {
    let own = node.settings.peer_address();
    match serde_json::from_value::<Contact>(object.spec.clone()) {
        Ok(contact) if contact.addr != own => node.peers.note_contact(&contact, Instant::now()),
        Ok(_) => {}
        Err(e) => log::warn!(host = object.name, error:% = e; "process entry not readable"),
    }
}

/// Announces this process once, so that the others send it heartbeats.
async fn announce(node: &Node) {
    let own = node.settings.peer_address();
    for seed in &node.settings.seeds {
        let addr = SocketAddr::new(seed.ip(), own.port());
        node.peers.note_address(addr, own, Instant::now());
    }
    let spec: EncodedJson = serde_json::json!(node.contact()).to_string();
    let kind = NODES_KIND.to_owned();
    let name = node.settings.host.clone();
    let create = Write::Create {
        kind: kind.clone(),
        name: name.clone(),
        spec: spec.clone(),
    };
    let replace = Write::Replace {
        kind,
        name,
        spec,
        revision: None,
    };
    let mut backoff = Backoff::default();
    loop {
        let written = match node.store.write(&create).await {
            Ok(Written::Conflict(_)) => node.store.write(&replace).await,
            other => other,
        };
        match written {
            Ok(Written::Done(_)) => return log::info!(addr:% = own; "process announced"),
            Ok(_) | Err(_) => node.store.pause(backoff.pause()).await,
        }
    }
}
