//! The command line of `foxwheel-soak`.

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use crate::plan::FleetSize;

/// The usage text.
pub const USAGE: &str = "usage: foxwheel-soak --out FOLDER [OPTION ...]

Runs foxwheel-front and foxwheel-worker (found beside this program) under faults and checks
what their callers were promised. Exits with 1 when a promise was broken, with 2 when a run
could not be carried out.

  --seed N        the first seed (default 1)
  --seeds N       how many seeds, one after the other (default 1)
  --seconds N     time in which faults come, for each seed (default 10)
  --fronts N, --workers N, --servers N, --callers N, --zones N
                  the fleet (default 3, 2, 4, 6, 2)
  --plan FILE     carry out this plan instead; a run leaves its own in its folder
  --shrink        leave out faults of the plan, or of the seed's, that are not needed to break
                  the first promise that breaks; writes smallest.json
  --help, --version";

/// What was asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Run seeds or a plan.
    Run(Options),
    /// Print the usage text.
    Help,
    /// Print the version.
    Version,
}

/// The options of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Where each run has its folder.
    pub out: PathBuf,
    /// The first seed.
    pub seed: u64,
    /// How many seeds.
    pub seeds: u64,
    /// The fleet.
    pub size: FleetSize,
    /// A plan's file.
    pub plan: Option<PathBuf>,
    /// Whether to look for a smaller plan.
    pub shrink: bool,
}

/// The fleet of short runs.
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

/// Most hosts: each has two of its network's addresses.
const MOST_HOSTS: usize = 120;

/// Parses the arguments.
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
    check(&options)?;
    Ok(Command::Run(options))
}

fn check(options: &Options) -> Result<(), lexopt::Error> {
    let size = &options.size;
    let counts = [size.fronts, size.workers, size.servers, size.zones as usize];
    let problem = if options.out.as_os_str().is_empty() {
        "--out FOLDER is missing".to_owned()
    } else if counts.contains(&0) {
        "--fronts, --workers, --servers and --zones must be at least 1".to_owned()
    } else if size.processes() > MOST_HOSTS {
        format!("at most {MOST_HOSTS} fronts and workers")
    } else {
        return Ok(());
    };
    Err(lexopt::Error::Custom(problem.into()))
}
