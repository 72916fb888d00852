//! The command line of `foxwheel-load`.

use std::ffi::OsString;
use std::path::PathBuf;

/// The usage text.
pub const USAGE: &str = "usage: foxwheel-load COMMAND

commands:
  run --experiment FILE --out FOLDER     run one experiment; writes result.json, report.txt
                                         and plots (SVG), exits 1 when a check failed
  sweep --sweep FILE --out FOLDER        run an experiment at many points; writes rows.tsv
  fit --rows FILE --y COLUMN --x A[,B]   slopes of a column over others, least squares
  overhead --experiment FILE --out FOLDER [--calls N]
                                         a gateway against direct calls, in one run
  propagation --experiment FILE --out FOLDER [--calls N]
                                         the time N changes take to be in force
  model --scenario FILE --out FOLDER     variants of the decisions on the load model;
                                         writes report.md and first-token.svg";

/// Calls of `overhead`, each way, unless told otherwise.
const DEFAULT_CALLS: u64 = 2_000;

/// A parsed command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// `run`.
    Run {
        /// The experiment file.
        experiment: PathBuf,
        /// Where results go.
        out: PathBuf,
    },
    /// `sweep`.
    Sweep {
        /// The sweep file.
        sweep: PathBuf,
        /// Where results go.
        out: PathBuf,
    },
    /// `fit`.
    Fit {
        /// A sweep's rows.
        rows: PathBuf,
        /// The column to fit.
        y: String,
        /// The columns it depends on.
        xs: Vec<String>,
    },
    /// `overhead`.
    Overhead {
        /// The experiment file; its fleet and first online load are used.
        experiment: PathBuf,
        /// Where results go.
        out: PathBuf,
        /// Calls each way.
        calls: u64,
    },
    /// `propagation`.
    Propagation {
        /// The experiment file; its fleet is used.
        experiment: PathBuf,
        /// Where results go.
        out: PathBuf,
        /// Changes applied.
        changes: u64,
    },
    /// `model`.
    Model {
        /// The scenario file.
        scenario: PathBuf,
        /// Where results go.
        out: PathBuf,
    },
    /// `--help`.
    Help,
    /// `--version`.
    Version,
}

/// Parses the arguments after the program name.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_args(args);
    let mut name = None;
    let (mut experiment, mut sweep, mut scenario) = (None, None, None);
    let (mut rows, mut out) = (None, None);
    let (mut y, mut xs, mut calls) = (None, None, DEFAULT_CALLS);
    while let Some(arg) = parser.next()? {
        match arg {
            Value(word) if name.is_none() => name = Some(word.string()?),
            Short('e') | Long("experiment") => experiment = Some(PathBuf::from(parser.value()?)),
            Long("sweep") => sweep = Some(PathBuf::from(parser.value()?)),
            Long("scenario") => scenario = Some(PathBuf::from(parser.value()?)),
            Long("rows") => rows = Some(PathBuf::from(parser.value()?)),
            Short('o') | Long("out") => out = Some(PathBuf::from(parser.value()?)),
            Long("y") => y = Some(parser.value()?.string()?),
            Long("x") => {
                let names = parser.value()?.string()?;
                xs = Some(names.split(',').map(str::to_owned).collect());
            }
            Long("calls") => calls = parser.value()?.parse()?,
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            _ => return Err(arg.unexpected()),
        }
    }
    match name.as_deref() {
        Some("run") => Ok(Command::Run {
            experiment: need(experiment, "--experiment")?,
            out: need(out, "--out")?,
        }),
        Some("sweep") => Ok(Command::Sweep {
            sweep: need(sweep, "--sweep")?,
            out: need(out, "--out")?,
        }),
        Some("fit") => Ok(Command::Fit {
            rows: need(rows, "--rows")?,
            y: need(y, "--y")?,
            xs: need(xs, "--x")?,
        }),
        Some("overhead") => Ok(Command::Overhead {
            experiment: need(experiment, "--experiment")?,
            out: need(out, "--out")?,
            calls,
        }),
        Some("propagation") => Ok(Command::Propagation {
            experiment: need(experiment, "--experiment")?,
            out: need(out, "--out")?,
            changes: calls,
        }),
        Some("model") => Ok(Command::Model {
            scenario: need(scenario, "--scenario")?,
            out: need(out, "--out")?,
        }),
        Some(other) => Err(format!("unknown command `{other}`").into()),
        None => Err("no command given".into()),
    }
}

fn need<T>(value: Option<T>, option: &str) -> Result<T, lexopt::Error> {
    value.ok_or_else(|| lexopt::Error::MissingValue {
        option: Some(option.to_owned()),
    })
}
