//! How recent the state is that a process has of the platform's store, from its own watches or from
//! the store watchers of its zone.

use std::time::{Duration, Instant};

use foxwheel_policy::watcher_selection::{self, WatchState};

use crate::node::Node;
use crate::peer_calls::StoreStateVersion;

impl Node {
    /// Returns whether this process should watch the platform's store itself.
    pub fn should_watch_store(&self, now: Instant) -> bool {
        let had_subscribers_at = *self
            .had_subscribers_at
            .lock()
            .expect("subscription time lock");
        let representatives = self.representatives.lock().expect("representatives lock");
        watcher_selection::should_watch_store(WatchState {
            selects_itself: representatives.contains(&self.settings.host),
            selected_by_peer_ago: had_subscribers_at.map(|at| now.duration_since(at)),
            synced_ago: self.peer_state_age(now),
        })
    }

    /// Returns the age of the store state that this process has from others: the time since the
    /// store last responded to a store watcher that has no newer state than this process. None if
    /// that never happened.
    fn peer_state_age(&self, now: Instant) -> Option<Duration> {
        let confirmed_at = self.peers.state_current_at(self.state_version());
        let mut current_at = self.peer_state_current_at.lock().expect("peer state lock");
        *current_at = (*current_at).max(confirmed_at);
        current_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns whether this process watches the platform's store and the store responds.
    pub fn is_watching_store(&self, now: Instant) -> bool {
        let is_watching = self.watched_config.is_watched() && self.watched_servers.is_watched();
        is_watching && self.store.failing_for(now).is_none()
    }

    /// Returns whether this process has the store's current state, because it watches the store or
    /// recently synced with a process that does.
    pub fn is_current(&self, now: Instant) -> bool {
        let synced_ago = self.peer_state_age(now);
        self.is_watching_store(now)
            || synced_ago.is_some_and(|ago| ago < watcher_selection::MAX_SYNC_AGE)
    }

    /// Returns the time since the store last confirmed the configuration and the server list to this
    /// process, which watches it. Returns None if it does not watch it.
    pub fn watched_state_age(&self, now: Instant) -> Option<Duration> {
        let since_response = self.store.time_since_response(now);
        let config = self.watched_config.age(since_response, now)?;
        let servers = self.watched_servers.age(since_response, now)?;
        Some(config.max(servers))
    }

    /// Returns the time since the server list of this process was last confirmed, by its own watch or
    /// by a store watcher of the zone. None if that never happened.
    pub fn server_list_age(&self, now: Instant) -> Option<Duration> {
        let since_response = self.store.time_since_response(now);
        let own = self.watched_servers.age(since_response, now);
        own.or_else(|| self.peer_state_age(now))
    }

    /// Returns the versions of the configuration and of the server list that this process has.
    pub fn state_version(&self) -> StoreStateVersion {
        let config_version = self.config.lock().expect("config lock").version();
        let directory = self.directory.lock().expect("directory lock");
        StoreStateVersion {
            config_version,
            servers_revision: directory.revision(),
        }
    }
}
