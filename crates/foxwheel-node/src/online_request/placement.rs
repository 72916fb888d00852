//! Reserves a slot at a backend server for an attempt.

use std::time::{Duration, Instant};

use foxwheel_core::metric_names::Counter;
use foxwheel_policy::placement::{self, Candidate};

use crate::load_table::{InFlight, WorkClass};
use crate::node::Node;
use crate::online_request::{ChosenServer, OnlineRequest};

/// How long a request waits at the front for a slot when every server is full: a quarter of a
/// usual target latency, so that a refused caller can still be served in time elsewhere.
const SLOT_WAIT_TIMEOUT: Duration = Duration::from_millis(60);

/// The server of the next attempt.
pub(super) enum Placement {
    Reserved(InFlight),
    ServersFull,
    NoServer,
}

impl OnlineRequest {
    /// Reserves a slot at a server for the next attempt.
    pub(super) async fn reserve_slot(&mut self, node: &Node) -> Placement {
        if let Some(is_shared) = self.trial.as_ref().map(|trial| trial.is_shared) {
            return self.reserve_trial_slot(node, is_shared);
        }
        let wait_until = (Instant::now() + SLOT_WAIT_TIMEOUT).min(self.response_deadline);
        loop {
            let now = Instant::now();
            let version = self.required_version();
            let mut candidates =
                node.online_candidates(&self.service, version, &self.tried_servers, now);
            if candidates.is_empty() && self.attempts.count() > 0 {
                // Every server was tried. The least loaded one may succeed now.
                candidates = node.online_candidates(&self.service, version, &[], now);
            }
            let is_second = self.attempts.in_progress() > 0;
            if is_second && !self.may_use_silent_servers {
                candidates.retain(|candidate| !candidate.is_suspected);
            }
            if candidates.is_empty() {
                return Placement::NoServer;
            }
            let zone = &node.settings.availability_zone;
            let draw = rand::random::<u32>() as usize;
            let pick = match (is_second, self.origin.is_some()) {
                (true, _) => placement::pick_second(&candidates, zone, draw),
                (false, true) => placement::pick_resumed(&candidates, zone, draw),
                (false, false) => placement::pick_online(&candidates, zone, draw),
            };
            if let Some(pick) = pick {
                return self.reserve(node, pick);
            }
            // It would take the slots that requests without a server wait for.
            if is_second {
                return Placement::ServersFull;
            }
            let capacity_changed = async {
                tokio::select! {
                    () = node.loads.slot_freed.notified() => {}
                    () = node.peers_changed.notified() => {}
                }
            };
            let deadline = tokio::time::Instant::from_std(wait_until);
            if tokio::time::timeout_at(deadline, capacity_changed)
                .await
                .is_err()
            {
                return Placement::ServersFull;
            }
        }
    }

    /// Reserves a slot at the server of the trial. If that is full, only one request of this process
    /// with the same content is queued there.
    fn reserve_trial_slot(&mut self, node: &Node, is_shared: bool) -> Placement {
        let version = self.required_version();
        let now = Instant::now();
        let Some(server) = node.trial_candidate(&self.service, version, &self.content, now) else {
            return Placement::NoServer;
        };
        let candidates = [server];
        let zone = &node.settings.availability_zone;
        if is_shared && placement::pick_online(&candidates, zone, 0).is_none() {
            return Placement::ServersFull;
        }
        let [server] = &candidates;
        log::info!(request_id = self.caller.id, content = self.content.fingerprint(), server = server.id; "trial of a quarantined request");
        node.metrics.incr(Counter::TrialStarted);
        self.reserve(node, server)
    }

    fn reserve(&mut self, node: &Node, pick: &Candidate) -> Placement {
        let hold_time = node.hold_times.hold_time(&self.service);
        self.chosen_server = Some(ChosenServer {
            id: pick.id.clone(),
            in_flight: pick.in_flight,
            slots: pick.slots,
            expected_wait: placement::expected_wait(pick, hold_time),
            list_age: node.server_list_age(Instant::now()),
        });
        let instance = pick.instance();
        Placement::Reserved(node.loads.begin_request(&instance, WorkClass::Online))
    }
}
