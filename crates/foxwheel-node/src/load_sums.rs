//! Load on each backend server, summed over the processes that told of it.

use foxwheel_policy::membership::ServerInstance;

use crate::load_table::ServerLoad;

/// Sums that follow what each process tells, so that one look costs the same however many
/// processes there are. Summed anew for every look, the load on 62 servers from 62 processes
/// took a front 0.4 ms of its processor for each request.
#[derive(Debug, Default)]
pub struct LoadSums {
    /// Sorted by server and start; none is without load.
    sums: Vec<ServerLoad>,
}

impl LoadSums {
    /// Adds what a process told.
    pub fn add(&mut self, loads: &[ServerLoad]) {
        for load in loads {
            match self.position(&load.server) {
                Ok(at) => {
                    self.sums[at].online += load.online;
                    self.sums[at].batch += load.batch;
                }
                Err(at) => self.sums.insert(at, load.clone()),
            }
        }
    }

    /// Takes off what [`Self::add`] added before.
    pub fn subtract(&mut self, loads: &[ServerLoad]) {
        for load in loads {
            let Ok(at) = self.position(&load.server) else {
                continue;
            };
            let sum = &mut self.sums[at];
            sum.online -= load.online;
            sum.batch -= load.batch;
            if sum.online + sum.batch == 0 {
                self.sums.remove(at);
            }
        }
    }

    /// Requests in flight at `server`: online and batch.
    pub fn get(&self, server: &ServerInstance) -> (u32, u32) {
        match self.position(server) {
            Ok(at) => (self.sums[at].online, self.sums[at].batch),
            Err(_) => (0, 0),
        }
    }

    fn position(&self, server: &ServerInstance) -> Result<usize, usize> {
        self.sums.binary_search_by(|sum| sum.server.cmp(server))
    }
}
