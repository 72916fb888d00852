//! Processes of other zones that have requests in flight at this zone's servers.

use std::time::Instant;

use foxwheel_core::ids::{Incarnation, NodeId, Zone};
use foxwheel_policy::load_reports::DEAD_TIMEOUT;

use crate::load_sums::LoadSums;
use crate::peer_messages::CrossZoneLoads;
use crate::reported_loads::ReportedLoads;

#[derive(Debug)]
struct CrossZoneClient {
    host: NodeId,
    zone: Zone,
    incarnation: Incarnation,
    sequence: u64,
    told: ReportedLoads,
    heard_at: Instant,
}

/// The guests that are not silent.
#[derive(Debug, Default)]
pub struct CrossZoneClients {
    /// Sorted by host.
    cross_zone_clients: Vec<CrossZoneClient>,
}

impl CrossZoneClients {
    /// Takes what a guest told, unless something newer is known; answers whether it is news.
    pub fn take(&mut self, told: &CrossZoneLoads, sums: &mut LoadSums, now: Instant) -> bool {
        let found = self
            .cross_zone_clients
            .binary_search_by(|guest| guest.host.cmp(&told.host));
        let order = (told.incarnation, told.sequence);
        if let Ok(at) = found {
            let known = &self.cross_zone_clients[at];
            if order <= (known.incarnation, known.sequence) {
                return false;
            }
        }
        let at = found.unwrap_or_else(|at| {
            let guest = CrossZoneClient {
                host: told.host.clone(),
                zone: told.zone.clone(),
                incarnation: told.incarnation,
                sequence: told.sequence,
                told: ReportedLoads::default(),
                heard_at: now,
            };
            self.cross_zone_clients.insert(at, guest);
            at
        });
        let guest = &mut self.cross_zone_clients[at];
        (guest.incarnation, guest.sequence) = order;
        guest.heard_at = now;
        guest.told.replace(told.loads.clone(), sums);
        true
    }

    /// The load of the guests from `zone`.
    pub fn of_zone(&self, zone: &Zone) -> LoadSums {
        let mut sums = LoadSums::default();
        for guest in self
            .cross_zone_clients
            .iter()
            .filter(|guest| guest.zone == *zone)
        {
            sums.add(guest.told.loads());
        }
        sums
    }

    /// Forgets guests that fell silent; answers when the next one would.
    pub fn forget_silent(&mut self, sums: &mut LoadSums, now: Instant) -> Option<Instant> {
        self.cross_zone_clients.retain_mut(|guest| {
            let lives = now.duration_since(guest.heard_at) < DEAD_TIMEOUT;
            if !lives {
                guest.told.remove_from_sums(sums);
            }
            lives
        });
        let deaths = self
            .cross_zone_clients
            .iter()
            .map(|guest| guest.heard_at + DEAD_TIMEOUT);
        deaths.min()
    }
}
