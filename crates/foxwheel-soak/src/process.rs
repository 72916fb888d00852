//! A front or worker as a process of its own, started from its binary.

use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use serde_json::Value;

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Answers callers.
    Front,
    /// Runs batch jobs.
    Worker,
}

impl Role {
    /// The role's program.
    pub fn program(self) -> &'static str {
        match self {
            Self::Front => "foxwheel-front",
            Self::Worker => "foxwheel-worker",
        }
    }

    /// The role's name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::Front => "front",
            Self::Worker => "worker",
        }
    }
}

/// Why a process could not be started or signalled.
#[derive(Debug, thiserror::Error)]
#[error("cannot {step} {host}: {source}")]
pub struct ProcessError {
    /// The step.
    pub step: &'static str,
    /// The host meant.
    pub host: String,
    /// The system's error.
    pub source: std::io::Error,
}

/// Memory and files that a process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resources {
    /// Resident memory of its own, without the program.
    pub memory_bytes: u64,
    /// Open files, sockets among them.
    pub open_files: usize,
}

/// A process on a host; it may live several times, one after the other.
#[derive(Debug)]
pub struct Process {
    /// The host's name.
    pub host: String,
    /// What it does.
    pub role: Role,
    /// Its log, of all its lives.
    pub log: PathBuf,
    /// Where its metrics are served.
    pub metrics: SocketAddr,
    program: PathBuf,
    settings_file: PathBuf,
    settings: Value,
    child: Option<Child>,
    /// Whether it has listened since it was started last.
    has_listened: bool,
}

/// Where things of a process are and what it is.
#[derive(Debug)]
pub struct Spec<'a> {
    /// The host's name.
    pub host: String,
    /// What it does.
    pub role: Role,
    /// Its settings.
    pub settings: Value,
    /// Where its metrics are served.
    pub metrics: SocketAddr,
    /// The folder of the programs.
    pub programs: &'a Path,
    /// The folder for its settings and log.
    pub folder: &'a Path,
}

impl Process {
    /// Starts a process; its settings file and log are in the spec's folder.
    pub fn start(spec: Spec<'_>) -> Result<Self, ProcessError> {
        let mut process = Self {
            log: spec.folder.join(format!("{}.log", spec.host)),
            settings_file: spec.folder.join(format!("{}.json", spec.host)),
            program: spec.programs.join(spec.role.program()),
            host: spec.host,
            role: spec.role,
            metrics: spec.metrics,
            settings: spec.settings,
            child: None,
            has_listened: false,
        };
        process.start_again()?;
        Ok(process)
    }

    /// Starts it again after it ended, with its own settings; the log goes on.
    pub fn start_again(&mut self) -> Result<(), ProcessError> {
        self.write_settings(None)?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(self.error("open the log of"))?;
        let errors = log.try_clone().map_err(self.error("open the log of"))?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings_file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(self.error("start"))?;
        self.child = Some(child);
        self.has_listened = false;
        Ok(())
    }

    /// Notes that it listens.
    pub fn note_listening(&mut self) {
        self.has_listened = true;
    }

    /// Writes its settings file: the settings, or `spoiled` in their place.
    pub fn write_settings(&self, spoiled: Option<&str>) -> Result<(), ProcessError> {
        let text = spoiled.map_or_else(|| self.settings.to_string(), str::to_owned);
        std::fs::write(&self.settings_file, text).map_err(self.error("write the settings of"))
    }

    /// Sends a signal; false if it has ended.
    pub fn signal(&mut self, signal: Signal) -> Result<bool, ProcessError> {
        if self.ended().is_some() {
            return Ok(false);
        }
        let Some(pid) = self.pid() else {
            return Ok(false);
        };
        let sent = signal::kill(Pid::from_raw(pid as i32), signal);
        sent.map_err(|e| self.error("signal")(e.into()))?;
        Ok(true)
    }

    /// How it ended; none while it lives.
    pub fn ended(&mut self) -> Option<Ended> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(match status.signal() {
            Some(number) => Ended::Signal(number),
            None => Ended::Exit(status.code().unwrap_or_default()),
        })
    }

    /// What it holds now; none if it has ended or has not listened yet. While the kernel
    /// still loads its program, it shows the files of whoever started it.
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

/// How a process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// By itself, with this code.
    Exit(i32),
    /// By this signal.
    Signal(i32),
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
