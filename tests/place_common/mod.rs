//! Accounts of places at one server, and requests for them, shared by tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::time::Duration;
use tealcleat::keys::{IncarnationId, NameKey, ServerKey, TimePoint};
use tealcleat::server_limits::CallRank;
use tealcleat::server_slots::{
    PlaceDecision, PlaceEnd, PlaceOrder, PlaceRelease, PlaceRequest, SlotAccount,
};

pub const SERVER: ServerKey = NameKey(7);
pub const SLOTS: u32 = 6;
/// Slots and the queue at the server.
pub const PLACES: u32 = 12;
pub const SERVICE_TIME: Duration = Duration::from_millis(30);
pub const HOST: IncarnationId = IncarnationId(1);
pub const OTHER_HOST: IncarnationId = IncarnationId(2);
pub const OWNER: IncarnationId = IncarnationId(3);

pub fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

pub fn rank(priority: u8) -> CallRank {
    CallRank::new(0, priority)
}

pub fn request(from: IncarnationId, sequence: u32) -> PlaceRequest {
    PlaceRequest {
        from,
        sequence,
        server: SERVER,
        order: PlaceOrder { rank: rank(1), is_repeatable: false },
        wait_ms: 0,
        left_ms: 1000,
        unplaced: 0,
        released: Vec::new(),
    }
}

pub fn release(from: IncarnationId, sequence: u32, end: PlaceEnd) -> PlaceRelease {
    PlaceRelease { from, sequence, server: SERVER, end, held_ms: 30 }
}

/// The account of an owner that knows all requests at the server, with all places in use.
pub fn full_account(now: TimePoint) -> SlotAccount {
    let mut account = SlotAccount::new(at(0), SLOTS, Some(SERVICE_TIME));
    for sequence in 0..PLACES {
        let decision = account.receive(now, &request(HOST, sequence));
        assert_eq!(decision, Some(PlaceDecision::Granted));
    }
    account
}
