//! Processes of other zones that have requests in flight at this zone's servers.

use std::time::Instant;

use foxwheel_core::ids::{Incarnation, NodeId, Zone};
use foxwheel_policy::load_reports::DEAD_AFTER;

use crate::load_sums::LoadSums;
use crate::peer_messages::GuestLoads;
use crate::told_loads::ToldLoads;

#[derive(Debug)]
struct Guest {
    host: NodeId,
    zone: Zone,
    incarnation: Incarnation,
    sequence: u64,
    told: ToldLoads,
    heard_at: Instant,
}

/// The guests that are not silent.
#[derive(Debug, Default)]
pub struct Guests {
    /// Sorted by host.
    guests: Vec<Guest>,
}

impl Guests {
    /// Takes what a guest told, unless something newer is known; answers whether it is news.
    pub fn take(&mut self, told: &GuestLoads, sums: &mut LoadSums, now: Instant) -> bool {
        let found = self
            .guests
            .binary_search_by(|guest| guest.host.cmp(&told.host));
        let order = (told.incarnation, told.sequence);
        if let Ok(at) = found {
            let known = &self.guests[at];
            if order <= (known.incarnation, known.sequence) {
                return false;
            }
        }
        let at = found.unwrap_or_else(|at| {
            let guest = Guest {
                host: told.host.clone(),
                zone: told.zone.clone(),
                incarnation: told.incarnation,
                sequence: told.sequence,
                told: ToldLoads::default(),
                heard_at: now,
            };
            self.guests.insert(at, guest);
            at
        });
        let guest = &mut self.guests[at];
        (guest.incarnation, guest.sequence) = order;
        guest.heard_at = now;
        guest.told.replace(told.loads.clone(), sums);
        true
    }

    /// The load of the guests from `zone`.
    pub fn of_zone(&self, zone: &Zone) -> LoadSums {
        let mut sums = LoadSums::default();
        for guest in self.guests.iter().filter(|guest| guest.zone == *zone) {
            sums.add(guest.told.loads());
        }
        sums
    }

    /// Forgets guests that fell silent; answers when the next one would.
    pub fn forget_silent(&mut self, sums: &mut LoadSums, now: Instant) -> Option<Instant> {
        self.guests.retain_mut(|guest| {
            let lives = now.duration_since(guest.heard_at) < DEAD_AFTER;
            if !lives {
                guest.told.uncount(sums);
            }
            lives
        });
        let deaths = self.guests.iter().map(|guest| guest.heard_at + DEAD_AFTER);
        deaths.min()
    }
}
