use crate::host::lock;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// The state of an open connection in the kernel's list.
const ESTABLISHED: &str = "01";

/// What a process occupied at most, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MemoryPeak {
    /// Its own memory together with what arrived for it and was not read.
    pub bytes: u64,
    /// What arrived and was not read, at that time.
    pub unread: u64,
    /// Whether it was ended for passing its bound.
    pub is_over: bool,
}

/// Watches the memory of a child process, and ends the process when it passes its bound, as its machine would.
#[derive(Debug)]
pub struct MemoryWatch {
    peak: Arc<Mutex<MemoryPeak>>,
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MemoryWatch {
    /// Watches the process `id`, which listens at `addresses` and may occupy `bound` bytes.
    pub fn start(id: u32, addresses: &[SocketAddr], bound: u64) -> Self {
        Self::start_with_servers(id, addresses, &[], bound)
    }

    /// Does the same for a process that alone connects to `servers`.
    pub fn start_with_servers(
        id: u32,
        addresses: &[SocketAddr],
        servers: &[SocketAddr],
        bound: u64,
    ) -> Self {
        let peak: Arc<Mutex<MemoryPeak>> = Arc::default();
        let is_stopped = Arc::new(AtomicBool::new(false));
        let ports_of = |of: &[SocketAddr]| of.iter().map(SocketAddr::port).collect();
        let ports = WatchedPorts { own: ports_of(addresses), servers: ports_of(servers) };
        let (shared, stop) = (Arc::clone(&peak), Arc::clone(&is_stopped));
        let thread = std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) && !watch_once(id, &ports, bound, &shared) {
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { peak, is_stopped, thread: Some(thread) }
    }

    /// The highest figures so far.
    pub fn peak(&self) -> MemoryPeak {
        *lock(&self.peak)
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A watch that failed has nothing more to say.
            drop(thread.join());
        }
    }
}

/// The ports of a process's connections.
#[derive(Debug)]
struct WatchedPorts {
    /// Those at which it listens.
    own: HashSet<u16>,
    /// Those of the servers that it connects to.
    servers: HashSet<u16>,
}

/// Takes one sample; returns whether the watch has ended.
fn watch_once(id: u32, ports: &WatchedPorts, bound: u64, peak: &Mutex<MemoryPeak>) -> bool {
    let Some(own) = resident_bytes(id) else { return true };
    let unread = unread_bytes(ports);
    let bytes = own + unread;
    let mut peak = lock(peak);
    if bytes > peak.bytes {
        (peak.bytes, peak.unread) = (bytes, unread);
    }
    if bytes <= bound {
        return false;
    }
    peak.is_over = true;
    // The process is a child that was not waited for, so that its id is still its own.
    drop(Command::new("kill").args(["-KILL", &id.to_string()]).status());
    true
}

/// The memory of a process; `None` once it has ended.
pub(super) fn resident_bytes(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}

/// What arrived on open connections at `ports` of this machine and was not read.
fn unread_bytes(ports: &WatchedPorts) -> u64 {
    let list = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    list.lines().skip(1).filter_map(|line| unread_of(line, ports)).sum()
}

fn unread_of(line: &str, ports: &WatchedPorts) -> Option<u64> {
    let mut fields = line.split_whitespace().skip(1);
    let mut next_port = || {
        let (_, port) = fields.next()?.split_once(':')?;
        u16::from_str_radix(port, 16).ok()
    };
    let (local, remote) = (next_port()?, next_port()?);
    let is_open = fields.next()? == ESTABLISHED;
    let (_, unread) = fields.next()?.split_once(':')?;
    let is_watched = ports.own.contains(&local) || ports.servers.contains(&remote);
    (is_open && is_watched).then(|| u64::from_str_radix(unread, 16).ok())?
}
