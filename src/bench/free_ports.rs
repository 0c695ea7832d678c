use crate::{Error, Result};
use std::collections::HashSet;
use std::fs::File;
use std::sync::{Mutex, PoisonError};

/// Below the range from which systems pick ports by themselves, so that no other socket takes one
/// between the look and the use.
const FIRST: u16 = 10_000;
/// Ports of one block: more than the largest fleet of one test process needs.
const BLOCK_PORTS: u16 = 200;
const BLOCKS: u16 = 100;

/// Blocks of this process; ports come from the last one.
static BLOCKS_HELD: Mutex<Vec<PortBlock>> = Mutex::new(Vec::new());

/// A range of ports that only this process hands out, each once.
///
/// A look at a port says nothing of a second later: another process of the kind may have looked at
/// the same one, and the later daemon then cannot bind it. A lock on a file, which ends with its
/// process, keeps blocks apart.
#[derive(Debug)]
pub struct PortBlock {
    _lock: File,
    next: u16,
    end: u16,
    /// Ports that others were using when it was claimed.
    used: HashSet<u16>,
}

impl PortBlock {
    /// Locks the first block from `first` on that no process has.
    ///
    /// # Errors
    /// If all are taken, or no file can be opened.
    pub fn claim(first: u16) -> Result<Self> {
        for turn in 0..BLOCKS {
            let place = (first + turn) % BLOCKS;
            let path = std::env::temp_dir().join(format!("tealcleat-ports-{place}.lock"));
            let lock = File::options().create(true).truncate(false).write(true).open(path)?;
            if lock.try_lock().is_ok() {
                let next = FIRST + place * BLOCK_PORTS;
                let end = next + BLOCK_PORTS;
                return Ok(Self { _lock: lock, next, end, used: bound_ports() });
            }
        }
        Err(Error::Refused("all blocks of ports are taken".to_owned()))
    }

    /// The next port that nobody had bound.
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
/// The system's tables are read: a socket that tries a port has it also in each program that this process starts just
/// then, until that program's own code runs, and the daemon that the port is for cannot bind it.
fn bound_ports() -> HashSet<u16> {
    let tables = ["tcp", "tcp6", "udp", "udp6"].map(|name| format!("/proc/net/{name}"));
    // A table that is not there holds no socket.
    let texts = tables.iter().filter_map(|path| std::fs::read_to_string(path).ok());
    texts.flat_map(|text| text.lines().filter_map(bound_port).collect::<Vec<_>>()).collect()
}

/// The local port in a line of such a table; none for one whose connection has ended and that a listener may use.
fn bound_port(line: &str) -> Option<u16> {
    const TIME_WAIT: &str = "06";
    let mut fields = line.split_whitespace().skip(1);
    let (_, port) = fields.next()?.rsplit_once(':')?;
    let state = fields.nth(1)?;
    u16::from_str_radix(port, 16).ok().filter(|_| state != TIME_WAIT)
}

/// Ports that are free for TCP and UDP, and that no process hands out a second time while this one
/// runs.
///
/// # Errors
/// If too few are free.
pub fn free_ports(count: usize) -> Result<Vec<u16>> {
    let mut blocks = BLOCKS_HELD.lock().unwrap_or_else(PoisonError::into_inner);
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
