//! Watches the store for requests to retire this host, hands its jobs over when one comes,
//! and reports when the host is empty.

use std::time::Duration;

use foxwheel_core::ids::NodeId;
use foxwheel_platform::retirement::{self, Progress};
use foxwheel_platform::store::{Object, StoreError, Write, WriteOutcome};

use crate::node::Node;
use crate::store_access::{Backoff, WatchEnd};

/// How long one watch call waits for changes. A request is noticed that much later if the response to
/// the watch is lost; operators give hosts tens of seconds.
const WATCH_WAIT: Duration = Duration::from_secs(5);

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
    let Some(requested_at) = wait_for_request(node).await? else {
        return Ok(());
    };
    log::info!(host = own; "asked to retire");
    let running_at = report_progress(node, requested_at, Progress::Running).await;
    node.retiring.cancel();
    while node.has_owned_jobs() {
        tokio::time::sleep(OWNED_JOBS_CHECK_INTERVAL).await;
    }
    report_progress(node, running_at, Progress::Completed).await;
    log::info!(host = own; "retired: this host owns no jobs");
    node.leaving.cancelled().await;
    Ok(())
}

/// Waits for a request to retire this host and returns its revision, or `None` if the watch has to
/// start over.
async fn wait_for_request(node: &Node) -> Result<Option<u64>, StoreError> {
    let own = &node.settings.host;
    let request = |object: &Object| is_requested(own, object).then_some(object.revision);
    let listing = node.store.list(retirement::KIND).await?;
    if let Some(requested_at) = listing.objects.iter().find_map(request) {
        return Ok(Some(requested_at));
    }
    let mut revision = listing.revision;
    loop {
        let watched = node
            .store
            .watch(retirement::KIND, revision, WATCH_WAIT)
            .await?;
        let WatchEnd::Changes {
            changes,
            revision: next,
        } = watched
        else {
            return Ok(None);
        };
        revision = next;
        let changes = changes.iter().filter(|change| !change.removed);
        let mut requests = changes.filter_map(|change| request(&change.object));
        if let Some(requested_at) = requests.next() {
            return Ok(Some(requested_at));
        }
    }
}

fn is_requested(own: &NodeId, object: &Object) -> bool {
    object.name == *own && retirement::is_requested(&object.spec, &object.status)
}

/// Writes `progress` as the status of the request, which was seen at `revision`, and returns its
/// revision after that. The write is conditional, so that one that arrives late does not replace a
/// later report.
async fn report_progress(node: &Node, revision: u64, progress: Progress) -> u64 {
    let status = retirement::encode(progress);
    let mut revision = revision;
    let mut backoff = Backoff::default();
    loop {
        let write = Write::SetStatus {
            kind: retirement::KIND.to_owned(),
            name: node.settings.host.clone(),
            status: status.to_string(),
            revision: Some(revision),
        };
        match node.store.write(&write).await {
            Ok(WriteOutcome::Done(object)) => return object.revision,
            Ok(WriteOutcome::Missing) => return revision,
            // An earlier try whose response was lost may have been done.
            Ok(WriteOutcome::Conflict(Some(object))) if object.status == status => {
                return object.revision
            }
            Ok(WriteOutcome::Conflict(Some(object))) => revision = object.revision,
            Ok(WriteOutcome::Conflict(None)) | Err(_) => {}
        }
        node.store.wait_before_retry(backoff.next_delay()).await;
    }
}
