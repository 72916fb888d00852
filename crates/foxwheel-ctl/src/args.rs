//! Parsing of the `foxwheel-ctl` command line.

use std::path::PathBuf;

use crate::{burn, CtlError};

/// Text of `--help`, which also follows every error about the command line.
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

/// Kind of stored objects that `get` prints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectKind {
    /// Deployments.
    Deployments,
    /// The ordered list of rules, which is a single object.
    Rules,
    /// Membership leases of hosts.
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
    Get(ObjectKind),
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
        /// Paths of the log files to search.
        logs: Vec<PathBuf>,
    },
    /// `losses [--plot FILE.svg] LOG...`.
    Losses {
        /// SVG file to plot the losses over time into; `None` for no plot.
        plot: Option<PathBuf>,
        /// Paths of the log files to read.
        logs: Vec<PathBuf>,
    },
    /// `burn [--target SHARE] METRICS...`.
    Burn {
        /// Share of requests that must be on time, at least 0 and below 1.
        target: f64,
        /// Paths of files that hold the metrics of one front each.
        files: Vec<PathBuf>,
    },
    /// `--help`.
    Help,
    /// `--version`.
    Version,
}

/// The parsed command line.
#[derive(Debug, Clone, PartialEq)]
pub struct Args {
    /// Base URL of the platform store.
    pub store_url: String,
    /// Base URL of a gateway.
    pub gateway_url: String,
    /// The command to run.
    pub command: Command,
}

fn usage_error(message: impl Into<String>) -> CtlError {
    CtlError::Usage(format!("{}\n\n{USAGE}", message.into()))
}

/// Parses `args`, the arguments after the program name. Returns [`CtlError::Usage`] if an
/// argument is unknown, missing or invalid.
pub fn parse(args: impl IntoIterator<Item = std::ffi::OsString>) -> Result<Args, CtlError> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_args(args);
    let mut store_url = "http://127.0.0.1:7100".to_owned();
    let mut gateway_url = "http://127.0.0.1:7000".to_owned();
    let mut file: Option<PathBuf> = None;
    let mut plot: Option<PathBuf> = None;
    let mut positional: Vec<String> = Vec::new();
    let mut target = burn::DEFAULT_TARGET;
    let parse_error = |e: lexopt::Error| usage_error(e.to_string());
    while let Some(arg) = parser.next().map_err(parse_error)? {
        match arg {
            Long("store") => {
                store_url = parser
                    .value()
                    .map_err(parse_error)?
                    .string()
                    .map_err(parse_error)?
            }
            Long("gateway") => {
                gateway_url = parser
                    .value()
                    .map_err(parse_error)?
                    .string()
                    .map_err(parse_error)?
            }
            Short('f') | Long("file") => {
                file = Some(PathBuf::from(parser.value().map_err(parse_error)?))
            }
            Long("plot") => plot = Some(PathBuf::from(parser.value().map_err(parse_error)?)),
            Long("target") => {
                target = parser
                    .value()
                    .map_err(parse_error)?
                    .parse()
                    .map_err(parse_error)?;
                if !(0.0..1.0).contains(&target) {
                    return Err(usage_error("--target must be at least 0 and below 1"));
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
            Value(value) => positional.push(value.string().map_err(parse_error)?),
            _ => return Err(parse_error(arg.unexpected())),
        }
    }
    let require_file =
        |file: Option<PathBuf>| file.ok_or_else(|| usage_error("this command needs -f FILE"));
    let positional: Vec<&str> = positional.iter().map(String::as_str).collect();
    let command = match positional.as_slice() {
        ["apply"] => Command::Apply(require_file(file)?),
        ["diff"] => Command::Diff(require_file(file)?),
        ["get", kind] => Command::Get(match *kind {
            "deployments" => ObjectKind::Deployments,
            "rules" => ObjectKind::Rules,
            "members" => ObjectKind::Members,
            "jobs" => ObjectKind::Jobs,
            other => return Err(usage_error(format!("unknown kind `{other}`"))),
        }),
        ["batch", "create"] => Command::BatchCreate(require_file(file)?),
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
        ["losses"] => return Err(usage_error("losses needs at least one log file")),
        ["burn", files @ ..] if !files.is_empty() => Command::Burn {
            target,
            files: files.iter().map(PathBuf::from).collect(),
        },
        ["burn"] => return Err(usage_error("burn needs at least one metrics file")),
        ["explain", ..] => {
            return Err(usage_error("explain needs an id and at least one log file"))
        }
        [] => return Err(usage_error("no command given")),
        other => {
            return Err(usage_error(format!(
                "unknown command `{}`",
                other.join(" ")
            )))
        }
    };
    Ok(Args {
        store_url,
        gateway_url,
        command,
    })
}
