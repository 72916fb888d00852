//! How long the requests of each service hold a slot of a backend server, and when callers that
//! were refused because all slots were taken should retry.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use foxwheel_core::ids::ServiceName;
use foxwheel_policy::admission::{RetrySchedule, SlotSupply};
use foxwheel_policy::moving_average::MovingAverage;

/// Hold time assumed until the first request of a service ends: the duration of a text
/// generation of ordinary length.
const DEFAULT_HOLD_TIME: Duration = Duration::from_millis(500);

/// Hold times and retry times of the services that this front sends requests to; sorted by
/// service.
#[derive(Debug, Default)]
pub struct ServiceHoldTimes(Mutex<Vec<ServiceEntry>>);

#[derive(Debug)]
struct ServiceEntry {
    service: ServiceName,
    hold_time: MovingAverage,
    retry_schedule: RetrySchedule,
}

impl ServiceHoldTimes {
    /// Records that a request of `service` was served and held its slot for `hold_time`.
    pub fn record_hold_time(&self, service: &ServiceName, hold_time: Duration) {
        self.with_entry(service, |entry| entry.hold_time.push_duration(hold_time));
    }

    /// Returns the moving average of how long a request of `service` holds its slot.
    pub fn hold_time(&self, service: &ServiceName) -> Duration {
        self.with_entry(service, |entry| entry.hold_time())
    }

    /// Returns after how long a caller of `service` should retry that is refused now because all
    /// `slots` of the service's servers are taken. `fronts` is the number of fronts that share
    /// these slots.
    pub fn retry_after(
        &self,
        service: &ServiceName,
        slots: u32,
        fronts: usize,
        now: Instant,
    ) -> Duration {
        self.with_entry(service, |entry| {
            let supply = SlotSupply {
                slots,
                hold_time: entry.hold_time(),
                fronts,
            };
            entry
                .retry_schedule
                .next_retry_after(supply, rand::random(), now)
        })
    }

    fn with_entry<T>(
        &self,
        service: &ServiceName,
        update: impl FnOnce(&mut ServiceEntry) -> T,
    ) -> T {
        let mut entries = self.0.lock().expect("service hold times lock");
        let found = entries.binary_search_by(|entry| entry.service.cmp(service));
        let index = found.unwrap_or_else(|index| {
            let entry = ServiceEntry {
                service: service.clone(),
                hold_time: MovingAverage::default(),
                retry_schedule: RetrySchedule::default(),
            };
            entries.insert(index, entry);
            index
        });
        update(&mut entries[index])
    }
}

impl ServiceEntry {
    fn hold_time(&self) -> Duration {
        self.hold_time.duration().unwrap_or(DEFAULT_HOLD_TIME)
    }
}
