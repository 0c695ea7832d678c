use crate::{Error, Result};
use std::collections::HashSet;
use std::fs::File;
use std::sync::{Mutex, PoisonError};

/// Lies below the ephemeral port range, so that the system gives none of these ports to another
/// socket between the check and the use.
const FIRST_PORT: u16 = 10_000;
/// Ports of one block: more than the largest fleet of a test process needs.
const BLOCK_PORTS: u16 = 200;
const BLOCKS: u16 = 100;

/// Blocks that this process has locked; ports are taken from the last one.
static LOCKED_BLOCKS: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());

/// A range of ports that only this process hands out, each of them once.
///
/// A check that a port is free does not reserve it: another test process may find the same port free
/// a second later, and the daemon that starts last cannot bind it. A file lock, which the system
/// releases when the process ends, keeps the blocks of different processes apart.
#[derive(Debug)]
pub struct PortBlock {
    _lock: File,
    next: u16,
    end: u16,
    /// Ports that were already bound when the block was claimed.
    used: HashSet<u16>,
}

impl PortBlock {
    /// Locks the first block, from block `first` on, that no process has locked.
    ///
    /// # Errors
    /// If all blocks are locked, or a lock file cannot be opened.
    pub fn claim(first: u16) -> Result<Self> {
        for offset in 0..BLOCKS {
            let index = (first + offset) % BLOCKS;
            let path = std::env::temp_dir().join(format!("tealcleat-ports-{index}.lock"));
            let lock = File::options().create(true).truncate(false).write(true).open(path)?;
            if lock.try_lock().is_ok() {
                let next = FIRST_PORT + index * BLOCK_PORTS;
                let end = next + BLOCK_PORTS;
                return Ok(Self { _lock: lock, next, end, used: bound_ports() });
            }
        }
        Err(Error::Refused("all port blocks are locked by other processes".to_owned()))
    }

    /// Returns the next port that was not bound when the block was claimed.
    pub fn take(&mut self) -> Option<u16> {
        while self.next < self.end {
            let port = self.next;
            self.next += 1;
            if !self.used.contains(&port) {
                return Some(port);
            }
        }
        None
    }
}

/// Ports that sockets of this machine are bound to.
///
/// Reads the system's socket tables instead of binding each port: a program that this process starts at that moment
/// inherits the test socket until its own code runs, and the daemon that the port is for could not bind it.
fn bound_ports() -> HashSet<u16> {
    let tables = ["tcp", "tcp6", "udp", "udp6"].map(|name| format!("/proc/net/{name}"));
    // A table that does not exist holds no sockets.
    let texts = tables.iter().filter_map(|path| std::fs::read_to_string(path).ok());
    texts.flat_map(|text| text.lines().filter_map(bound_port).collect::<Vec<_>>()).collect()
}

/// Local port in a line of a socket table. `None` for a closed connection in TIME_WAIT, whose port a listener may use.
fn bound_port(line: &str) -> Option<u16> {
    const TIME_WAIT: &str = "06";
    let mut fields = line.split_whitespace().skip(1);
    let (_, port) = fields.next()?.rsplit_once(':')?;
    let state = fields.nth(1)?;
    u16::from_str_radix(port, 16).ok().filter(|_| state != TIME_WAIT)
}

/// Returns `count` ports that are free for TCP and UDP and that no process hands out again while
/// this one runs.
///
/// # Errors
/// If no block with free ports can be locked.
pub fn free_ports(count: usize) -> Result<Vec<u16>> {
    let mut blocks = LOCKED_BLOCKS.lock().unwrap_or_else(PoisonError::into_inner);
    let first = u16::try_from(std::process::id() % u32::from(BLOCKS)).unwrap_or_default();
    let mut ports = Vec::with_capacity(count);
    while ports.len() < count {
        match blocks.last_mut().and_then(PortBlock::take) {
            Some(port) => ports.push(port),
            None => blocks.push(PortBlock::claim(first)?),
        }
    }
    Ok(ports)
}
