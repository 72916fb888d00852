//! Logging (`log` and `env_logger`) and counters (`cadence`) of gateways, agents, emulators and
//! test tools. Fronts and workers use [`structured_log`](crate::structured_log) instead.
//!
//! Log lines report changes of state; what happens for each request is counted instead. Counters
//! are sent to a statsd server over UDP if `statsd_addr` is set, and totals are always kept.

use std::net::UdpSocket;
use std::sync::{Arc, Mutex};

use cadence::prelude::*;
use cadence::{NopMetricSink, StatsdClient, UdpMetricSink};

/// The counters of a process. Each event is sent to statsd, and totals since the start are kept for
/// `GET /counters`.
#[derive(Debug, Clone)]
pub struct Counters {
    statsd: Arc<StatsdClient>,
    /// Totals by counter, sorted by name.
    totals: Arc<Mutex<Vec<(&'static str, u64)>>>,
}

impl Counters {
    /// Creates the counters of a process with the given role, which are named
    /// `foxwheel.<role>.<name>` in statsd. Without `statsd_addr` only totals are kept. Returns an
    /// error if the address is not valid or no socket can be opened.
    pub fn new(role: &str, statsd_addr: Option<&str>) -> std::io::Result<Self> {
        Ok(Self {
            statsd: Arc::new(statsd_client(role, statsd_addr)?),
            totals: Arc::default(),
        })
    }

    /// Counts one event of the counter `name`.
    pub fn incr(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Counts `count` events of the counter `name`.
    pub fn add(&self, name: &'static str, count: u64) {
        let mut totals = self.totals.lock().expect("counters lock");
        match totals.binary_search_by_key(&name, |(name, _)| name) {
            Ok(index) => totals[index].1 += count,
            Err(index) => totals.insert(index, (name, count)),
        }
        drop(totals);
        // If sending fails, statsd misses this event, but the total includes it.
        let _ = self.statsd.count(name, count);
    }

    /// Returns the total of the counter `name` since the start.
    pub fn total(&self, name: &str) -> u64 {
        let totals = self.totals.lock().expect("counters lock");
        let found = totals.binary_search_by(|(known, _)| (*known).cmp(name));
        found.map_or(0, |index| totals[index].1)
    }

    /// Returns all totals since the start as a JSON object.
    pub fn to_json(&self) -> serde_json::Value {
        let totals = self.totals.lock().expect("counters lock");
        let entries = totals.iter();
        entries
            .map(|(name, total)| ((*name).to_owned(), serde_json::Value::from(*total)))
            .collect::<serde_json::Map<_, _>>()
            .into()
    }
}

/// Log filter that applies if `RUST_LOG` is not set. It leaves out the lines that libraries log for
/// each call or closed connection, which are counted instead.
const DEFAULT_LOG_FILTER: &str = "info,tarpc=warn,actix_server=warn,actix_http=off";

/// Initialises logging with `DEFAULT_LOG_FILTER` or the filter in `RUST_LOG`. Later calls have no
/// effect.
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
