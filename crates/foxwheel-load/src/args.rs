//! Parses the command line of `foxwheel-load`.

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

/// Default of `--calls`: the calls each way for `overhead`, the changes for `propagation`.
const DEFAULT_CALLS: u64 = 2_000;

/// A parsed command with its options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// `run`: runs one experiment.
    Run {
        /// The experiment file.
        experiment: PathBuf,
        /// The folder that results are written to.
        out: PathBuf,
    },
    /// `sweep`: runs an experiment at many points.
    Sweep {
        /// The sweep file.
        sweep: PathBuf,
        /// The folder that results are written to.
        out: PathBuf,
    },
    /// `fit`: fits one column of a sweep's rows to others.
    Fit {
        /// The file with a sweep's rows.
        rows: PathBuf,
        /// The column to fit.
        y: String,
        /// The columns, or products of columns, that it depends on.
        xs: Vec<String>,
    },
    /// `overhead`: compares a gateway with direct calls.
    Overhead {
        /// The experiment file; its fleet and first online load are used.
        experiment: PathBuf,
        /// The folder that results are written to.
        out: PathBuf,
        /// The number of calls each way.
        calls: u64,
    },
    /// `propagation`: measures the time until changes are in force.
    Propagation {
        /// The experiment file; its fleet is used.
        experiment: PathBuf,
        /// The folder that results are written to.
        out: PathBuf,
        /// The number of changes to apply.
        changes: u64,
    },
    /// `model`: simulates the variants of a scenario.
    Model {
        /// The scenario file.
        scenario: PathBuf,
        /// The folder that results are written to.
        out: PathBuf,
    },
    /// `--help`: prints the usage text.
    Help,
    /// `--version`: prints the version.
    Version,
}

/// Parses the arguments that follow the program name. Returns an error for an unknown command
/// or option, and if a required option is missing.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_args(args);
    let mut command_name = None;
    let (mut experiment, mut sweep, mut scenario) = (None, None, None);
    let (mut rows, mut out) = (None, None);
    let (mut y, mut xs, mut calls) = (None, None, DEFAULT_CALLS);
    while let Some(arg) = parser.next()? {
        match arg {
            Value(value) if command_name.is_none() => command_name = Some(value.string()?),
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
    match command_name.as_deref() {
        Some("run") => Ok(Command::Run {
            experiment: require_option(experiment, "--experiment")?,
            out: require_option(out, "--out")?,
        }),
        Some("sweep") => Ok(Command::Sweep {
            sweep: require_option(sweep, "--sweep")?,
            out: require_option(out, "--out")?,
        }),
        Some("fit") => Ok(Command::Fit {
            rows: require_option(rows, "--rows")?,
            y: require_option(y, "--y")?,
            xs: require_option(xs, "--x")?,
        }),
        Some("overhead") => Ok(Command::Overhead {
            experiment: require_option(experiment, "--experiment")?,
            out: require_option(out, "--out")?,
            calls,
        }),
        Some("propagation") => Ok(Command::Propagation {
            experiment: require_option(experiment, "--experiment")?,
            out: require_option(out, "--out")?,
            changes: calls,
        }),
        Some("model") => Ok(Command::Model {
            scenario: require_option(scenario, "--scenario")?,
            out: require_option(out, "--out")?,
        }),
        Some(other) => Err(format!("unknown command `{other}`").into()),
        None => Err("no command given".into()),
    }
}

fn require_option<T>(value: Option<T>, option: &str) -> Result<T, lexopt::Error> {
    value.ok_or_else(|| lexopt::Error::MissingValue {
        option: Some(option.to_owned()),
    })
}
