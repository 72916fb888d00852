//! Watches the store for requests to retire this host, hands its jobs over when one comes,
//! and reports when the host is empty.

use std::time::Duration;

use foxwheel_core::ids::NodeId;
use foxwheel_platform::retirement::{self, Progress};
use foxwheel_platform::store::{Object, StoreError, WatchOutcome, Write, WriteOutcome};

use crate::node::Node;
use crate::store_access::Backoff;

/// How long one watch call waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Interval at which it is checked whether this worker still owns jobs.
const OWNED_JOBS_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Watches for retirement requests of the operator and carries them out. Never returns.
pub async fn run(node: &Node) {
    let mut backoff = Backoff::default();
    loop {
        if let Err(e) = retire_when_requested(node).await {
            log::debug!(error:% = e; "could not watch retirement requests");
            node.store.wait_before_retry(backoff.next_delay()).await;
        }
    }
}

/// Waits until the operator asks to retire this host, hands its jobs over, and then waits
/// until the process must stop. Returns early if the watch has to start over.
async fn retire_when_requested(node: &Node) -> Result<(), StoreError> {
    let own = &node.settings.host;
    let listing = node.store.list(retirement::KIND).await?;
    let mut requested = listing
        .objects
        .iter()
        .any(|object| is_requested(own, object));
    let mut revision = listing.revision;
    while !requested {
        let watched = node
            .store
            .watch(retirement::KIND, revision, WATCH_WAIT)
            .await?;
        match watched {
            WatchOutcome::HistoryExpired => return Ok(()),
            WatchOutcome::Changes {
                changes,
                revision: next,
            } => {
                revision = next;
                requested = changes
                    .iter()
                    .any(|change| !change.removed && is_requested(own, &change.object));
            }
        }
    }
    log::info!(host = own; "asked to retire");
    write_retirement(node, Progress::Running).await;
    node.retiring.cancel();
    while node.has_owned_jobs() {
        tokio::time::sleep(OWNED_JOBS_CHECK_INTERVAL).await;
    }
    write_retirement(node, Progress::Completed).await;
    log::info!(host = own; "retired: this host owns no jobs");
    node.leaving.cancelled().await;
    Ok(())
}

fn is_requested(own: &NodeId, object: &Object) -> bool {
    object.name == *own && retirement::is_requested(&object.spec, &object.status)
}

async fn write_retirement(node: &Node, progress: Progress) {
    let write = Write::SetStatus {
        kind: retirement::KIND.to_owned(),
        name: node.settings.host.clone(),
        status: retirement::encode(progress).to_string(),
    };
    let mut backoff = Backoff::default();
    loop {
        match node.store.write(&write).await {
            Ok(WriteOutcome::Done(_) | WriteOutcome::Missing) => return,
            Ok(WriteOutcome::Conflict(_)) | Err(_) => {
                node.store.wait_before_retry(backoff.next_delay()).await
            }
        }
    }
}
