//! Emptying this host when the operator asks for it.

use std::time::Duration;

use foxwheel_core::ids::NodeId;

use foxwheel_platform::retirement::{self, Progress};

use foxwheel_platform::store::{Object, StoreError, WatchOutcome, Write, WriteOutcome};

use crate::node::Node;
use crate::store_access::Backoff;

/// Longest wait of one watch for retirements.
const RETIREMENT_WATCH: Duration = Duration::from_secs(25);

/// How often it is looked whether jobs are left.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Follows the operator's requests for as long as the process lives.
pub async fn run(node: &Node) {
    let mut backoff = Backoff::default();
    loop {
        if let Err(e) = retire_when_asked(node).await {
            log::debug!(error:% = e; "retirements not followed");
            node.store.wait_before_retry(backoff.next_delay()).await;
        }
    }
}

/// Waits until the operator asks to empty this host, and empties it.
async fn retire_when_asked(node: &Node) -> Result<(), StoreError> {
    let own = &node.settings.host;
    let listing = node.store.list(retirement::KIND).await?;
    let mut asked = listing
        .objects
        .iter()
        .any(|object| is_requested(own, object));
    let mut revision = listing.revision;
    while !asked {
        let watched = node
            .store
            .watch(retirement::KIND, revision, RETIREMENT_WATCH)
            .await?;
        match watched {
            WatchOutcome::HistoryExpired => return Ok(()),
            WatchOutcome::Changes {
                changes,
                revision: next,
            } => {
                revision = next;
                asked = changes
                    .iter()
                    .any(|change| !change.removed && is_requested(own, &change.object));
            }
        }
    }
    log::info!(host = own; "asked to retire");
    write_retirement(node, Progress::Running).await;
    node.retiring.cancel();
    while node.has_owned_jobs() {
        tokio::time::sleep(LOOK_EVERY).await;
    }
    write_retirement(node, Progress::Completed).await;
    log::info!(host = own; "retired: nothing is held here");
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
