//! Runs a program of this workspace as a process of its own.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A program to run.
#[derive(Debug)]
pub struct ProgramSpec<'a> {
    /// Name of the process, for its files.
    pub name: &'a str,
    /// The program.
    pub program: &'a Path,
    /// Content of its settings file.
    pub settings: &'a str,
    /// Folder for its settings file and its log.
    pub folder: &'a Path,
    /// Maximum number of files and sockets that it may have open; `None` for that of the tests.
    pub max_open_files: Option<usize>,
}

/// A running program. Dropping it kills the process.
#[derive(Debug)]
pub struct RunningProgram {
    child: Child,
    /// File with everything that the process has written.
    pub log_file: PathBuf,
}

impl RunningProgram {
    /// Starts a program with `--settings FILE`. Returns an error if its files cannot be written or it
    /// cannot be started.
    pub fn start(spec: &ProgramSpec<'_>) -> std::io::Result<Self> {
        std::fs::create_dir_all(spec.folder)?;
        let settings_file = spec.folder.join(format!("{}.json", spec.name));
        std::fs::write(&settings_file, spec.settings)?;
        let log_file = spec.folder.join(format!("{}.log", spec.name));
        let log = std::fs::File::create(&log_file)?;
        let mut command = match spec.max_open_files {
            Some(max_open_files) => with_open_files(spec.program, max_open_files),
            None => Command::new(spec.program),
        };
        let child = command
            .arg("--settings")
            .arg(&settings_file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child, log_file })
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process has logged a line with `marker`, and returns what follows it there.
    /// Returns `None` if the process ends before, or takes minutes.
    pub async fn wait_for_log(&mut self, marker: &str) -> Option<String> {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        const MAX_POLLS: usize = 6_000;
        for _ in 0..MAX_POLLS {
            let log = std::fs::read_to_string(&self.log_file).ok()?;
            // The last line may be incomplete.
            let (complete, _) = log.rsplit_once('\n').unwrap_or_default();
            let found = complete.lines().find_map(|line| line.split_once(marker));
            if let Some((_, rest)) = found {
                return Some(rest.to_owned());
            }
            if !self.is_running() {
                return None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

/// Returns a command that lowers its limit of open files and then becomes `program`.
fn with_open_files(program: &Path, max_open_files: usize) -> Command {
    let mut command = Command::new("sh");
    command
        .arg("-c")
        .arg("ulimit -n \"$0\" && exec \"$@\"")
        .arg(max_open_files.to_string())
        .arg(program);
    command
}

impl Drop for RunningProgram {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
