//! Requests that crash backend servers, as this process and the others know of them.
//!
//! Whoever sees a crash tells its state of knowledge with the next heartbeat, and a speaker
//! with the next summary; whoever hears of another state than its own asks for it. So a
//! process that starts, wakes or was cut off learns all that it missed, and while nothing
//! crashes this costs one byte a message.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foxwheel_core::ids::ContentFingerprint;
use foxwheel_core::metric_names::Counter;
use foxwheel_policy::membership::ServerInstance;
use foxwheel_policy::quarantine::{ContentStatus, CrashReport, ObservedCrash, QuarantineDigest};

use crate::node::Node;
use crate::request_content::RequestContent;

/// How often a process looks whether others know of other crashes, in case the wake-up by
/// their messages was missed or their answer was lost.
const LOOK_EVERY: Duration = Duration::from_millis(300);

/// Least time between two looks: several messages tell of one crash.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

impl Node {
    /// For how long a request must not be run, if its content is quarantined.
    pub fn quarantine_time_left(&self, content: &RequestContent, now: Instant) -> Option<Duration> {
        if self.has_no_crashes() {
            return None;
        }
        let content = content.fingerprint();
        let quarantine = self.quarantine.lock().expect("quarantine lock");
        match quarantine.status(content, now) {
            ContentStatus::Quarantined(left) => Some(left),
            ContentStatus::Clear | ContentStatus::Suspect => None,
        }
    }

    /// Whether a batch item with that content may run.
    pub fn can_run_item(&self, content: &RequestContent, now: Instant) -> bool {
        if self.has_no_crashes() {
            return true;
        }
        let content = content.fingerprint();
        let quarantine = self.quarantine.lock().expect("quarantine lock");
        quarantine.may_run_item(content, now)
    }

    /// Takes note that a server crashed while a request with that content was there.
    pub fn record_crash(&self, content: &ContentFingerprint, crash: ObservedCrash) {
        let mut quarantine = self.quarantine.lock().expect("quarantine lock");
        let is_quarantined = quarantine.record_crash(content, crash, Instant::now());
        drop(quarantine);
        self.metrics.incr(Counter::CrashRecorded);
        if is_quarantined {
            log::warn!(content; "request quarantined");
        }
        self.crashes_changed.notify_one();
        self.urgent_heartbeat.notify_one();
    }

    /// Takes crashes that `source` knows of.
    pub fn apply_crash_reports(&self, reports: &[CrashReport], source: &str) {
        let mut quarantine = self.quarantine.lock().expect("quarantine lock");
        let is_news = quarantine.merge(reports, Instant::now());
        drop(quarantine);
        if is_news {
            log::info!(source, crashes = reports.len(); "crashes taken");
            self.crashes_changed.notify_one();
            self.urgent_heartbeat.notify_one();
        }
    }

    /// Takes note that `server` answered a request with that content whole.
    pub fn record_success(&self, content: &RequestContent, server: &ServerInstance) {
        if self.has_no_crashes() {
            return;
        }
        let Some(server) = self.listed_server(server) else {
            return;
        };
        let content = content.fingerprint();
        let mut quarantine = self.quarantine.lock().expect("quarantine lock");
        let was_held = quarantine.record_success(content, &server.service);
        drop(quarantine);
        if was_held {
            log::info!(content; "request cleared of crashes");
            self.urgent_heartbeat.notify_one();
        }
    }

    /// Whether no crash is known: then no request needs a fingerprint.
    fn has_no_crashes(&self) -> bool {
        self.quarantine.lock().expect("quarantine lock").is_empty()
    }

    /// Stands for the crashes that are known here.
    pub fn quarantine_digest(&self) -> QuarantineDigest {
        self.quarantine.lock().expect("quarantine lock").digest()
    }
}

/// Asks each process that tells of another state, once for each state.
pub async fn sync_crash_reports(node: &Node) {
    // What each process was last asked for; sorted by address.
    let mut asked: Vec<(SocketAddr, QuarantineDigest)> = Vec::new();
    loop {
        // Both mean that there may be news.
        let _ = tokio::time::timeout(LOOK_EVERY, node.quarantine_update.notified()).await;
        for (addr, told) in node.peers.quarantine_states(Instant::now()) {
            let at = asked.partition_point(|(known, _)| *known < addr);
            let was_asked = asked.get(at) == Some(&(addr, told));
            if told == 0 || told == node.quarantine_digest() || was_asked {
                continue;
            }
            if !ask(node, addr).await {
                continue;
            }
            match asked.get_mut(at).filter(|(known, _)| *known == addr) {
                Some(known) => known.1 = told,
                None => asked.insert(at, (addr, told)),
            }
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// Takes what the peer at `addr` knows; answers whether it answered.
async fn ask(node: &Node, addr: SocketAddr) -> bool {
    let reports = match node.peer_calls.fetch_crashes(addr).await {
        Ok(reports) => reports,
        Err(e) => {
            log::info!(peer:% = addr, error:% = e; "peer did not tell of crashes");
            return false;
        }
    };
    node.apply_crash_reports(&reports, &addr.to_string());
    true
}
