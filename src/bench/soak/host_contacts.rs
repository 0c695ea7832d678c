use crate::host::lock;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// A host is in touch this long after a disruption of it.
const CONTACT_TIME: Duration = Duration::from_millis(3000);

/// The hosts that callers use, and since when each is undisturbed.
#[derive(Debug)]
pub(super) struct HostContacts {
    hosts: Vec<(SocketAddr, Mutex<HostContact>)>,
}

#[derive(Debug, Clone, Copy)]
struct HostContact {
    is_disturbed: bool,
    since: Instant,
}

impl HostContacts {
    /// Contacts of hosts that were never disturbed.
    pub fn new(hosts: &[SocketAddr], now: Instant) -> Self {
        let contact = HostContact { is_disturbed: false, since: now - CONTACT_TIME };
        Self { hosts: hosts.iter().map(|host| (*host, Mutex::new(contact))).collect() }
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// The address of a host for callers.
    pub fn address(&self, index: usize) -> SocketAddr {
        self.hosts[index].0
    }

    /// Records that a disruption of a host begins or ends.
    pub fn set_disturbed(&self, index: usize, is_disturbed: bool) {
        *lock(&self.hosts[index].1) = HostContact { is_disturbed, since: Instant::now() };
    }

    /// Whether a host has been undisturbed for long enough before `at`, and still is.
    pub fn is_in_touch(&self, index: usize, at: Instant) -> bool {
        let contact = *lock(&self.hosts[index].1);
        !contact.is_disturbed && at >= contact.since + CONTACT_TIME
    }
}
