//! How long the requests of each service hold their slots, and when callers that found none
//! come back.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use foxwheel_core::ids::ServiceName;
use foxwheel_policy::admission::{RetrySchedule, SlotSupply};
use foxwheel_policy::moving_average::MovingAverage;

/// Hold time assumed before a request of the service ended: a generation of ordinary length.
const ASSUMED_HOLD: Duration = Duration::from_millis(500);

/// The services that this front has sent requests to.
#[derive(Debug, Default)]
pub struct ServiceHoldTimes(Mutex<Vec<Pace>>);

#[derive(Debug)]
struct Pace {
    service: ServiceName,
    hold_time: MovingAverage,
    returns: RetrySchedule,
}

impl ServiceHoldTimes {
    /// Takes note of a request of `service` that was served and held its slot for `held`.
    pub fn record_hold_time(&self, service: &ServiceName, held: Duration) {
        self.with(service, |pace| pace.hold_time.push_duration(held));
    }

    /// How long a request of `service` holds its slot.
    pub fn hold_time(&self, service: &ServiceName) -> Duration {
        self.with(service, |pace| pace.hold_time())
    }

    /// When a caller of `service` should come back who is refused now because all `slots` of
    /// its servers are taken; `fronts` share them.
    pub fn retry_after(
        &self,
        service: &ServiceName,
        slots: u32,
        fronts: usize,
        now: Instant,
    ) -> Duration {
        self.with(service, |pace| {
            let supply = SlotSupply {
                slots,
                hold_time: pace.hold_time(),
                fronts,
            };
            pace.returns.next_retry_after(supply, rand::random(), now)
        })
    }

    fn with<T>(&self, service: &ServiceName, act: impl FnOnce(&mut Pace) -> T) -> T {
        let mut paces = self.0.lock().expect("service paces lock");
        let found = paces.binary_search_by(|pace| pace.service.cmp(service));
        let at = found.unwrap_or_else(|at| {
            let pace = Pace {
                service: service.clone(),
                hold_time: MovingAverage::default(),
                returns: RetrySchedule::default(),
            };
            paces.insert(at, pace);
            at
        });
        act(&mut paces[at])
    }
}

impl Pace {
    fn hold_time(&self) -> Duration {
        self.hold_time.duration().unwrap_or(ASSUMED_HOLD)
    }
}
