//! The batch items that run at one process, by the parts of their prompts.

use foxwheel_core::ids::{PromptPartId, ServiceName};

/// Counts of running items.
#[derive(Debug, Default)]
pub struct RunningItems {
    /// Number of running items by service and part; sorted, never 0.
    counts: Vec<(ServiceName, PromptPartId, u32)>,
}

impl RunningItems {
    /// Records that an item with these parts starts.
    pub fn add(&mut self, service: &str, parts: &[PromptPartId]) {
        for part in parts {
            match self.position(service, part) {
                Ok(at) => self.counts[at].2 += 1,
                Err(at) => {
                    let entry = (service.to_owned(), part.clone(), 1);
                    self.counts.insert(at, entry);
                }
            }
        }
    }

    /// Records that an item with these parts has ended.
    pub fn remove(&mut self, service: &str, parts: &[PromptPartId]) {
        for part in parts {
            let Ok(at) = self.position(service, part) else {
                continue;
            };
            self.counts[at].2 -= 1;
            if self.counts[at].2 == 0 {
                self.counts.remove(at);
            }
        }
    }

    /// Returns whether an item with that part runs at the service.
    pub fn contains(&self, service: &str, part: &str) -> bool {
        self.position(service, part).is_ok()
    }

    fn position(&self, service: &str, part: &str) -> Result<usize, usize> {
        self.counts.binary_search_by(|(known_service, known, _)| {
            (known_service.as_str(), known.as_str()).cmp(&(service, part))
        })
    }
}
