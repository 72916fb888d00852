//! The command line of `foxwheel-ctl`.

use std::path::PathBuf;

use crate::{burn, CtlError};

/// The usage text.
pub const USAGE: &str = "usage: foxwheel-ctl [--store URL] [--gateway URL] COMMAND

commands:
  apply -f FILE.json      apply declarations (conditional on the versions read)
  diff -f FILE.json       show what apply would change
  get KIND                print deployments, rules, members or jobs
  batch create -f FILE    create a batch job from a JSON request
  batch status ID         print a job's counts
  batch cancel ID         cancel a job
  batch results ID        print a job's results as JSON lines
  explain ID LOG...       tell what became of a request, item or job, and why,
                          from the logs of several processes
  losses [--plot FILE.svg] LOG...
                          what was late, refused, failed or run again, by reason, server,
                          host and second, from the logs of several processes
  burn [--target SHARE] METRICS...
                          how fast online requests spend their error budget, from
                          files of what GET /metrics of each front answered

defaults: --store http://127.0.0.1:7100 --gateway http://127.0.0.1:7000";

/// What to list with `get`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Deployment declarations.
    Deployments,
    /// The ordered rules.
    Rules,
    /// Membership leases.
    Members,
    /// Batch job records.
    Jobs,
}

/// A parsed command.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// `apply -f FILE`.
    Apply(PathBuf),
    /// `diff -f FILE`.
    Diff(PathBuf),
    /// `get KIND`.
    Get(Kind),
    /// `batch create -f FILE`.
    BatchCreate(PathBuf),
    /// `batch status ID`.
    BatchStatus(String),
    /// `batch cancel ID`.
    BatchCancel(String),
    /// `batch results ID`.
    BatchResults(String),
    /// `explain ID LOG...`.
    Explain {
        /// Id of a request, batch item or job.
        id: String,
        /// Log files.
        logs: Vec<PathBuf>,
    },
    /// `losses LOG...`.
    Losses {
        /// Where to draw the losses over time; nowhere if none.
        plot: Option<PathBuf>,
        /// Log files.
        logs: Vec<PathBuf>,
    },
    /// `burn METRICS...`.
    Burn {
        /// Share of requests that must be on time.
        target: f64,
        /// Files of metrics.
        files: Vec<PathBuf>,
    },
    /// `--help`.
    Help,
    /// `--version`.
    Version,
}

/// The whole command line.
#[derive(Debug, Clone, PartialEq)]
pub struct Args {
    /// The platform store's base URL.
    pub store_url: String,
    /// A gateway's base URL.
    pub gateway_url: String,
    /// What to do.
    pub command: Command,
}

fn usage(message: impl Into<String>) -> CtlError {
    CtlError::Usage(format!("{}\n\n{USAGE}", message.into()))
}

/// Parses the arguments after the program name.
pub fn parse(args: impl IntoIterator<Item = std::ffi::OsString>) -> Result<Args, CtlError> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_args(args);
    let mut store_url = "http://127.0.0.1:7100".to_owned();
    let mut gateway_url = "http://127.0.0.1:7000".to_owned();
    let mut file: Option<PathBuf> = None;
    let mut plot: Option<PathBuf> = None;
    let mut words: Vec<String> = Vec::new();
    let mut target = burn::DEFAULT_TARGET;
    let bad = |e: lexopt::Error| usage(e.to_string());
    while let Some(arg) = parser.next().map_err(bad)? {
        match arg {
            Long("store") => store_url = parser.value().map_err(bad)?.string().map_err(bad)?,
            Long("gateway") => gateway_url = parser.value().map_err(bad)?.string().map_err(bad)?,
            Short('f') | Long("file") => file = Some(PathBuf::from(parser.value().map_err(bad)?)),
            Long("plot") => plot = Some(PathBuf::from(parser.value().map_err(bad)?)),
            Long("target") => {
                target = parser.value().map_err(bad)?.parse().map_err(bad)?;
                if !(0.0..1.0).contains(&target) {
                    return Err(usage("--target must be at least 0 and below 1"));
                }
            }
            Short('h') | Long("help") => {
                return Ok(Args {
                    store_url,
                    gateway_url,
                    command: Command::Help,
                })
            }
            Short('V') | Long("version") => {
                return Ok(Args {
                    store_url,
                    gateway_url,
                    command: Command::Version,
                })
            }
            Value(word) => words.push(word.string().map_err(bad)?),
            _ => return Err(bad(arg.unexpected())),
        }
    }
    let need_file = |file: Option<PathBuf>| file.ok_or_else(|| usage("this command needs -f FILE"));
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let command = match words.as_slice() {
        ["apply"] => Command::Apply(need_file(file)?),
        ["diff"] => Command::Diff(need_file(file)?),
        ["get", kind] => Command::Get(match *kind {
            "deployments" => Kind::Deployments,
            "rules" => Kind::Rules,
            "members" => Kind::Members,
            "jobs" => Kind::Jobs,
            other => return Err(usage(format!("unknown kind `{other}`"))),
        }),
        ["batch", "create"] => Command::BatchCreate(need_file(file)?),
        ["batch", "status", id] => Command::BatchStatus((*id).to_owned()),
        ["batch", "cancel", id] => Command::BatchCancel((*id).to_owned()),
        ["batch", "results", id] => Command::BatchResults((*id).to_owned()),
        ["explain", id, logs @ ..] if !logs.is_empty() => Command::Explain {
            id: (*id).to_owned(),
            logs: logs.iter().map(PathBuf::from).collect(),
        },
        ["losses", logs @ ..] if !logs.is_empty() => Command::Losses {
            plot,
            logs: logs.iter().map(PathBuf::from).collect(),
        },
        ["losses"] => return Err(usage("losses needs log files")),
        ["burn", files @ ..] if !files.is_empty() => Command::Burn {
            target,
            files: files.iter().map(PathBuf::from).collect(),
        },
        ["burn"] => return Err(usage("burn needs files of metrics")),
        ["explain", ..] => return Err(usage("explain needs an id and log files")),
        [] => return Err(usage("no command given")),
        other => return Err(usage(format!("unknown command `{}`", other.join(" ")))),
    };
    Ok(Args {
        store_url,
        gateway_url,
        command,
    })
}
