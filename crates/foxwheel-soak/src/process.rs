//! Starts a front or worker from its program as a process of its own.

use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use serde_json::Value;

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Serves callers.
    Front,
    /// Runs batch jobs.
    Worker,
}

impl Role {
    /// Returns the name of the role's program.
    pub fn program(self) -> &'static str {
        match self {
            Self::Front => "foxwheel-front",
            Self::Worker => "foxwheel-worker",
        }
    }

    /// Returns the role's name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::Front => "front",
            Self::Worker => "worker",
        }
    }
}

/// A process could not be started or signalled, or its files could not be written.
#[derive(Debug, thiserror::Error)]
#[error("cannot {step} {host}: {source}")]
pub struct ProcessError {
    /// The step that failed, as a verb with its object.
    pub step: &'static str,
    /// Host of the process.
    pub host: String,
    /// Error of the system.
    pub source: std::io::Error,
}

/// Resource use of a process. Reports write the names of the type and its fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resources {
    /// Anonymous resident memory, which excludes the program's own file.
    pub memory_bytes: u64,
    /// Number of open files, including sockets.
    pub open_files: usize,
}

/// A front or worker on a host. It can be started several times, one after the other.
#[derive(Debug)]
pub struct Process {
    /// Name of the host.
    pub host: String,
    /// Role of the process.
    pub role: Role,
    /// Log file. All starts of the process append to it.
    pub log_file: PathBuf,
    /// Address at which the process serves its metrics.
    pub metrics_addr: SocketAddr,
    program: PathBuf,
    settings_file: PathBuf,
    settings: Value,
    child: Option<Child>,
    /// Whether the process has listened since its last start.
    has_listened: bool,
}

/// What is needed to start a process.
#[derive(Debug)]
pub struct ProcessSpec<'a> {
    /// Name of the host.
    pub host: String,
    /// Role of the process.
    pub role: Role,
    /// Settings of the process.
    pub settings: Value,
    /// Address at which the process serves its metrics.
    pub metrics_addr: SocketAddr,
    /// Directory of the programs.
    pub programs: &'a Path,
    /// Directory for the settings file and the log file.
    pub folder: &'a Path,
}

impl Process {
    /// Starts a process. Its settings file and log file are created in the directory of the spec.
    pub fn start(spec: ProcessSpec<'_>) -> Result<Self, ProcessError> {
        let mut process = Self {
            log_file: spec.folder.join(format!("{}.log", spec.host)),
            settings_file: spec.folder.join(format!("{}.json", spec.host)),
            program: spec.programs.join(spec.role.program()),
            host: spec.host,
            role: spec.role,
            metrics_addr: spec.metrics_addr,
            settings: spec.settings,
            child: None,
            has_listened: false,
        };
        process.settings_write(None)()?;
        process.spawn()?;
        Ok(process)
    }

    /// Starts the process, for the first time or again after it has ended, with the settings
    /// written last. The log file is continued.
    pub fn spawn(&mut self) -> Result<(), ProcessError> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_file)
            .map_err(self.error("open the log of"))?;
        let stderr = log.try_clone().map_err(self.error("open the log of"))?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings_file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(stderr)
            .spawn()
            .map_err(self.error("start"))?;
        self.child = Some(child);
        self.has_listened = false;
        Ok(())
    }

    /// Returns whether the process has listened since its last start. Before that, it may still
    /// be reading its settings, and a signal may end it.
    pub fn has_listened(&self) -> bool {
        self.has_listened
    }

    /// Records that the process listens.
    pub fn mark_listening(&mut self) {
        self.has_listened = true;
    }

    /// Returns a function that writes the settings file: the settings of the process, or
    /// `replacement` instead of them. It may block for seconds while the disk is busy.
    pub fn settings_write(
        &self,
        replacement: Option<&str>,
    ) -> impl FnOnce() -> Result<(), ProcessError> + Send {
        let text = replacement.map_or_else(|| self.settings.to_string(), str::to_owned);
        let (file, error) = (
            self.settings_file.clone(),
            self.error("write the settings of"),
        );
        move || std::fs::write(file, text).map_err(error)
    }

    /// Sends a signal to the process. Returns false if the process has ended.
    pub fn signal(&mut self, signal: Signal) -> Result<bool, ProcessError> {
        if self.poll_exit().is_some() {
            return Ok(false);
        }
        let Some(pid) = self.pid() else {
            return Ok(false);
        };
        let sent = signal::kill(Pid::from_raw(pid as i32), signal);
        sent.map_err(|e| self.error("signal")(e.into()))?;
        Ok(true)
    }

    /// Returns how the process ended, or `None` while it is running.
    pub fn poll_exit(&mut self) -> Option<ProcessExit> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(match status.signal() {
            Some(number) => ProcessExit::Signal(number),
            None => ProcessExit::Exit(status.code().unwrap_or_default()),
        })
    }

    /// Returns the current resource use, or `None` if the process has ended or has not listened
    /// yet. Until the kernel has loaded the program, `/proc` shows the open files of the parent
    /// process instead.
    pub fn resources(&self) -> Option<Resources> {
        if !self.has_listened {
            return None;
        }
        let folder = PathBuf::from(format!("/proc/{}", self.pid()?));
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let anonymous = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))?;
        let kib: u64 = anonymous.trim().strip_suffix(" kB")?.parse().ok()?;
        let open_files = std::fs::read_dir(folder.join("fd")).ok()?.count();
        Some(Resources {
            memory_bytes: kib * 1024,
            open_files,
        })
    }

    fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn error(&self, step: &'static str) -> impl FnOnce(std::io::Error) -> ProcessError {
        let host = self.host.clone();
        move |source| ProcessError { step, host, source }
    }
}

/// How a process ended. Reports write the names of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessExit {
    /// The process exited with this code.
    Exit(i32),
    /// The process was terminated by this signal.
    Signal(i32),
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // The process may already have ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
