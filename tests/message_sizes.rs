//! What hosts hand each other grows with the fleet by so many bytes a server and a host; the capacity page reckons with
//! these.

use serde::Serialize;
use std::net::SocketAddr;
use tealcleat::fleet::{FleetView, ServerEntry, ServerStage, ServerState};
use tealcleat::keys::{IncarnationId, NameKey, TimePoint};
use tealcleat::membership::MemberUpdate;

/// Addresses and ids as they are on a platform of many machines.
fn address(place: usize) -> SocketAddr {
    let (high, low) = (place / 250 % 250, place % 250);
    SocketAddr::from(([10, 1, high as u8, low as u8], 8688))
}

fn server(place: usize) -> ServerEntry {
    ServerEntry {
        id: format!("i-{place:010x}"),
        started_at: Some(1_792_691_007_128 + place as u64),
        service: NameKey::of("engines"),
        address: address(place),
        domain: NameKey::of("a"),
        state: ServerState::Ready,
        stage: Some(ServerStage::Decode),
        slots: 12,
        cold_ms: 0,
    }
}

fn bytes<T: Serialize>(message: &T) -> usize {
    let config = bincode::config::standard();
    bincode::serde::encode_to_vec(message, config).expect("it can be written").len()
}

#[test]
fn view_handed_over_by_the_server() {
    let now = TimePoint::from_millis(1);
    let mut view = FleetView::default();
    view.replace_all(now, 12_000, (0..1_000).map(server).collect());
    let whole = bytes(&view.update_since(now, 0));
    assert!(whole / 1_000 <= 80, "{} bytes a server", whole / 1_000);
}

#[test]
fn table_of_members_by_the_host() {
    let domain = NameKey::of("a");
    let member = |place: usize| {
        let incarnation = IncarnationId((1_792_691_007_128 << 22) | place as u64);
        MemberUpdate::started(incarnation, address(place), domain)
    };
    let table: Vec<MemberUpdate> = (0..1_000).map(member).collect();
    let whole = bytes(&table);
    assert!(whole / 1_000 <= 40, "{} bytes a host", whole / 1_000);
}
