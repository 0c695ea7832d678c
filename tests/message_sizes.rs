//! Sizes of messages between hosts, which grow with the number of servers and hosts; the documented capacity depends on
//! these limits.

use serde::Serialize;
use std::net::SocketAddr;
use tealcleat::fleet::{FleetView, ServerEntry, ServerStage, ServerState};
use tealcleat::keys::{IncarnationId, NameKey, TimePoint};
use tealcleat::membership::MemberUpdate;
use tealcleat::stream_origins::{OriginUpdate, StreamKey};

/// An address as on a platform with many machines.
fn address(index: usize) -> SocketAddr {
    let (high, low) = (index / 250 % 250, index % 250);
    SocketAddr::from(([10, 1, high as u8, low as u8], 8688))
}

fn server(index: usize) -> ServerEntry {
    ServerEntry {
        id: format!("i-{index:010x}"),
        started_at: Some(1_792_691_007_128 + index as u64),
        version: "v1".to_owned(),
        service: NameKey::of("engines"),
        address: address(index),
        domain: NameKey::of("a"),
        state: ServerState::Ready,
        stage: Some(ServerStage::Decode),
        slots: 12,
        cold_ms: 0,
    }
}

fn bytes<T: Serialize>(message: &T) -> usize {
    let config = bincode::config::standard();
    bincode::serde::encode_to_vec(message, config).expect("it can be encoded").len()
}

#[test]
fn view_size_per_server() {
    let now = TimePoint::from_millis(1);
    let mut view = FleetView::default();
    view.replace_all(now, 12_000, (0..1_000).map(server).collect());
    let whole = bytes(&view.update_since(now, 0));
    assert!(whole / 1_000 <= 80, "{} bytes a server", whole / 1_000);
}

#[test]
fn member_table_size_per_host() {
    let domain = NameKey::of("a");
    let member = |index: usize| {
        let incarnation = IncarnationId((1_792_691_007_128 << 22) | index as u64);
        MemberUpdate::started(incarnation, address(index), domain)
    };
    let table: Vec<MemberUpdate> = (0..1_000).map(member).collect();
    let whole = bytes(&table);
    assert!(whole / 1_000 <= 40, "{} bytes a host", whole / 1_000);
}

/// A host sends each stream that it begins to three others, twice.
#[test]
fn origin_size_per_stream() {
    let update = OriginUpdate {
        stream: StreamKey(u64::MAX),
        version: NameKey::of("v1.2"),
        valid_ms: 30_000,
    };
    let one = bytes(&vec![update]);
    let many = bytes(&vec![update; 100]);
    assert!(one <= 24, "{one} bytes for one");
    assert!(many / 100 <= 23, "{} bytes a stream", many / 100);
}
