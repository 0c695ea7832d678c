use super::{MachineLimits, RoomBounds};

/// Percent of the memory for callers' connections and the heads of their requests.
const CONNECTIONS_PERCENT: u64 = 25;
/// Percent for the bodies of requests in flight.
const REQUESTS_PERCENT: u64 = 20;
/// Percent for answers and events of servers that are not yet with their callers.
const ANSWERS_PERCENT: u64 = 12;
/// Percent for answers of the store; two of the largest pages of the smallest machine.
const STORE_PERCENT: u64 = 10;
// The rest, a third, is for messages of other hosts, and for what the host is and knows: code, views, records, log lines.

/// Descriptors that the platform reserves for files.
const FILE_FDS: u64 = 200;
/// Part of the other descriptors that callers may take; a request at work takes another one for its server.
const CALLERS_FDS_PART: u64 = 2;
/// Connections of the readiness probe; the platform opens one a second.
const READY_CONNECTIONS: usize = 128;
/// Connections of those who read metrics. An answer may have hundreds of kilobytes.
const METRICS_CONNECTIONS: usize = 16;
/// Connections from which another host has not yet proved that it knows the key. All hosts of a large failure domain may
/// open theirs at once.
const UNPROVEN_CONNECTIONS: usize = 512;
/// Memory for the connections at one of the smaller addresses.
const SMALL_ROOM_BYTES: usize = 4 << 20;

/// What each of the things that a host holds may occupy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourcePlan {
    /// Callers' connections.
    pub callers: RoomBounds,
    /// Connections of the readiness probe.
    pub ready: RoomBounds,
    /// Connections of those who read metrics.
    pub metrics: RoomBounds,
    /// Connections of hosts that have not proved themselves.
    pub unproven: RoomBounds,
    /// Bytes of the bodies of all requests in flight.
    pub request_bytes: usize,
    /// Bytes of all answers of servers.
    pub answer_bytes: usize,
    /// Bytes of all answers of the store.
    pub store_bytes: usize,
}

impl ResourcePlan {
    /// Divides what a machine allows.
    pub fn new(limits: &MachineLimits) -> Self {
        let percent = |part: u64| {
            usize::try_from(limits.memory_mb * 1_000_000 / 100 * part).unwrap_or(usize::MAX)
        };
        let sockets = limits.max_fds.saturating_sub(FILE_FDS);
        let callers = usize::try_from(sockets / CALLERS_FDS_PART).unwrap_or(usize::MAX);
        let (requests_ahead, answer_stall) = (limits.requests_ahead, limits.answer_stall);
        let room =
            |connections, bytes| RoomBounds { connections, bytes, requests_ahead, answer_stall };
        Self {
            callers: room(callers.max(1), percent(CONNECTIONS_PERCENT)),
            ready: room(READY_CONNECTIONS, SMALL_ROOM_BYTES),
            metrics: room(METRICS_CONNECTIONS, SMALL_ROOM_BYTES),
            unproven: room(UNPROVEN_CONNECTIONS, SMALL_ROOM_BYTES),
            request_bytes: percent(REQUESTS_PERCENT),
            answer_bytes: percent(ANSWERS_PERCENT),
            store_bytes: percent(STORE_PERCENT),
        }
    }
}
