//! Return times plans over all hosts of a failure domain when refused callers come back.
//!
//! A refused caller may retry a few times, and each time it waits as it is told, up to a third of the time that it has left.
//! [`ReturnCalendar`] tells it when: it knows the returns that were promised to others ([`PromiseTable`]), the requests
//! that arrive, are granted and are refused at each host ([`CallMeter`], exchanged in [`ReturnUpdate`] and kept in
//! [`PeerFigures`]), and places the return where memory is free, or else where the fewest others return ([`SlotPlan`]). Requests of plain services wait for milliseconds rather than seconds; their pauses follow from the
//! measured time of an answer ([`AnswerTimer`]).
//!
//! Hosts of other failure domains are not asked. Capacity is what this domain's hosts were granted, so the demand, the
//! grants and the promises of one domain are compared with each other.

mod answer_timer;
mod call_figures;
mod call_meter;
mod peer_figures;
mod promise_table;
mod return_calendar;
mod return_choice;
mod return_request;
mod return_time;
mod return_update;
mod slot_plan;
mod update_schedule;

pub use answer_timer::AnswerTimer;
pub use call_figures::CallFigures;
pub use call_meter::CallMeter;
pub use peer_figures::PeerFigures;
pub use promise_table::{Promise, PromiseTable};
pub use return_calendar::ReturnCalendar;
pub use return_request::{RefusalCause, ReturnRequest};
pub use return_time::{ReturnBasis, ReturnTime};
pub use return_update::{PromiseEntry, ReturnUpdate, ServiceFigures};
pub use slot_plan::{SLOT_TIME, SlotPlan};
pub use update_schedule::{REPEAT_TIME, UpdateSchedule};
