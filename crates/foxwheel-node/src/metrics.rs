//! Counters and latency histograms, kept in memory and rendered as text.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cadence::prelude::*;
use cadence::{MetricSink, StatsdClient};
use foxwheel_core::metric_names::{self, Counter, Timer};
use hdrhistogram::Histogram;

/// Counters and histograms by name. The cadence client writes statsd lines into it.
#[derive(Debug, Clone, Default)]
struct Registry(Arc<Mutex<Tables>>);

#[derive(Debug, Default)]
struct Tables {
    /// Sorted by name.
    counters: Vec<(String, i64)>,
    /// Sorted by name; values in milliseconds.
    timers_ms: Vec<(String, Histogram<u64>)>,
}

impl MetricSink for Registry {
    fn emit(&self, line: &str) -> std::io::Result<usize> {
        if let Some((name, value, kind)) = parse_statsd(line) {
            let mut tables = self.0.lock().expect("metrics lock");
            match kind {
                "c" => tables.count(name, value),
                "ms" => tables.time(name, value.max(0) as u64),
                _ => {}
            }
        }
        Ok(line.len())
    }
}

impl Tables {
    fn count(&mut self, name: &str, value: i64) {
        let found = self
            .counters
            .binary_search_by(|(n, _)| n.as_str().cmp(name));
        match found {
            Ok(index) => self.counters[index].1 += value,
            Err(index) => self.counters.insert(index, (name.to_owned(), value)),
        }
    }

    fn time(&mut self, name: &str, value_ms: u64) {
        let found = self
            .timers_ms
            .binary_search_by(|(n, _)| n.as_str().cmp(name));
        let index = found.unwrap_or_else(|index| {
            let empty = Histogram::new(SIGNIFICANT_DIGITS).expect("a valid precision");
            self.timers_ms.insert(index, (name.to_owned(), empty));
            index
        });
        // The histogram resizes itself. Recording fails only for a value beyond its maximum range,
        // which no duration reaches.
        let _ = self.timers_ms[index].1.record(value_ms);
    }
}

/// Significant decimal digits of the histograms: values are exact to 1 %.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Parses `prefix.name:12|c` (counter) or `prefix.name:12|ms` (timer) into name, value and kind.
fn parse_statsd(line: &str) -> Option<(&str, i64, &str)> {
    let (name, rest) = line.split_once(':')?;
    let (value, kind) = rest.split_once('|')?;
    Some((name, value.parse().ok()?, kind.trim()))
}

/// A process's counters and latency histograms.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::default();
        Self {
            client: Arc::new(StatsdClient::from_sink(
                metric_names::PREFIX,
                registry.clone(),
            )),
            registry,
        }
    }
}

impl Metrics {
    /// Increments a counter by one.
    pub fn incr(&self, counter: Counter) {
        // The in-memory sink never returns an error.
        let _ = self.client.incr(&counter.name());
    }

    /// Increments a counter by `count`.
    pub fn add(&self, counter: Counter, count: usize) {
        // The in-memory sink never returns an error.
        let _ = self.client.count(&counter.name(), count as i64);
    }

    /// Records a duration in the histogram of `timer`, in whole milliseconds.
    pub fn time(&self, timer: Timer, duration: Duration) {
        let _ = self.client.time(timer.name(), duration);
    }

    /// Renders one `name value` line per counter, and per histogram its count and its percentiles
    /// in milliseconds.
    pub fn render(&self) -> String {
        use std::fmt::Write;
        let tables = self.registry.0.lock().expect("metrics lock");
        let mut text = String::new();
        for (name, total) in &tables.counters {
            let _ = writeln!(text, "{name} {total}");
        }
        for (name, times) in &tables.timers_ms {
            let quantiles = [("p50", 0.5), ("p95", 0.95), ("p99", 0.99), ("max", 1.0)];
            let _ = writeln!(text, "{name}_count {}", times.len());
            for (label, quantile) in quantiles {
                let value_ms = times.value_at_quantile(quantile);
                let _ = writeln!(text, "{name}_{label}_ms {value_ms}");
            }
        }
        text
    }
}
