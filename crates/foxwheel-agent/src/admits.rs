//! Which workspaces' batch work may start, judged from a gate's rules and the signals.

use foxwheel_core::declarations::{BatchGate, GateCheck, GateEffect, Signal};

/// The signals' values at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Signals {
    /// [`Signal::EngineWaiting`].
    pub engine_waiting: u64,
    /// [`Signal::CacheUsedPercent`].
    pub cache_used_percent: u64,
    /// [`Signal::OnlineTtftP95Ms`]; 0 without recent requests.
    pub online_ttft_p95_ms: u64,
}

impl Signals {
    fn value(&self, signal: Signal) -> u64 {
        match signal {
            Signal::EngineWaiting => self.engine_waiting,
            Signal::CacheUsedPercent => self.cache_used_percent,
            Signal::OnlineTtftP95Ms => self.online_ttft_p95_ms,
        }
    }

    fn hold(&self, check: &GateCheck) -> bool {
        self.value(check.signal) <= check.at_most
    }
}

/// Which workspaces' batch work may start now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Admits {
    /// Whether a workspace without a rule is held back.
    pub closed: bool,
    /// Workspaces with a rule, and whether they are held back; sorted by name.
    pub by_workspace: Vec<(String, bool)>,
}

impl Admits {
    /// Judges `gate` by `signals` at `now_ms`.
    pub fn judge(gate: &BatchGate, signals: &Signals, now_ms: u64) -> Self {
        let holds = |applies: &dyn Fn(Signal) -> bool| {
            let mut checks = gate.checks.iter().filter(|c| applies(c.signal));
            checks.all(|check| signals.hold(check))
        };
        let mut by_workspace: Vec<(String, bool)> = Vec::new();
        for rule in &gate.rules {
            let name = &rule.workspace;
            let at = match by_workspace.binary_search_by(|(known, _)| known.cmp(name)) {
                Ok(_) => continue,
                Err(at) => at,
            };
            let counts = gate.rule_for(name, now_ms);
            let open = match counts.map(|rule| &rule.effect) {
                Some(GateEffect::Exempt) => true,
                Some(GateEffect::CheckOnly(signals)) => holds(&|s| signals.contains(&s)),
                Some(GateEffect::RejectPercent(_)) | None => holds(&|_| true),
            };
            by_workspace.insert(at, (name.clone(), !open));
        }
        Self {
            closed: !holds(&|_| true),
            by_workspace,
        }
    }

    /// Whether batch work of `workspace` may start.
    pub fn admits(&self, workspace: &str) -> bool {
        let found = self
            .by_workspace
            .binary_search_by(|(known, _)| known.as_str().cmp(workspace));
        let closed = found.map_or(self.closed, |at| self.by_workspace[at].1);
        !closed
    }

    /// Whether any workspace is held back.
    pub fn any_closed(&self) -> bool {
        self.closed || self.by_workspace.iter().any(|(_, closed)| *closed)
    }
}
