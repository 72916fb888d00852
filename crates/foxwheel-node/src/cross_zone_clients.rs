//! Keeps the load reports of cross-zone clients: processes of other zones that have requests in
//! flight at this zone's servers.

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
    reported: ReportedLoads,
    last_report_at: Instant,
}

/// The cross-zone clients that reported their load recently.
#[derive(Debug, Default)]
pub struct CrossZoneClients {
    /// Sorted by host.
    clients: Vec<CrossZoneClient>,
}

impl CrossZoneClients {
    /// Stores a client's report and updates `sums`, the summed loads that processes reported.
    /// Returns false and changes nothing if an equally new or newer report of the client is known.
    pub fn apply_report(
        &mut self,
        report: &CrossZoneLoads,
        sums: &mut LoadSums,
        now: Instant,
    ) -> bool {
        let found = self
            .clients
            .binary_search_by(|client| client.host.cmp(&report.host));
        let report_order = (report.incarnation, report.sequence);
        if let Ok(at) = found {
            let known = &self.clients[at];
            if report_order <= (known.incarnation, known.sequence) {
                return false;
            }
        }
        let at = found.unwrap_or_else(|at| {
            let client = CrossZoneClient {
                host: report.host.clone(),
                zone: report.zone.clone(),
                incarnation: report.incarnation,
                sequence: report.sequence,
                reported: ReportedLoads::default(),
                last_report_at: now,
            };
            self.clients.insert(at, client);
            at
        });
        let client = &mut self.clients[at];
        (client.incarnation, client.sequence) = report_order;
        client.last_report_at = now;
        client.reported.replace_loads(report.loads.clone(), sums);
        true
    }

    /// Returns the summed load of the clients in `zone`.
    pub fn loads_from_zone(&self, zone: &Zone) -> LoadSums {
        let mut sums = LoadSums::default();
        for client in self.clients.iter().filter(|client| client.zone == *zone) {
            sums.add_loads(client.reported.loads());
        }
        sums
    }

    /// Removes the clients without a recent report, and subtracts their loads from `sums`.
    /// Returns when the next client expires if it sends no further report.
    pub fn remove_expired(&mut self, sums: &mut LoadSums, now: Instant) -> Option<Instant> {
        self.clients.retain_mut(|client| {
            let is_live = now.duration_since(client.last_report_at) < DEAD_TIMEOUT;
            if !is_live {
                client.reported.remove_from_sums(sums);
            }
            is_live
        });
        let expiries = self
            .clients
            .iter()
            .map(|client| client.last_report_at + DEAD_TIMEOUT);
        expiries.min()
    }
}
