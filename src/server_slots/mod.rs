//! Server slots grants the places at contended plain servers, one host for each server.
//!
//! A plain server has a few slots and a short queue, and rejects further requests. Hosts know each other's load only
//! after 1.5 s, which is many service times, so that all of them would choose the same server at a time. While a server
//! is not contended, hosts choose at random (`placement::rank_servers`) and nothing is sent between them. A server is
//! contended while it rejects requests or its known load exceeds its slots ([`ContendedServers`]). Hosts then request a
//! place from its owner before they send ([`PlaceRequest`]); the owner's [`SlotAccount`] grants places up to the slots
//! and a short queue, lets requests wait for a short time, and refuses the others with the time of the next free place.
//! [`SlotControl`] combines all of this for one host.

mod contended_servers;
mod service_times;
mod slot_account;
mod slot_control;
mod slot_ledger;
mod slot_messages;

pub use contended_servers::ContendedServers;
pub use service_times::ServiceTimes;
pub use slot_account::SlotAccount;
pub use slot_control::{PlaceNeed, SlotControl};
pub use slot_ledger::SlotLedger;
pub use slot_messages::{
    PlaceDecision, PlaceEnd, PlaceOrder, PlaceRelease, PlaceReply, PlaceRequest, SlotMessage,
};
