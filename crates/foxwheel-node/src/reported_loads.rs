//! What one process has in flight at servers, as it told last, and the sums it is part of.

use crate::load_sums::LoadSums;
use crate::load_table::ServerLoad;

/// What one process has in flight at servers, as it told last.
#[derive(Debug, Default)]
pub struct ReportedLoads {
    /// Sorted by server and start.
    loads: Vec<ServerLoad>,
    /// They are in the sums, until the death of their process is noticed.
    counted: bool,
}

impl ReportedLoads {
    /// Takes the loads in place of those before.
    pub fn replace(&mut self, loads: Vec<ServerLoad>, sums: &mut LoadSums) {
        self.remove_from_sums(sums);
        self.loads = loads;
        sums.add(&self.loads);
        self.counted = true;
    }

    /// Takes the loads off the sums, if they are in them.
    pub fn remove_from_sums(&mut self, sums: &mut LoadSums) {
        if std::mem::take(&mut self.counted) {
            sums.subtract(&self.loads);
        }
    }

    /// Takes the load at one server in place of the one before.
    pub fn set(&mut self, load: ServerLoad, sums: &mut LoadSums) {
        let found = self
            .loads
            .binary_search_by(|known| known.server.cmp(&load.server));
        if let Ok(at) = found {
            let before = self.loads.remove(at);
            sums.subtract(std::slice::from_ref(&before));
        }
        if load.requests().total() > 0 {
            let (Ok(at) | Err(at)) = found;
            sums.add(std::slice::from_ref(&load));
            self.loads.insert(at, load);
        }
    }

    /// Whether the loads are in the sums.
    pub fn is_counted(&self) -> bool {
        self.counted
    }

    /// The loads; sorted by server and start.
    pub fn loads(&self) -> &[ServerLoad] {
        &self.loads
    }
}
