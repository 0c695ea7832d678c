//! Return calendars and requests, shared by tests of return times.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::ops::Range;
use std::time::Duration;
use tealcleat::keys::{IncarnationId, NameKey, RequestKey, TimePoint};
use tealcleat::return_times::{RefusalCause, ReturnCalendar, ReturnRequest, ReturnTime};
use tealcleat::server_limits::CallRank;

pub const OTHER: IncarnationId = IncarnationId(2);

pub fn urgent() -> CallRank {
    CallRank::new(0, 0)
}

pub fn less_urgent() -> CallRank {
    CallRank::new(0, 2)
}

pub fn request(key: u64, cause: RefusalCause) -> ReturnRequest {
    ReturnRequest {
        service: NameKey::of("engines"),
        rank: less_urgent(),
        key: RequestKey(key),
        cause,
        usual: Duration::from_millis(4100),
        time_left: Duration::from_millis(13_800),
        neighbours: 0,
        draw: 0.5,
    }
}

/// Records a second of requests: `fresh` arrive, `granted` and `refused` end so.
pub fn record_second(
    calendar: &mut ReturnCalendar,
    from_ms: u64,
    fresh: u64,
    granted: u64,
    refused: u64,
) {
    let service = NameKey::of("engines");
    let at = |index: u64, count: u64| TimePoint::from_millis(from_ms + index * 1000 / count);
    for index in 0..fresh {
        let key = RequestKey(from_ms << 16 | index);
        calendar.record_arrival(at(index, fresh), service, less_urgent(), key);
    }
    for index in 0..granted {
        calendar.record_grant(at(index, granted), service, less_urgent());
    }
    for index in 0..refused {
        calendar.record_refusal(at(index, refused), service, less_urgent());
    }
}

/// A calendar at `now` after 10 s below the capacity of 30 a second and 2 s of refusals.
pub fn short_calendar(fresh: u64) -> (TimePoint, ReturnCalendar) {
    let mut calendar = ReturnCalendar::default();
    for second in 0..10 {
        record_second(&mut calendar, second * 1000, 20, 20, 0);
    }
    for second in 10..12 {
        record_second(&mut calendar, second * 1000, fresh, 30, 10);
    }
    (TimePoint::from_millis(11_990), calendar)
}

/// Refuses the callers with the given keys at the same time.
pub fn promise_many(
    calendar: &mut ReturnCalendar,
    now: TimePoint,
    rank: CallRank,
    keys: Range<u64>,
) -> Vec<ReturnTime> {
    keys.map(|key| {
        let draw = (key as f64 * 0.618).fract();
        let request = request(key, RefusalCause::NoMemory);
        calendar.promise(now, &ReturnRequest { rank, draw, ..request })
    })
    .collect()
}

pub fn mean_pause(times: &[ReturnTime]) -> Duration {
    times.iter().map(|time| time.pause).sum::<Duration>() / times.len() as u32
}
