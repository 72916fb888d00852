//! Parses the command line that all long-running processes share: `--settings FILE`,
//! `--check-settings FILE`, `--settings-page`, `--version` and `--help`.

use std::path::PathBuf;

use schemars::JsonSchema;
use serde::de::DeserializeOwned;

use crate::settings::{self, Check, SettingsError};
use crate::settings_page;

/// What the command line of a long-running process asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Runs the process with the settings in a file.
    Run {
        /// Path of the JSON settings file.
        settings: PathBuf,
    },
    /// Checks the settings in a file, prints the problems and exits.
    CheckSettings {
        /// Path of the JSON settings file.
        settings: PathBuf,
    },
    /// Prints the documentation of all settings of the process and exits.
    SettingsPage,
    /// Prints the version and exits.
    Version,
    /// Prints the usage text and exits.
    Help,
}

/// Parses the arguments of a long-running process. `-s`, `-h` and `-V` are short forms of
/// `--settings`, `--help` and `--version`. Returns an error for an unknown argument, for a missing
/// value, and if none of the options is given.
pub fn parse_process_args(
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

/// Loads the settings of the process `name` from the file given by `--settings`. For the other
/// options it prints the requested text and exits. If the arguments or the settings are not valid,
/// it prints why, for arguments together with the usage text, and exits with status 2.
///
/// `about` says what the process does; the usage text begins with it.
pub fn load_settings_or_exit<T: DeserializeOwned + Check + JsonSchema>(
    name: &str,
    about: &str,
) -> T {
    let usage = format!(
        "{about}\n\nusage: {name} --settings FILE.json\n       \
         {name} --check-settings FILE.json | --settings-page | --version | --help"
    );
    let load_or_exit = |path: &PathBuf| {
        settings::load(path)
            .unwrap_or_else(|e: SettingsError| exit_with_error(name, &e.to_string()))
    };
    let print_and_exit = |text: &str| -> ! {
        println!("{text}");
        std::process::exit(0);
    };
    match parse_process_args(std::env::args_os().skip(1)) {
        Ok(Command::Run { settings }) => load_or_exit(&settings),
        Ok(Command::CheckSettings { settings }) => {
            let _: T = load_or_exit(&settings);
            print_and_exit("the settings are valid")
        }
        Ok(Command::SettingsPage) => print_and_exit(&settings_page::render_section::<T>(name)),
        Ok(Command::Version) => print_and_exit(&format!("{name} {}", env!("CARGO_PKG_VERSION"))),
        Ok(Command::Help) => print_and_exit(&usage),
        Err(e) => exit_with_error(name, &format!("{e}\n{usage}")),
    }
}

fn exit_with_error(name: &str, message: &str) -> ! {
    eprintln!("{name}: {message}");
    std::process::exit(2);
}
