//! Structured logging to standard output, one JSON object per line.
//!
//! Lines are queued and written by a separate thread, so that a stalled reader of the output never
//! blocks a request. Lines below `warn` are dropped once the queue is half full. The other half is
//! reserved for `warn` lines, which report failed requests.

use std::io::Write;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use log::kv;
use serde_json::{Map, Value};

use crate::ids::NodeId;
use crate::time;

/// Capacity of the queue in lines: about two seconds of the lines of a busy gateway.
const QUEUE_CAPACITY_LINES: usize = 2_048;

/// Number of queued lines at which lines below `warn` are dropped.
const BELOW_WARN_CAPACITY_LINES: usize = QUEUE_CAPACITY_LINES / 2;

/// Interval between writes. Each write contains all lines queued since the last one, which saves
/// wake-ups of the thread.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Log filter that applies if `RUST_LOG` is not set. It leaves out the lines that libraries log for
/// each call.
const DEFAULT_FILTER: &str = "info,tarpc=off,hyper=off";

/// Counts of the lines in the queue and of the lines dropped since the last write.
#[derive(Debug, Default)]
struct QueueCounts {
    waiting: AtomicUsize,
    dropped: AtomicU64,
}

/// Queues complete lines for the writer thread.
struct QueueWriter {
    lines: mpsc::SyncSender<Vec<u8>>,
    counts: Arc<QueueCounts>,
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let is_below_warn = !line.starts_with(WARN_PREFIX);
        let waiting = self.counts.waiting.load(Ordering::Relaxed);
        let is_full = is_below_warn && waiting >= BELOW_WARN_CAPACITY_LINES;
        if is_full || self.lines.try_send(line.to_vec()).is_err() {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            self.counts.waiting.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Start of every line of level `warn` or above. The level is the first field so that
/// [`QueueWriter`] can recognise these lines.
const WARN_PREFIX: &[u8] = b"{\"level\":\"WARN";

/// Initialises structured logging for the process `node`. Later calls have no effect.
pub fn init(node: NodeId) {
    let (sender, lines) = mpsc::sync_channel(QUEUE_CAPACITY_LINES);
    let counts = Arc::new(QueueCounts::default());
    let writer = QueueWriter {
        lines: sender,
        counts: Arc::clone(&counts),
    };
    let env = env_logger::Env::default().default_filter_or(DEFAULT_FILTER);
    let initialised = env_logger::Builder::from_env(env)
        .format(move |out, record| writeln!(out, "{}", encode(&node, record)))
        .target(env_logger::Target::Pipe(Box::new(writer)))
        .try_init();
    if initialised.is_ok() {
        std::thread::spawn(move || write_lines(&lines, &counts));
    }
}

/// Waits until the lines logged so far have been written. Must be called before the process exits.
pub fn flush() {
    log::logger().flush();
    std::thread::sleep(WRITE_INTERVAL + WRITE_INTERVAL / 2);
}

/// Encodes a record as a line of JSON. Errors get the level `warn`, so that they start with
/// [`WARN_PREFIX`] too.
fn encode(node: &str, record: &log::Record<'_>) -> String {
    struct Fields<'a>(&'a mut Map<String, Value>);
    impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
        fn visit_pair(
            &mut self,
            key: kv::Key<'kvs>,
            value: kv::Value<'kvs>,
        ) -> Result<(), kv::Error> {
            let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
            self.0.insert(key.to_string(), value);
            Ok(())
        }
    }
    let level = match record.level() {
        log::Level::Error => log::Level::Warn,
        level => level,
    };
    let mut fields = Map::new();
    // If a value cannot be formatted, it is left out and the rest of the line is still logged.
    let _ = record.key_values().visit(&mut Fields(&mut fields));
    let fields = Value::Object(fields);
    let message = Value::from(record.args().to_string());
    format!(
        "{{\"level\":\"{level}\",\"unix_ms\":{},\"node\":{},\"message\":{message},\"fields\":{fields}}}",
        time::unix_ms(),
        Value::from(node),
    )
}

/// Writes queued lines to standard output until the sender is dropped.
fn write_lines(lines: &mpsc::Receiver<Vec<u8>>, counts: &QueueCounts) {
    while let Ok(first) = lines.recv() {
        let mut block = first;
        let mut count = 1;
        while let Ok(line) = lines.try_recv() {
            block.extend_from_slice(&line);
            count += 1;
        }
        counts.waiting.fetch_sub(count, Ordering::Relaxed);
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = format!("{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"fields\":{{\"count\":{dropped}}}}}\n");
            block.extend_from_slice(line.as_bytes());
        }
        // This fails if nothing reads standard output any more; there is no other place to report it.
        let _ = std::io::stdout().write_all(&block);
        std::thread::sleep(WRITE_INTERVAL);
    }
}
