//! Files that a soak run writes to its directory: the plan and the report.

use std::path::{Path, PathBuf};

use crate::checks::Breach;
use crate::evidence::{CallEnd, Evidence};
use crate::fleet::{io_error, SoakError};
use crate::plan::Plan;

/// Name of the plan file.
pub const PLAN_FILE: &str = "plan.json";

/// Name of the report file.
pub const REPORT_FILE: &str = "report.txt";

/// Writes the plan. Called before the run starts, so that an interrupted run can be replayed too.
pub fn write_plan(plan: &Plan, folder: &Path) -> Result<(), SoakError> {
    let text = serde_json::to_string_pretty(plan).map_err(std::io::Error::other);
    let text = text.map_err(io_error("encode the plan"))?;
    std::fs::write(folder.join(PLAN_FILE), text).map_err(io_error("write the plan"))
}

/// Writes the report and returns its first line.
pub fn write_report(
    plan: &Plan,
    evidence: &Evidence,
    breaches: &[Breach],
    log_files: &[PathBuf],
    folder: &Path,
) -> Result<String, SoakError> {
    let summary = format_summary(plan, evidence, breaches);
    let mut text = format!("{summary}\n");
    for breach in breaches {
        text.push_str(&format!("{breach}\n"));
        text.push_str(&format!("    {}\n", explain_command(breach, log_files)));
    }
    let file = folder.join(REPORT_FILE);
    std::fs::write(file, text).map_err(io_error("write the report"))?;
    Ok(summary)
}

/// Returns the command that explains a breach from the logs of the processes.
pub fn explain_command(breach: &Breach, log_files: &[PathBuf]) -> String {
    let log_files: Vec<String> = log_files
        .iter()
        .map(|file| file.display().to_string())
        .collect();
    format!(
        "foxwheel-ctl explain {} {}",
        breach.subject,
        log_files.join(" ")
    )
}

fn format_summary(plan: &Plan, evidence: &Evidence, breaches: &[Breach]) -> String {
    let is_served = |end: &CallEnd| matches!(end, CallEnd::Whole { status: 200, .. });
    let is_refused = |end: &CallEnd| matches!(end, CallEnd::Whole { not_run: true, .. });
    let count_calls = |is_counted: &dyn Fn(&CallEnd) -> bool| {
        let calls = evidence.calls.iter();
        calls.filter(|call| is_counted(&call.end)).count()
    };
    let max_of = |value_of: &dyn Fn(&crate::process::Resources) -> u64| {
        let resources = evidence
            .max_resources
            .iter()
            .map(|(_, resources)| value_of(resources));
        resources.max().unwrap_or_default()
    };
    format!(
        "seed {}: {} broken; {} processes, {} faults, {} calls ({} served, {} refused as not \
         run), {} jobs, {} runs, {} stops; at most {} KB and {} files a process",
        plan.seed,
        breaches.len(),
        plan.size.processes(),
        plan.steps.len(),
        evidence.calls.len(),
        count_calls(&is_served),
        count_calls(&is_refused),
        evidence.jobs.len(),
        evidence.runs.len(),
        evidence.stops.len(),
        max_of(&|resources| resources.memory_bytes) / 1024,
        max_of(&|resources| resources.open_files as u64),
    )
}
