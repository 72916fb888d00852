//! The memory and open files of a process, as the kernel reports them.

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time between two measurements.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// What a process holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Anonymous resident memory, and bytes that have arrived at its sockets and were not read.
    pub memory_bytes: u64,
    /// The part of `memory_bytes` that was not read.
    pub unread_bytes: u64,
    /// Open files, among them sockets.
    pub open_files: usize,
}

impl Usage {
    /// Measures the process `pid`, which accepts connections at `listen_addr`. Returns `None` if it
    /// has ended.
    pub fn measure(pid: u32, listen_addr: SocketAddr) -> Option<Self> {
        let folder = PathBuf::from(format!("/proc/{pid}"));
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let anonymous = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))?;
        let resident_kib: u64 = anonymous.trim().strip_suffix(" kB")?.parse().ok()?;
        let mut open_files = 0;
        let mut sockets = HashSet::new();
        for entry in std::fs::read_dir(folder.join("fd")).ok()? {
            open_files += 1;
            // A file that was closed meanwhile has no link any more.
            let link = entry.and_then(|entry| std::fs::read_link(entry.path()));
            sockets.extend(
                link.ok()
                    .and_then(|link| socket_inode(&link.to_string_lossy())),
            );
        }
        let unread_bytes = unread_bytes(&sockets, listen_addr)?;
        Some(Self {
            memory_bytes: resident_kib * 1024 + unread_bytes,
            unread_bytes,
            open_files,
        })
    }

    fn max(self, other: Self) -> Self {
        let larger = match self.memory_bytes >= other.memory_bytes {
            true => self,
            false => other,
        };
        Self {
            open_files: self.open_files.max(other.open_files),
            ..larger
        }
    }
}

/// Returns the number in a link such as `socket:[123]`.
fn socket_inode(link: &str) -> Option<u64> {
    let number = link.strip_prefix("socket:[")?.strip_suffix(']')?;
    number.parse().ok()
}

/// Returns the bytes that have arrived at `sockets`, and at connections to `listen_addr` that were not
/// accepted, and were not read.
fn unread_bytes(sockets: &HashSet<u64>, listen_addr: SocketAddr) -> Option<u64> {
    /// State of a listening socket, whose queue holds connections instead of bytes.
    const LISTENING: &str = "0A";
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let listen_addr = encode_addr(listen_addr);
    let mut sum_bytes = 0;
    for line in table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, _, state, queues, _, _, _, _, inode, ..] = fields[..] else {
            continue;
        };
        if state == LISTENING {
            continue;
        }
        let inode: u64 = inode.parse().ok()?;
        let is_unaccepted = inode == 0 && listen_addr.as_deref() == Some(local);
        if is_unaccepted || sockets.contains(&inode) {
            let (_, unread) = queues.split_once(':')?;
            sum_bytes += u64::from_str_radix(unread, 16).ok()?;
        }
    }
    Some(sum_bytes)
}

/// Returns an address as it stands in the kernel's table.
fn encode_addr(addr: SocketAddr) -> Option<String> {
    let IpAddr::V4(ip) = addr.ip() else {
        return None;
    };
    let ip = u32::from_ne_bytes(ip.octets());
    Some(format!("{ip:08X}:{:04X}", addr.port()))
}

/// Measures a process again and again until it is stopped.
#[derive(Debug)]
pub struct UsageMonitor {
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Shared {
    peak: Mutex<Usage>,
    is_stopped: AtomicBool,
}

impl UsageMonitor {
    /// Starts to measure the process `pid`, which accepts connections at `listen_addr`.
    pub fn start(pid: u32, listen_addr: SocketAddr) -> Self {
        let shared = Arc::new(Shared::default());
        let of_thread = Arc::clone(&shared);
        let thread = std::thread::spawn(move || {
            while !of_thread.is_stopped.load(Ordering::Relaxed) {
                if let Some(usage) = Usage::measure(pid, listen_addr) {
                    let mut peak = of_thread.peak.lock().expect("peak lock");
                    *peak = peak.max(usage);
                }
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { shared, thread }
    }

    /// Stops and returns the largest memory and the largest number of open files.
    pub fn stop(self) -> Usage {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        // A measurement that panicked has left the peak as it was before.
        let _ = self.thread.join();
        let peak = self.shared.peak.lock().expect("peak lock");
        *peak
    }
}
