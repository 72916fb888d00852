//! Records in the platform's store of the software versions of backend servers.
//!
//! They tell a process that has just started, or that missed changes of the list, which versions left
//! the list before. The first representative of each zone writes them when a version comes or goes;
//! each process reads them after each complete list.

use std::time::{Duration, Instant};

use foxwheel_core::ids::{ServiceName, SoftwareVersion};
use foxwheel_core::time;
use foxwheel_platform::store::{Object, StoreError, Write, WriteOutcome};
use foxwheel_policy::representatives::Rank;
use foxwheel_policy::stream_origin::StreamOrigin;
use foxwheel_policy::version_history::{self, RecordChange, VersionRecord};
use serde::{Deserialize, Serialize};
use serde_with::{serde_as, DurationMilliSeconds};

use crate::node::Node;
use crate::store_access::Backoff;
use crate::store_relay;

const OBJECT_KIND: &str = "foxwheel-versions";

/// How often it is checked whether versions came or went. Streams of a new version may begin before it
/// is recorded.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The content of a record.
#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
struct StoredVersion {
    service: ServiceName,
    version: SoftwareVersion,
    /// When the last server of the version left, as time since the Unix epoch.
    #[serde(default, rename = "gone_unix_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    gone_unix: Option<Duration>,
}

/// A record and the revision at which it was read.
struct ReadRecord {
    record: VersionRecord,
    revision: u64,
}

/// Reads and writes the records as needed. Never returns.
pub async fn run(node: &Node) {
    let mut backoff = Backoff::default();
    // The listed versions with which the records last agreed, as far as this process writes them.
    let mut recorded = None;
    loop {
        // After a timeout, the same is checked as after a notification.
        let listed_again = node.server_list_replaced.notified();
        let _ = tokio::time::timeout(CHECK_INTERVAL, listed_again).await;
        let (gap, listed) = {
            let directory = node.directory.lock().expect("directory lock");
            (directory.version_gap(), directory.listed_origins())
        };
        let now = Instant::now();
        let must_write =
            node.representative_rank(now) == Rank::Primary && node.is_watching_store(now);
        if !must_write {
            recorded = None;
        }
        let is_recorded = !must_write || recorded.as_ref() == Some(&listed);
        if gap.is_none() && is_recorded {
            continue;
        }
        let updated = async {
            let records = read_records(node).await?;
            if let Some(gap) = gap {
                let records: Vec<VersionRecord> =
                    records.iter().map(|read| read.record.clone()).collect();
                let mut directory = node.directory.lock().expect("directory lock");
                directory.close_version_gap(gap, &records);
                log::info!(records = records.len(), listed = listed.len(); "versions that left are known");
            }
            match must_write {
                true => write_changes(node, &listed, &records).await,
                false => Ok(false),
            }
        };
        match updated.await {
            Ok(agree) => {
                backoff = Backoff::default();
                recorded = agree.then_some(listed);
            }
            Err(e) => {
                log::info!(error:% = e; "version records not read or written; will retry");
                node.store.wait_before_retry(backoff.next_delay()).await;
            }
        }
    }
}

async fn read_records(node: &Node) -> Result<Vec<ReadRecord>, StoreError> {
    let listing = node.store.list(OBJECT_KIND).await?;
    let now_unix = Duration::from_millis(time::unix_ms());
    let decoded = listing.objects.iter().filter_map(|object| {
        let decoded = decode(object, now_unix);
        decoded
            .inspect_err(|e| {
                log::warn!(name = object.name, error:% = e; "version record skipped: it cannot be decoded");
            })
            .ok()
    });
    Ok(decoded.collect())
}

fn decode(object: &Object, now_unix: Duration) -> Result<ReadRecord, serde_json::Error> {
    let stored = StoredVersion::deserialize(&object.spec)?;
    let gone_for = stored
        .gone_unix
        .map(|gone_unix| now_unix.saturating_sub(gone_unix));
    let record = VersionRecord {
        origin: StreamOrigin {
            service: stored.service,
            version: stored.version,
        },
        gone_for,
    };
    Ok(ReadRecord {
        record,
        revision: object.revision,
    })
}

/// Writes the records that differ from the `listed` versions. Returns whether all agree with them now;
/// otherwise another process wrote some meanwhile, and they must be read again.
async fn write_changes(
    node: &Node,
    listed: &[StreamOrigin],
    read: &[ReadRecord],
) -> Result<bool, StoreError> {
    let mut agree = true;
    let records: Vec<VersionRecord> = read.iter().map(|read| read.record.clone()).collect();
    for (origin, change) in version_history::record_changes(listed, &records) {
        let found = read.iter().find(|read| read.record.origin == origin);
        let revision = found.map(|read| read.revision);
        let written = store_relay::write(node, &encode(&origin, change, revision)).await?;
        let is_done = matches!(written, WriteOutcome::Done(_));
        agree &= is_done;
        let StreamOrigin { service, version } = origin;
        log::info!(service, version, change:? = change, is_done; "version record written");
    }
    Ok(agree)
}

fn encode(origin: &StreamOrigin, change: RecordChange, revision: Option<u64>) -> Write {
    let kind = OBJECT_KIND.to_owned();
    let name = object_name(origin);
    let now_unix = Duration::from_millis(time::unix_ms());
    let stored = StoredVersion {
        service: origin.service.clone(),
        version: origin.version.clone(),
        gone_unix: (change == RecordChange::RecordLeave).then_some(now_unix),
    };
    let spec = serde_json::json!(stored).to_string();
    match change {
        RecordChange::Create => Write::Create { kind, name, spec },
        RecordChange::RecordReturn | RecordChange::RecordLeave => Write::Replace {
            kind,
            name,
            spec,
            revision,
        },
        RecordChange::Delete => Write::Delete {
            kind,
            name,
            revision,
        },
    }
}

/// Returns the name of the record: service and version in hexadecimal, as both may hold any character.
fn object_name(origin: &StreamOrigin) -> String {
    let hex = |text: &str| -> String { text.bytes().map(|byte| format!("{byte:02x}")).collect() };
    format!("{}-{}", hex(&origin.service), hex(&origin.version))
}
