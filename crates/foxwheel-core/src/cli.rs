//! The command line shared by the long-running processes: `--settings FILE` and `--help`.

use std::path::PathBuf;

use serde::de::DeserializeOwned;

use crate::settings::{self, Check};

/// What a server process was asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Run with the settings in this file.
    Run {
        /// The JSON settings file.
        settings: PathBuf,
    },
    /// Print the usage text and exit.
    Help,
}

/// Parses `--settings FILE` (or `-s FILE`) and `--help` from the process's arguments.
pub fn parse_server_args(
    args: impl IntoIterator<Item = std::ffi::OsString>,
) -> Result<Command, lexopt::Error> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_args(args);
    let mut settings = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Short('s') | Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Short('h') | Long("help") => return Ok(Command::Help),
            _ => return Err(arg.unexpected()),
        }
    }
    let settings = settings.ok_or(lexopt::Error::MissingValue {
        option: Some("--settings".to_owned()),
    })?;
    Ok(Command::Run { settings })
}

/// Reads the settings of the process `name` from the file its arguments name. Prints the
/// usage and exits on `--help`; prints what is wrong and exits with 2 on bad arguments or a
/// refused file.
pub fn server_settings<T: DeserializeOwned + Check>(name: &str, about: &str) -> T {
    let usage = format!("{about}\n\nusage: {name} --settings FILE.json");
    let path = match parse_server_args(std::env::args_os().skip(1)) {
        Ok(Command::Run { settings }) => settings,
        Ok(Command::Help) => {
            println!("{usage}");
            std::process::exit(0);
        }
        Err(e) => refuse(name, &format!("{e}\n{usage}")),
    };
    settings::load(&path).unwrap_or_else(|e| refuse(name, &e.to_string()))
}

fn refuse(name: &str, message: &str) -> ! {
    eprintln!("{name}: {message}");
    std::process::exit(2);
}
