//! Logs (`log` + `env_logger`) and counters (`cadence`).
//!
//! Counters go to a statsd sink over UDP when `statsd_addr` is set; totals are always kept.
//! Log lines are kept for changes of state; everything per request is a counter.

use std::net::UdpSocket;
use std::sync::{Arc, Mutex};

use cadence::prelude::*;
use cadence::{NopMetricSink, StatsdClient, UdpMetricSink};

/// A process's counters: sent to statsd as they are counted, and kept as totals since
/// start for `GET /counters`.
#[derive(Debug, Clone)]
pub struct Counters {
    statsd: Arc<StatsdClient>,
    /// Sorted by name.
    totals: Arc<Mutex<Vec<(&'static str, u64)>>>,
}

impl Counters {
    /// Counters of `role`, named `foxwheel.<role>.<name>` in statsd; without `statsd_addr`
    /// only totals are kept. A bad address is an error for the caller.
    pub fn new(role: &str, statsd_addr: Option<&str>) -> std::io::Result<Self> {
        Ok(Self {
            statsd: Arc::new(statsd_client(role, statsd_addr)?),
            totals: Arc::default(),
        })
    }

    /// Counts one event.
    pub fn incr(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Counts `n` events.
    pub fn add(&self, name: &'static str, n: u64) {
        let mut totals = self.totals.lock().expect("counters lock");
        match totals.binary_search_by_key(&name, |(name, _)| name) {
            Ok(at) => totals[at].1 += n,
            Err(at) => totals.insert(at, (name, n)),
        }
        drop(totals);
        // A counter that cannot be sent is lost; the total stays.
        let _ = self.statsd.count(name, n);
    }

    /// The total of one counter since start.
    pub fn total(&self, name: &str) -> u64 {
        let totals = self.totals.lock().expect("counters lock");
        let found = totals.binary_search_by(|(known, _)| (*known).cmp(name));
        found.map_or(0, |at| totals[at].1)
    }

    /// Every total since start, as a JSON object.
    pub fn to_json(&self) -> serde_json::Value {
        let totals = self.totals.lock().expect("counters lock");
        let pairs = totals.iter();
        pairs
            .map(|(name, total)| ((*name).to_owned(), serde_json::Value::from(*total)))
            .collect::<serde_json::Map<_, _>>()
            .into()
    }
}

/// What is logged unless `RUST_LOG` says otherwise: changes of state. Libraries' lines per
/// call or per broken connection are left out; both are counted.
const DEFAULT_LOG_FILTER: &str = "info,tarpc=warn,actix_server=warn,actix_http=off";

/// Starts logging at `info` unless `RUST_LOG` says otherwise.
pub fn init_logging() {
    let env = env_logger::Env::default().default_filter_or(DEFAULT_LOG_FILTER);
    let _ = env_logger::Builder::from_env(env)
        .format_timestamp_millis()
        .try_init();
}

fn statsd_client(role: &str, statsd_addr: Option<&str>) -> std::io::Result<StatsdClient> {
    let prefix = format!("foxwheel.{role}");
    let Some(addr) = statsd_addr else {
        return Ok(StatsdClient::from_sink(&prefix, NopMetricSink));
    };
    let socket = UdpSocket::bind(("0.0.0.0", 0))?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(addr, socket).map_err(std::io::Error::other)?;
    Ok(StatsdClient::from_sink(&prefix, sink))
}
