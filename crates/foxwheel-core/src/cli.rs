//! The command line shared by the long-running processes: `--settings FILE`,
//! `--check-settings FILE`, `--settings-page`, `--version` and `--help`.

use std::path::PathBuf;

use schemars::JsonSchema;
use serde::de::DeserializeOwned;

use crate::settings::{self, Check, SettingsError};
use crate::settings_page;

/// What a server process was asked to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Run with the settings in this file.
    Run {
        /// The JSON settings file.
        settings: PathBuf,
    },
    /// Say what is wrong with the settings in this file and exit.
    CheckSettings {
        /// The JSON settings file.
        settings: PathBuf,
    },
    /// Print what each field of the settings means and exit.
    SettingsPage,
    /// Print the version and exit.
    Version,
    /// Print the usage text and exit.
    Help,
}

/// Parses the process's arguments; `-s`, `-h` and `-V` are short forms.
pub fn parse_server_args(
    args: impl IntoIterator<Item = std::ffi::OsString>,
) -> Result<Command, lexopt::Error> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_args(args);
    let mut settings = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Short('s') | Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Long("check-settings") => {
                let settings = PathBuf::from(parser.value()?);
                return Ok(Command::CheckSettings { settings });
            }
            Long("settings-page") => return Ok(Command::SettingsPage),
            Short('V') | Long("version") => return Ok(Command::Version),
            Short('h') | Long("help") => return Ok(Command::Help),
            _ => return Err(arg.unexpected()),
        }
    }
    let settings = settings.ok_or(lexopt::Error::MissingValue {
        option: Some("--settings".to_owned()),
    })?;
    Ok(Command::Run { settings })
}

/// Reads the settings of the process `name` from the file its arguments name. Prints what
/// was asked for and exits on the other options; prints every problem and exits with 2 on
/// bad arguments or a refused file.
pub fn load_settings_or_exit<T: DeserializeOwned + Check + JsonSchema>(
    name: &str,
    about: &str,
) -> T {
    let usage = format!(
        "{about}\n\nusage: {name} --settings FILE.json\n       \
         {name} --check-settings FILE.json | --settings-page | --version | --help"
    );
    let load = |path: &PathBuf| {
        settings::load(path).unwrap_or_else(|e: SettingsError| refuse(name, &e.to_string()))
    };
    let done = |text: &str| -> ! {
        println!("{text}");
        std::process::exit(0);
    };
    match parse_server_args(std::env::args_os().skip(1)) {
        Ok(Command::Run { settings }) => load(&settings),
        Ok(Command::CheckSettings { settings }) => {
            let _: T = load(&settings);
            done("the settings are valid")
        }
        Ok(Command::SettingsPage) => done(&settings_page::render_section::<T>(name)),
        Ok(Command::Version) => done(&format!("{name} {}", env!("CARGO_PKG_VERSION"))),
        Ok(Command::Help) => done(&usage),
        Err(e) => refuse(name, &format!("{e}\n{usage}")),
    }
}

fn refuse(name: &str, message: &str) -> ! {
    eprintln!("{name}: {message}");
    std::process::exit(2);
}
