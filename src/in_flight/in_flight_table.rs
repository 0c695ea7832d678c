use super::RequestProgress;
use crate::host::lock;
use crate::keys::TimePoint;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// A kind of work that the exit of the process would cut off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InFlightWork {
    /// A request that was read and whose answer is not handed over.
    Request(RequestProgress),
    /// A caller's connection on which answers are still written.
    Connection,
    /// A connection of another host to this server.
    Tunnel(SocketAddr),
}

/// All work that a host has in flight.
#[derive(Debug, Default)]
pub struct InFlightTable {
    entries: Mutex<InFlightEntries>,
}

#[derive(Debug, Default)]
struct InFlightEntries {
    next_serial: u64,
    /// Work by its serial number, with the time at which it began.
    works: BTreeMap<u64, (TimePoint, InFlightWork)>,
}

impl InFlightTable {
    /// Adds work that begins at `now`; it counts until the guard is dropped.
    pub fn begin(self: &Arc<Self>, now: TimePoint, work: InFlightWork) -> InFlightGuard {
        let mut entries = lock(&self.entries);
        let serial = entries.next_serial;
        entries.next_serial += 1;
        entries.works.insert(serial, (now, work));
        drop(entries);
        InFlightGuard { table: Arc::clone(self), serial }
    }

    /// Amount of work in flight.
    pub fn len(&self) -> usize {
        lock(&self.entries).works.len()
    }

    /// Whether nothing is in flight.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of requests among them.
    pub fn requests(&self) -> usize {
        let is_request = |work: &InFlightWork| matches!(work, InFlightWork::Request(_));
        lock(&self.entries).works.values().filter(|(_, work)| is_request(work)).count()
    }

    /// At most `limit` works with the times at which they began, the oldest first.
    pub fn oldest(&self, limit: usize) -> Vec<(TimePoint, InFlightWork)> {
        lock(&self.entries).works.values().take(limit).cloned().collect()
    }
}

/// Counts one work as in flight until dropped; a graceful shutdown waits for all of them.
#[derive(Debug)]
pub struct InFlightGuard {
    table: Arc<InFlightTable>,
    serial: u64,
}

impl InFlightGuard {
    /// Whether a server may have run the request.
    pub fn may_have_run(&self) -> bool {
        let entries = lock(&self.table.entries);
        let work = entries.works.get(&self.serial).map(|(_, work)| work);
        matches!(work, Some(InFlightWork::Request(progress)) if progress.may_have_run)
    }

    /// Updates the progress of the work, if that is a request.
    pub fn update(&self, change: impl FnOnce(&mut RequestProgress)) {
        let mut entries = lock(&self.table.entries);
        if let Some((_, InFlightWork::Request(progress))) = entries.works.get_mut(&self.serial) {
            change(progress);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        lock(&self.table.entries).works.remove(&self.serial);
    }
}
