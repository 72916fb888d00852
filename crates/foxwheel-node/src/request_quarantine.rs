//! Quarantine of requests that crash backend servers, shared between processes.
//!
//! Each heartbeat, and each load summary of a zone representative, carries a digest of the
//! crashes that its sender knows of. A process that receives a digest other than its own fetches
//! the sender's crash reports. A process that starts, resumes or was partitioned thus receives
//! every crash that it missed. As long as nothing crashes, the digest costs one byte per message.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxwheel_core::ids::{ContentFingerprint, RequestId};
use foxwheel_core::metric_names::Counter;
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::placement::Candidate;
use foxwheel_policy::quarantine::{
    self, CrashReport, ObservedCrash, Quarantine, QuarantineDigest, QuarantineEvidence,
    RunPermission, TrialEnd,
};
use foxwheel_policy::retry::AttemptOutcome;
use foxwheel_policy::zone_loads;

use crate::node::Node;
use crate::part_quarantine::{ItemPartsRun, RunRefusal};
use crate::request_content::RequestContent;

/// How often a process compares its digest with those of its peers even without a message from
/// them, in case a wake-up was missed or a response was lost.
const DIGEST_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum time between two comparisons of digests, as several messages report the same crash.
const MIN_DIGEST_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Node {
    /// Starts an online run of this content at a server of `service`. Returns the trial that the run
    /// is, or `None` if the content may run at any server. Returns an error if it must not run now.
    pub fn begin_run(
        self: &Arc<Self>,
        content: &RequestContent,
        service: &str,
        now: Instant,
    ) -> Result<Option<TrialRun>, RunRefusal> {
        self.check_parts(content, service, now)?;
        let explained = self.servers_explained_by_parts();
        self.begin_permitted_run(content, |quarantine, fingerprint| {
            match quarantine.is_excused(fingerprint, &explained) {
                true => RunPermission::Unrestricted,
                false => quarantine.begin_run(fingerprint, now),
            }
        })
    }

    /// Starts a run of a batch item with this content, as [`Self::begin_run`] does for online
    /// requests. The first value must be kept until the run has ended.
    pub fn begin_item_run(
        self: &Arc<Self>,
        content: &Arc<RequestContent>,
        service: &str,
        now: Instant,
    ) -> Result<(ItemPartsRun, Option<TrialRun>), RunRefusal> {
        let parts = self.begin_item_parts(content, service, now)?;
        let trial = self.begin_permitted_run(content, |quarantine, fingerprint| {
            quarantine.begin_item_run(fingerprint, now)
        });
        Ok((parts, trial?))
    }

    fn begin_permitted_run(
        self: &Arc<Self>,
        content: &RequestContent,
        begin: impl FnOnce(&mut Quarantine, &str) -> RunPermission,
    ) -> Result<Option<TrialRun>, RunRefusal> {
        let mut quarantine = self.quarantine.lock().expect("quarantine lock");
        if quarantine.is_empty() {
            return Ok(None);
        }
        let fingerprint = content.fingerprint();
        match begin(&mut quarantine, fingerprint) {
            RunPermission::Unrestricted => Ok(None),
            RunPermission::Trial { is_shared } => Ok(Some(TrialRun {
                node: Arc::clone(self),
                content: fingerprint.clone(),
                is_shared,
                end: TrialEnd::Over,
            })),
            RunPermission::Refused(time_left) => Err(RunRefusal {
                part: None,
                time_left: Some(time_left),
            }),
        }
    }

    /// Returns the server of `service` at which every process tries this content, or `None` if no
    /// server can be used. If `version` is given, only servers of that version can.
    pub fn trial_candidate(
        &self,
        service: &str,
        version: Option<&str>,
        content: &RequestContent,
        now: Instant,
    ) -> Option<Candidate> {
        let content = content.fingerprint();
        let crashed = {
            let quarantine = self.quarantine.lock().expect("quarantine lock");
            quarantine.crashed_servers(content)
        };
        let mut servers = self.servers_of_service(service, version);
        servers.sort_by_cached_key(|server| {
            let fingerprint = zone_loads::fingerprint(server);
            let has_crashed = crashed.binary_search(&fingerprint).is_ok();
            (
                has_crashed,
                Reverse(quarantine::trial_rank(content, server)),
            )
        });
        let usable = || {
            let servers = servers.iter();
            servers.filter_map(|server| self.candidate(server, now))
        };
        let responding = usable().find(|candidate| !candidate.is_suspected);
        responding.or_else(|| usable().next())
    }

    /// Records that a server crashed while it ran a request with this content. The next heartbeat
    /// is sent immediately, so that the other processes fetch the crash.
    pub fn record_crash(
        &self,
        content: &RequestContent,
        request_id: &RequestId,
        crash: ObservedCrash,
    ) {
        let now = Instant::now();
        self.record_part_crash(content, request_id, &crash);
        let mut quarantine = self.quarantine.lock().expect("quarantine lock");
        quarantine.record_crash(content.fingerprint(), crash, now);
        let evidence = quarantine.take_new_evidence(now);
        drop(quarantine);
        self.metrics.incr(Counter::CrashRecorded);
        log_quarantines(&evidence, "observed");
        self.report_crashes();
    }

    /// Makes the other processes fetch what this one knows of crashes, and updates the store.
    pub fn report_crashes(&self) {
        self.crashes_changed.notify_one();
        self.urgent_heartbeat.notify_one();
    }

    /// Adds crash reports received from `source`, which is a peer's address or `store`.
    pub fn apply_crash_reports(&self, reports: &[CrashReport], source: &str) {
        let now = Instant::now();
        let mut quarantine = self.quarantine.lock().expect("quarantine lock");
        let is_changed = quarantine.merge(reports, now);
        let evidence = quarantine.take_new_evidence(now);
        drop(quarantine);
        if is_changed {
            log::info!(source, crashes = reports.len(); "crash reports received");
            log_quarantines(&evidence, source);
            self.report_crashes();
        }
    }

    /// Records that `server` sent a complete response to a request with this content. This clears
    /// the content of the crashes of servers of the same service.
    pub fn record_success(&self, content: &RequestContent, server: &ServerInstance) {
        let Some(server) = self.listed_server(server) else {
            return;
        };
        self.record_part_success(content, &server.service);
        let content = content.fingerprint();
        let mut quarantine = self.quarantine.lock().expect("quarantine lock");
        let had_crashes = quarantine.record_success(content, &server.service);
        drop(quarantine);
        if had_crashes {
            log::info!(content; "request cleared of crashes");
            self.report_crashes();
        }
    }

    /// Returns a digest of the crashes recorded in this process; 0 if there are none.
    pub fn quarantine_digest(&self) -> QuarantineDigest {
        let contents = self.quarantine.lock().expect("quarantine lock").digest();
        match self.lock_part_quarantine().digest(Instant::now()) {
            0 => contents,
            parts => {
                let mut hasher = DefaultHasher::new();
                (contents, parts).hash(&mut hasher);
                hasher.finish()
            }
        }
    }
}

/// A run of a content that was quarantined, at the server that [`Node::trial_candidate`] returns.
/// The trial ends when this is dropped.
#[derive(Debug)]
pub struct TrialRun {
    node: Arc<Node>,
    content: ContentFingerprint,
    /// Other requests of this process with the same content are on trial as well.
    pub is_shared: bool,
    end: TrialEnd,
}

impl TrialRun {
    /// Records how the attempt at the trial's server failed.
    pub fn record_failure(&mut self, outcome: AttemptOutcome) {
        self.end = match outcome {
            AttemptOutcome::Rejected | AttemptOutcome::Failed => TrialEnd::Over,
            AttemptOutcome::NotSent | AttemptOutcome::Gone | AttemptOutcome::Unknown => {
                TrialEnd::ServerLost
            }
        };
    }
}

impl Drop for TrialRun {
    fn drop(&mut self) {
        let mut quarantine = self.node.quarantine.lock().expect("quarantine lock");
        quarantine.end_trial(&self.content, self.end, Instant::now());
    }
}

/// Logs each quarantine with the crashes that it rests on, whichever process observed them.
/// `source` tells where the last of these crashes is known from.
fn log_quarantines(evidence: &[QuarantineEvidence], source: &str) {
    for QuarantineEvidence {
        content,
        time_left,
        doubt,
        crashes,
        other_contents,
    } in evidence
    {
        let time_left_ms = time_left.as_millis() as u64;
        let crashes: Vec<String> = crashes.iter().map(describe_crash).collect();
        let (crashes, other_contents) = (crashes.join(", "), other_contents.join(", "));
        let doubt = doubt.map(|doubt| format!("{doubt:?}"));
        log::warn!(content, source, time_left_ms, doubt, crashes, other_contents; "request quarantined");
    }
}

fn describe_crash(crash: &CrashReport) -> String {
    let crashed_ago_ms = crash.age.as_millis();
    let sent_ago_ms = (crash.age + crash.ran_for).as_millis();
    format!(
        "{:016x}: sent {sent_ago_ms} ms ago and crashed {crashed_ago_ms} ms ago",
        crash.server
    )
}

/// Fetches the crash reports of each peer whose digest differs from this process's, once per
/// digest. Never returns.
pub async fn sync_crash_reports(node: &Node) {
    // The digest of each peer when its reports were last fetched; sorted by address.
    let mut fetched: Vec<(SocketAddr, QuarantineDigest)> = Vec::new();
    loop {
        // A notification and a timeout are handled alike: in both cases the digests may have
        // changed.
        let _ = tokio::time::timeout(
            DIGEST_CHECK_INTERVAL,
            node.other_crashes_reported.notified(),
        )
        .await;
        for (addr, digest) in node.peers.quarantine_digests(Instant::now()) {
            let index = fetched.partition_point(|(peer, _)| *peer < addr);
            let is_fetched = fetched.get(index) == Some(&(addr, digest));
            if digest == 0 || digest == node.quarantine_digest() || is_fetched {
                continue;
            }
            if !fetch_crash_reports(node, addr).await {
                continue;
            }
            match fetched.get_mut(index).filter(|(peer, _)| *peer == addr) {
                Some(entry) => entry.1 = digest,
                None => fetched.insert(index, (addr, digest)),
            }
        }
        tokio::time::sleep(MIN_DIGEST_CHECK_INTERVAL).await;
    }
}

/// Fetches and applies the crash reports of the peer at `addr`. Returns whether the peer
/// responded.
async fn fetch_crash_reports(node: &Node, addr: SocketAddr) -> bool {
    let calls = &node.peer_calls;
    match tokio::try_join!(calls.fetch_crashes(addr), calls.fetch_part_evidence(addr)) {
        Ok((reports, evidence)) => {
            let source = addr.to_string();
            node.apply_part_evidence(&evidence, &source);
            node.apply_crash_reports(&reports, &source);
            true
        }
        Err(e) => {
            log::info!(peer:% = addr, error:% = e; "crash reports not received from peer");
            false
        }
    }
}
