//! Structured log lines on standard output, one JSON object a line.
//!
//! Lines are queued and written by a thread of their own, so a reader that stalls never
//! blocks a request. When the queue fills, lines below `warn` are dropped first: the lines
//! on failed requests are `warn` and keep the last half of the queue to themselves.

use std::io::Write;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use log::kv;
use serde_json::{Map, Value};

use crate::ids::NodeId;
use crate::time;

/// Most lines that wait to be written: about two seconds of a busy gateway's lines.
const QUEUE_LINES: usize = 2_048;

/// Waiting lines above which those below `warn` are dropped.
const ROUTINE_QUEUE_LINES: usize = QUEUE_LINES / 2;

/// Pause between writes: one wake-up writes all lines of that time.
const WRITE_EVERY: Duration = Duration::from_millis(100);

/// Logged unless `RUST_LOG` says otherwise; libraries' lines per call are left out.
const DEFAULT_FILTER: &str = "info,tarpc=off,hyper=off";

#[derive(Debug, Default)]
struct Queue {
    waiting: AtomicUsize,
    dropped: AtomicU64,
}

/// Hands whole lines to the writer's thread.
struct QueueWriter {
    lines: mpsc::SyncSender<Vec<u8>>,
    queue: Arc<Queue>,
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let routine = !line.starts_with(WARN_PREFIX);
        let waiting = self.queue.waiting.load(Ordering::Relaxed);
        let full = routine && waiting >= ROUTINE_QUEUE_LINES;
        if full || self.lines.try_send(line.to_vec()).is_err() {
            self.queue.dropped.fetch_add(1, Ordering::Relaxed);
        } else {
            self.queue.waiting.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// How a line of level `warn` or above begins; the level is written first for this.
const WARN_PREFIX: &[u8] = b"{\"level\":\"WARN";

/// Starts structured logging for the process `node`. Later calls change nothing.
pub fn init(node: NodeId) {
    let (sender, lines) = mpsc::sync_channel(QUEUE_LINES);
    let queue = Arc::new(Queue::default());
    let writer = QueueWriter {
        lines: sender,
        queue: Arc::clone(&queue),
    };
    let env = env_logger::Env::default().default_filter_or(DEFAULT_FILTER);
    let started = env_logger::Builder::from_env(env)
        .format(move |out, record| writeln!(out, "{}", encode(&node, record)))
        .target(env_logger::Target::Pipe(Box::new(writer)))
        .try_init();
    if started.is_ok() {
        std::thread::spawn(move || write_lines(&lines, &queue));
    }
}

/// Waits until lines that were just written are out; call before the process ends.
pub fn flush() {
    log::logger().flush();
    std::thread::sleep(WRITE_EVERY + WRITE_EVERY / 2);
}

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
    // A value that cannot be shown is left out; the line itself must not be lost.
    let _ = record.key_values().visit(&mut Fields(&mut fields));
    let fields = Value::Object(fields);
    let message = Value::from(record.args().to_string());
    format!(
        "{{\"level\":\"{level}\",\"unix_ms\":{},\"node\":{},\"message\":{message},\"fields\":{fields}}}",
        time::unix_ms(),
        Value::from(node),
    )
}

fn write_lines(lines: &mpsc::Receiver<Vec<u8>>, queue: &Queue) {
    while let Ok(first) = lines.recv() {
        let mut block = first;
        let mut count = 1;
        while let Ok(line) = lines.try_recv() {
            block.extend_from_slice(&line);
            count += 1;
        }
        queue.waiting.fetch_sub(count, Ordering::Relaxed);
        let dropped = queue.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = format!("{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"fields\":{{\"count\":{dropped}}}}}\n");
            block.extend_from_slice(line.as_bytes());
        }
        // Nobody reads standard output any more: there is nowhere left to report it.
        let _ = std::io::stdout().write_all(&block);
        std::thread::sleep(WRITE_EVERY);
    }
}
