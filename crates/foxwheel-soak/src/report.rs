//! What a run leaves in its folder.

use std::path::{Path, PathBuf};

use crate::checks::Breach;
use crate::evidence::{CallEnd, Evidence};
use crate::fleet::{io_error, SoakError};
use crate::plan::Plan;

/// The plan's file in the folder of a run.
pub const PLAN_FILE: &str = "plan.json";

/// The report's file.
pub const REPORT_FILE: &str = "report.txt";

/// Writes the plan, so that a run that was cut short can be played again too.
pub fn write_plan(plan: &Plan, folder: &Path) -> Result<(), SoakError> {
    let text = serde_json::to_string_pretty(plan).map_err(std::io::Error::other);
    let text = text.map_err(io_error("encode the plan"))?;
    std::fs::write(folder.join(PLAN_FILE), text).map_err(io_error("write the plan"))
}

/// Writes the report; answers its first line.
pub fn write(
    plan: &Plan,
    evidence: &Evidence,
    breaches: &[Breach],
    logs: &[PathBuf],
    folder: &Path,
) -> Result<String, SoakError> {
    let summary = summary(plan, evidence, breaches);
    let mut text = format!("{summary}\n");
    for breach in breaches {
        text.push_str(&format!("{breach}\n"));
        text.push_str(&format!("    {}\n", explain_command(breach, logs)));
    }
    let file = folder.join(REPORT_FILE);
    std::fs::write(file, text).map_err(io_error("write the report"))?;
    Ok(summary)
}

/// The command that tells the story of what a breach is about.
pub fn explain_command(breach: &Breach, logs: &[PathBuf]) -> String {
    let logs: Vec<String> = logs.iter().map(|log| log.display().to_string()).collect();
    format!("foxwheel-ctl explain {} {}", breach.subject, logs.join(" "))
}

fn summary(plan: &Plan, evidence: &Evidence, breaches: &[Breach]) -> String {
    let served = |end: &CallEnd| matches!(end, CallEnd::Whole { status: 200, .. });
    let refused = |end: &CallEnd| matches!(end, CallEnd::Whole { not_run: true, .. });
    let count = |is: &dyn Fn(&CallEnd) -> bool| {
        let calls = evidence.calls.iter();
        calls.filter(|call| is(&call.end)).count()
    };
    let most = |of: &dyn Fn(&crate::process::Resources) -> u64| {
        let held = evidence.resources.iter().map(|(_, held)| of(held));
        held.max().unwrap_or_default()
    };
    format!(
        "seed {}: {} broken; {} processes, {} faults, {} calls ({} served, {} refused as not \
         run), {} jobs, {} runs, {} stops; at most {} KB and {} files a process",
        plan.seed,
        breaches.len(),
        plan.size.processes(),
        plan.steps.len(),
        evidence.calls.len(),
        count(&served),
        count(&refused),
        evidence.jobs.len(),
        evidence.runs.len(),
        evidence.stops.len(),
        most(&|held| held.memory_bytes) / 1024,
        most(&|held| held.open_files as u64),
    )
}
