//! Command line of `foxwheel-soak`.

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use crate::plan::FleetSize;

/// Usage text, printed for `--help` and after errors.
pub const USAGE: &str = "usage: foxwheel-soak --out FOLDER [OPTION ...]

Runs foxwheel-front and foxwheel-worker from the folder of this program, injects faults and
checks what they promise to callers. Exits with 1 if a promise was broken, and with 2 if a run
could not be carried out.

  --seed N        the first seed (default 1)
  --seeds N       number of consecutive seeds to run (default 1)
  --seconds N     time for which faults are injected, for each seed (default 10); then the
                  same time with only silent servers, new configurations and reloads
  --fronts N, --workers N, --servers N, --callers N, --zones N
                  size of the fleet (default 3, 2, 4, 6, 2)
  --plan FILE     run the plan in this file instead; each run writes its plan to its folder
  --shrink        search for the fewest faults that still break the first broken promise; writes
                  smallest/plan.json
  --help, --version";

/// Command given on the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Runs seeds or a plan.
    Run(Options),
    /// Prints the usage text.
    Help,
    /// Prints the version.
    Version,
}

/// Options of soak runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Directory in which each run creates its own.
    pub out: PathBuf,
    /// First seed.
    pub seed: u64,
    /// Number of consecutive seeds to run.
    pub seeds: u64,
    /// Size of the fleet, and how long faults are injected.
    pub size: FleetSize,
    /// File of the plan to run instead of plans drawn from seeds.
    pub plan: Option<PathBuf>,
    /// Whether to search for the smallest plan that still breaks the first broken promise.
    pub shrink: bool,
}

/// Returns the size used unless options change it.
pub fn default_size() -> FleetSize {
    FleetSize {
        zones: 2,
        fronts: 3,
        workers: 2,
        servers: 4,
        callers: 6,
        injection_duration: Duration::from_secs(10),
    }
}

/// Maximum number of fronts and workers. Each uses two addresses of the fleet's loopback network.
const MAX_HOSTS: usize = 120;

/// Parses the command line. Returns an error for unknown options, invalid values and missing
/// `--out`.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_args(args);
    let mut options = Options {
        out: PathBuf::new(),
        seed: 1,
        seeds: 1,
        size: default_size(),
        plan: None,
        shrink: false,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("out") => options.out = parser.value()?.into(),
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("seeds") => options.seeds = parser.value()?.parse()?,
            Long("seconds") => {
                options.size.injection_duration = Duration::from_secs(parser.value()?.parse()?);
            }
            Long("fronts") => options.size.fronts = parser.value()?.parse()?,
            Long("workers") => options.size.workers = parser.value()?.parse()?,
            Long("servers") => options.size.servers = parser.value()?.parse()?,
            Long("callers") => options.size.callers = parser.value()?.parse()?,
            Long("zones") => options.size.zones = parser.value()?.parse()?,
            Long("plan") => options.plan = Some(parser.value()?.into()),
            Long("shrink") => options.shrink = true,
            Long("help") | Short('h') => return Ok(Command::Help),
            Long("version") | Short('V') => return Ok(Command::Version),
            _ => return Err(arg.unexpected()),
        }
    }
    check_options(&options)?;
    Ok(Command::Run(options))
}

fn check_options(options: &Options) -> Result<(), lexopt::Error> {
    let size = &options.size;
    let counts = [size.fronts, size.workers, size.servers, size.zones as usize];
    let problem = if options.out.as_os_str().is_empty() {
        "--out FOLDER is missing".to_owned()
    } else if counts.contains(&0) {
        "--fronts, --workers, --servers and --zones must be at least 1".to_owned()
    } else if size.processes() > MAX_HOSTS {
        format!("at most {MAX_HOSTS} fronts and workers")
    } else {
        return Ok(());
    };
    Err(lexopt::Error::Custom(problem.into()))
}
