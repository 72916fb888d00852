//! Decides which workspaces' batch requests may start, from the rules and checks of the batch gate
//! and the current load signals.

use foxwheel_core::declarations::{BatchGate, GateCheck, GateEffect, Signal};

/// Values of the load signals at one point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Signals {
    /// Value of [`Signal::EngineWaiting`]: sequences that wait for a slot in the engine.
    pub engine_waiting: u64,
    /// Value of [`Signal::CacheUsedPercent`]: used part of the engine's prefix cache, in percent.
    pub cache_used_percent: u64,
    /// Value of [`Signal::OnlineTtftP95Ms`]: 95th percentile of the time to first token of recent
    /// online requests, in milliseconds; 0 if there are no recent requests.
    pub online_ttft_p95_ms: u64,
}

impl Signals {
    fn signal_value(&self, signal: Signal) -> u64 {
        match signal {
            Signal::EngineWaiting => self.engine_waiting,
            Signal::CacheUsedPercent => self.cache_used_percent,
            Signal::OnlineTtftP95Ms => self.online_ttft_p95_ms,
        }
    }

    fn is_within_limit(&self, check: &GateCheck) -> bool {
        self.signal_value(check.signal) <= check.at_most
    }
}

/// The batch gate's decision for each workspace at one point in time. The default admits all batch
/// requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BatchAdmission {
    /// Whether batch requests of workspaces without a rule are held back.
    pub default_closed: bool,
    /// Each workspace with a rule, and whether its batch requests are held back; sorted by name.
    pub closed_by_workspace: Vec<(String, bool)>,
}

impl BatchAdmission {
    /// Evaluates the checks and rules of `gate` with the values in `signals`. `now_ms` is the Unix
    /// time in milliseconds and decides which rules have expired.
    pub fn evaluate(gate: &BatchGate, signals: &Signals, now_ms: u64) -> Self {
        let checks_pass = |is_selected: &dyn Fn(Signal) -> bool| {
            let mut checks = gate.checks.iter().filter(|c| is_selected(c.signal));
            checks.all(|check| signals.is_within_limit(check))
        };
        let mut closed_by_workspace: Vec<(String, bool)> = Vec::new();
        for rule in &gate.rules {
            let name = &rule.workspace;
            let insert_index =
                match closed_by_workspace.binary_search_by(|(existing, _)| existing.cmp(name)) {
                    Ok(_) => continue,
                    Err(index) => index,
                };
            let active_rule = gate.rule_for(name, now_ms);
            let is_open = match active_rule.map(|rule| &rule.effect) {
                Some(GateEffect::Exempt) => true,
                Some(GateEffect::CheckOnly(signals)) => checks_pass(&|s| signals.contains(&s)),
                Some(GateEffect::RejectPercent(_)) | None => checks_pass(&|_| true),
            };
            closed_by_workspace.insert(insert_index, (name.clone(), !is_open));
        }
        Self {
            default_closed: !checks_pass(&|_| true),
            closed_by_workspace,
        }
    }

    /// Returns whether batch requests of `workspace` may start.
    pub fn is_admitted(&self, workspace: &str) -> bool {
        let search_result = self
            .closed_by_workspace
            .binary_search_by(|(existing, _)| existing.as_str().cmp(workspace));
        let closed = search_result.map_or(self.default_closed, |index| {
            self.closed_by_workspace[index].1
        });
        !closed
    }

    /// Returns whether the batch requests of any workspace are held back.
    pub fn is_any_closed(&self) -> bool {
        self.default_closed || self.closed_by_workspace.iter().any(|(_, closed)| *closed)
    }
}
