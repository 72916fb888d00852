//! The processes that represent the availability zone, as this process selects them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxwheel_core::ids::NodeId;
use foxwheel_policy::representatives::{self, Rank, ZoneProcess};

use crate::node::Node;
use crate::settings::Role;

impl Node {
    /// Selects the zone's representatives from the processes that are live at `now`.
    pub fn select_representatives(&self, now: Instant) {
        let mut processes: Vec<ZoneProcess> = self
            .peers
            .own_zone_peers(now)
            .into_iter()
            .map(|peer| peer.process)
            .collect();
        processes.push(ZoneProcess {
            host: self.settings.host.clone(),
            is_worker: self.settings.role == Role::Worker,
            leaving: self.is_leaving(),
            store_reached: self.store.failing_for(now).is_none(),
            silent_for: Duration::ZERO,
        });
        let selected = representatives::select(&processes);
        if self.has_subscribers(now) {
            *self
                .had_subscribers_at
                .lock()
                .expect("subscription time lock") = Some(now);
        }
        let mut current = self.representatives.lock().expect("representatives lock");
        if *current != selected {
            log::info!(speakers:? = selected; "zone representatives selected");
            *current = selected;
        }
    }

    /// Returns the representatives of the zone that this process selected, primary first.
    pub fn representatives(&self) -> Vec<NodeId> {
        self.representatives
            .lock()
            .expect("representatives lock")
            .clone()
    }

    /// Returns whether another process of the zone selected this one as a representative.
    pub fn has_subscribers(&self, now: Instant) -> bool {
        self.peers.is_representative(&self.settings.host, now)
    }

    /// Returns the addresses of the zone's processes for which this one is the representative of
    /// `rank`.
    pub fn subscribers(&self, rank: Rank, now: Instant) -> Vec<SocketAddr> {
        let own_host = &self.settings.host;
        self.peers.own_zone_addresses(now, |_, representatives| {
            representatives::highest_rank(own_host, std::iter::once(representatives)) == rank
        })
    }

    /// Returns the addresses of the processes that this one selected as representatives, and of
    /// those that selected it.
    pub fn representatives_and_subscribers(&self, now: Instant) -> Vec<SocketAddr> {
        let selected = self.representatives();
        let own_host = &self.settings.host;
        self.peers.own_zone_addresses(now, |host, representatives| {
            representatives.contains(own_host) || selected.contains(host)
        })
    }

    /// Returns the highest rank that this process has as a representative, according to itself and
    /// to the other processes of the zone.
    pub fn representative_rank(&self, now: Instant) -> Rank {
        let own_selection = self.representatives();
        let local = self.peers.own_zone_peers(now);
        let selections = local.iter().map(|peer| peer.representatives.as_slice());
        representatives::highest_rank(
            &self.settings.host,
            selections.chain([own_selection.as_slice()]),
        )
    }
}
