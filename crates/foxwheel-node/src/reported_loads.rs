//! The in-flight requests that one process last reported, and their share in [`LoadSums`].

use crate::load_sums::LoadSums;
use crate::load_table::ServerLoad;

/// The in-flight requests that one process last reported.
#[derive(Debug, Default)]
pub struct ReportedLoads {
    /// Sorted by server instance.
    loads: Vec<ServerLoad>,
    /// Whether `loads` are included in the sums. They are removed from the sums when the
    /// process is found to be dead.
    in_sums: bool,
}

impl ReportedLoads {
    /// Replaces all loads by newly reported ones and updates `sums`.
    pub fn replace_loads(&mut self, loads: Vec<ServerLoad>, sums: &mut LoadSums) {
        self.remove_from_sums(sums);
        self.loads = loads;
        sums.add_loads(&self.loads);
        self.in_sums = true;
    }

    /// Subtracts the loads from `sums` if they are included there.
    pub fn remove_from_sums(&mut self, sums: &mut LoadSums) {
        if std::mem::take(&mut self.in_sums) {
            sums.subtract_loads(&self.loads);
        }
    }

    /// Replaces the load at one server and updates `sums`.
    pub fn set_server_load(&mut self, load: ServerLoad, sums: &mut LoadSums) {
        let found = self
            .loads
            .binary_search_by(|known| known.server.cmp(&load.server));
        if let Ok(at) = found {
            let previous = self.loads.remove(at);
            sums.subtract_loads(std::slice::from_ref(&previous));
        }
        if load.requests().total() > 0 {
            let (Ok(at) | Err(at)) = found;
            sums.add_loads(std::slice::from_ref(&load));
            self.loads.insert(at, load);
        }
    }

    /// Returns whether the loads are included in the sums.
    pub fn is_in_sums(&self) -> bool {
        self.in_sums
    }

    /// Returns the loads, sorted by server instance.
    pub fn loads(&self) -> &[ServerLoad] {
        &self.loads
    }
}
