//! Quarantine of prompt parts that crash backend servers, shared between processes in the same way as
//! that of request contents.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::{PromptPartId, RequestId, ServiceName};
use foxwheel_core::metric_names::Counter;
use foxwheel_policy::part_quarantine::{
    BlamedPart, PartEvidence, PartPermission, PartQuarantine, VerdictChanges,
};
use foxwheel_policy::quarantine::ObservedCrash;
use foxwheel_policy::zone_loads::ServerFingerprint;

use crate::node::Node;
use crate::request_content::RequestContent;
use crate::settings::Role;

/// Why a request must not run now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRefusal {
    /// The part of its prompt that servers crashed under; `None` if they crashed under its content.
    pub part: Option<PromptPartId>,
    /// How long the request must not run; `None` for a batch item that only waits for the end of
    /// another one.
    pub time_left: Option<Duration>,
}

/// The run of a batch item, counted by the parts of its prompt until this is dropped.
#[derive(Debug)]
pub struct ItemPartsRun {
    node: Arc<Node>,
    content: Arc<RequestContent>,
    service: ServiceName,
}

impl Drop for ItemPartsRun {
    fn drop(&mut self) {
        let mut quarantine = self.node.lock_part_quarantine();
        quarantine.end_item_run(&self.content.shared_parts, &self.service);
    }
}

impl Node {
    /// Returns an error if an online request must not run because servers of `service` crashed under a
    /// part of its prompt.
    pub fn check_parts(
        &self,
        content: &RequestContent,
        service: &str,
        now: Instant,
    ) -> Result<(), RunRefusal> {
        let mut quarantine = self.lock_part_quarantine();
        if quarantine.is_empty() || content.shared_parts.is_empty() {
            return Ok(());
        }
        let processes = self.process_count(now);
        let host = &self.settings.host;
        let parts = &content.shared_parts;
        let permission = quarantine.begin_run(parts, service, host, processes, now);
        drop(quarantine);
        self.apply_permission(permission, service)
    }

    /// Starts the run of a batch item as far as the parts of its prompt are concerned. Returns an error if
    /// it must not run now.
    pub fn begin_item_parts(
        self: &Arc<Self>,
        content: &Arc<RequestContent>,
        service: &str,
        now: Instant,
    ) -> Result<ItemPartsRun, RunRefusal> {
        let content_crashes = {
            let quarantine = self.quarantine.lock().expect("quarantine lock");
            match quarantine.is_empty() {
                true => 0,
                false => quarantine.crashed_servers(content.fingerprint()).len(),
            }
        };
        let parts = &content.shared_parts;
        let mut quarantine = self.lock_part_quarantine();
        let permission = quarantine.begin_item_run(parts, service, content_crashes, now);
        drop(quarantine);
        self.apply_permission(permission, service)?;
        Ok(ItemPartsRun {
            node: Arc::clone(self),
            content: Arc::clone(content),
            service: service.to_owned(),
        })
    }

    fn apply_permission(
        &self,
        permission: PartPermission,
        service: &str,
    ) -> Result<(), RunRefusal> {
        match permission {
            PartPermission::Unrestricted => Ok(()),
            PartPermission::Trial(parts) => {
                log::info!(parts:? = parts, service; "trial of a quarantined prompt part");
                self.metrics.incr(Counter::TrialStarted);
                self.report_crashes();
                Ok(())
            }
            PartPermission::Refused(part, time_left) => Err(RunRefusal {
                part: Some(part),
                time_left: Some(time_left),
            }),
            PartPermission::Busy(part) => Err(RunRefusal {
                part: Some(part),
                time_left: None,
            }),
        }
    }

    /// Returns the number of processes that may begin trials, including this one.
    fn process_count(&self, now: Instant) -> usize {
        let workers = self.peers.live_processes(Role::Worker, now).len();
        1 + self.peers.other_front_count(now) + workers
    }

    /// Records the parts of a request that ran at a server when it crashed.
    pub fn record_part_crash(
        &self,
        content: &RequestContent,
        request_id: &RequestId,
        crash: &ObservedCrash,
    ) {
        let mut hasher = DefaultHasher::new();
        request_id.hash(&mut hasher);
        let mut quarantine = self.lock_part_quarantine();
        let parts = &content.shared_parts;
        quarantine.record_crash(parts, hasher.finish(), crash, Instant::now());
        let changes = quarantine.take_changes();
        drop(quarantine);
        self.log_verdicts(&changes, "observed");
    }

    /// Records that a server of `service` responded to a request with this content, completely or for
    /// longer than it could if a part of the prompt crashed it.
    pub fn record_part_success(&self, content: &RequestContent, service: &str) {
        if content.shared_parts.is_empty() {
            return;
        }
        let mut quarantine = self.lock_part_quarantine();
        let parts = &content.shared_parts;
        let cleared = quarantine.record_success(parts, service, Instant::now());
        let changes = quarantine.take_changes();
        drop(quarantine);
        if cleared {
            self.log_verdicts(&changes, "response");
            self.report_crashes();
        }
    }

    /// Adds the evidence received from `source`, which is a peer's address or `store`.
    pub fn apply_part_evidence(&self, evidence: &PartEvidence, source: &str) {
        let mut quarantine = self.lock_part_quarantine();
        let is_changed = quarantine.merge(evidence, Instant::now());
        let changes = quarantine.take_changes();
        drop(quarantine);
        if is_changed {
            self.log_verdicts(&changes, source);
            self.report_crashes();
        }
    }

    /// Returns the servers whose crashes a blamed part explains, sorted.
    pub fn servers_explained_by_parts(&self) -> Vec<ServerFingerprint> {
        self.lock_part_quarantine().explained_servers()
    }

    /// Locks the crashes by prompt part.
    pub fn lock_part_quarantine(&self) -> std::sync::MutexGuard<'_, PartQuarantine> {
        self.part_quarantine.lock().expect("part quarantine lock")
    }

    /// `source` tells where the last of the crashes, or what cleared the part, is known from.
    fn log_verdicts(&self, changes: &VerdictChanges, source: &str) {
        for blamed in &changes.blamed {
            let BlamedPart {
                service,
                part,
                crashes,
                is_certain,
                succeeded_before,
                ..
            } = blamed;
            let time_left_ms = blamed.duration().as_millis() as u64;
            let servers: Vec<String> = blamed
                .servers
                .iter()
                .map(|server| format!("{server:016x}"))
                .collect();
            let servers = servers.join(", ");
            log::warn!(part, service, source, crashes, is_certain, succeeded_before, time_left_ms, servers; "prompt part quarantined");
            self.metrics.incr(Counter::PartQuarantined);
        }
        for lifted in &changes.lifted {
            log::info!(part = lifted.part, service = lifted.service, source; "prompt part cleared of crashes");
        }
    }
}
