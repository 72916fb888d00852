//! Logs (`log` + `env_logger`) and counters (`cadence`).
//!
//! Counters go to a statsd sink over UDP when `statsd_addr` is set, and nowhere otherwise.
//! Log lines are kept for changes of state; everything per request is a counter.

use std::net::UdpSocket;
use std::sync::Arc;

use cadence::{NopMetricSink, StatsdClient, UdpMetricSink};

/// A shared handle to the process's metrics client.
pub type Metrics = Arc<StatsdClient>;

/// Starts logging at `info` unless `RUST_LOG` says otherwise.
pub fn init_logging() {
    let env = env_logger::Env::default().default_filter_or("info");
    let _ = env_logger::Builder::from_env(env)
        .format_timestamp_millis()
        .try_init();
}

/// Builds the metrics client with the prefix `foxwheel.<role>`.
///
/// With no `statsd_addr`, counters are dropped; a bad address is an error for the caller.
pub fn metrics(role: &str, statsd_addr: Option<&str>) -> std::io::Result<Metrics> {
    let prefix = format!("foxwheel.{role}");
    let client = match statsd_addr {
        Some(addr) => {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            let sink = UdpMetricSink::from(addr, socket).map_err(std::io::Error::other)?;
            StatsdClient::from_sink(&prefix, sink)
        }
        None => StatsdClient::from_sink(&prefix, NopMetricSink),
    };
    Ok(Arc::new(client))
}
