//! The pace of servers, as hosts measure it and tell each other, without a network.

use std::collections::HashSet;
use std::time::Duration;
use tealcleat::keys::{IncarnationId, NameKey, ServerKey, TimePoint, mix_hash};
use tealcleat::memory_forecast::{MAX_PACES_SENT, PaceTable, PaceUpdate, ServerPace};

const SERVICE: NameKey = NameKey(2);
const HOST: IncarnationId = IncarnationId(7);

fn pace_update(server: ServerKey, tokens_per_second: u16, age_tenths: u16) -> PaceUpdate {
    let pace = ServerPace { server, tokens_per_second, age_tenths, read_tokens_per_ms: 0 };
    PaceUpdate { from: HOST, paces: vec![pace] }
}

fn record(table: &mut PaceTable, millis: u64, server: ServerKey, event_ms: u64) {
    let took = Duration::from_millis(event_ms * 8);
    table.record(TimePoint::from_millis(millis), (SERVICE, server), (8, 10), took);
}

#[test]
fn relative_pace_compares_with_the_median_of_the_service() {
    let mut table = PaceTable::default();
    for server in 0..8 {
        record(&mut table, 0, NameKey(server), if server < 2 { 24 } else { 57 });
    }
    let took = Duration::from_millis(1);
    table.record(TimePoint::default(), (NameKey(5), NameKey(50)), (8, 10), took);
    assert!((table.relative(NameKey(0)) - 57.0 / 24.0).abs() < 0.01);
    assert!((table.relative(NameKey(7)) - 1.0).abs() < 0.01);
    assert!((table.relative(NameKey(50)) - 1.0).abs() < 0.01, "the only one of its service");
    assert!((table.relative(NameKey(99)) - 1.0).abs() < 0.01, "never seen");
    assert_eq!(table.pace(NameKey(99)), None);
}

/// The newest value counts, from whichever host, so lost, late and repeated updates do no harm.
#[test]
fn newest_pace_counts() {
    let server = NameKey(1);
    let mut table = PaceTable::default();
    record(&mut table, 10_000, server, 50);
    let now = TimePoint::from_millis(12_000);
    table.apply(now, &pace_update(server, 400, 60), |_| Some(SERVICE));
    assert_eq!(table.pace(server), Some(200.0), "older than the known one");
    table.apply(now, &pace_update(server, 300, 5), |_| Some(SERVICE));
    table.apply(now, &pace_update(server, 400, 60), |_| Some(SERVICE));
    assert_eq!(table.pace(server), Some(300.0), "a late copy changes nothing");
    record(&mut table, 13_000, server, 50);
    let own = table.pace(server).expect("a pace");
    assert!(own < 300.0 && own > 200.0, "{own}");
}

/// The host that measured it is dead, or cut off: a pace is a property of the server.
#[test]
fn pace_outlives_the_host_that_measured_it() {
    let server = NameKey(1);
    let mut table = PaceTable::default();
    table.apply(TimePoint::from_millis(1000), &pace_update(server, 300, 5), |_| Some(SERVICE));
    let much_later = TimePoint::from_millis(600_000);
    table.apply(much_later, &PaceUpdate { from: HOST, paces: Vec::new() }, |_| Some(SERVICE));
    assert_eq!(table.pace(server), Some(300.0));
    let entry = table.update(much_later, HOST, 0).expect("an update").paces[0];
    assert_eq!((entry.tokens_per_second, entry.age_tenths), (300, 5996));
}

#[test]
fn pace_of_a_dead_server_is_dropped() {
    let (dead, other) = (NameKey(1), NameKey(2));
    let mut table = PaceTable::default();
    record(&mut table, 0, dead, 24);
    record(&mut table, 0, other, 24);
    table.retain(|server| server == other);
    let update = pace_update(dead, 300, 0);
    table.apply(TimePoint::from_millis(9000), &update, |server| {
        (server == other).then_some(SERVICE)
    });
    assert_eq!((table.pace(dead), table.relative_paces().len()), (None, 1));
    assert_eq!(table.pace(other).map(f64::round), Some(417.0));
}

/// One preempted run is silent for seconds; its server is not that slow.
#[test]
fn pace_hardly_changes_with_one_pause() {
    let server = NameKey(1);
    let mut table = PaceTable::default();
    record(&mut table, 0, server, 50);
    record(&mut table, 3000, server, 400);
    let pace = table.pace(server).expect("a pace");
    assert!(pace > 170.0, "{pace}");
    for step in 0..20 {
        record(&mut table, 4000 + step * 400, server, 100);
    }
    assert!(table.pace(server).expect("a pace") < 105.0, "a lasting change is followed");
}

fn record_read(table: &mut PaceTable, millis: u64, server: u64, took_ms: u64) {
    let took = Duration::from_millis(took_ms);
    table.record_read(TimePoint::from_millis(millis), (SERVICE, NameKey(server)), 3200, took);
}

/// A server that comes from the prefill pool has run no answer yet; only its reads tell how fast it is.
#[test]
fn relative_speed_of_a_server_that_only_reads_follows_its_fastest_reads() {
    let mut table = PaceTable::default();
    for server in 0..5 {
        record_read(&mut table, 0, server, if server == 0 { 40 } else { 100 });
        record(&mut table, 0, NameKey(10 + server), 57);
    }
    // Queueing slows a read, not the server.
    record_read(&mut table, 1000, 0, 400);
    assert!((table.relative(NameKey(0)) - 2.5).abs() < 0.01, "{}", table.relative(NameKey(0)));
    assert!((table.relative(NameKey(1)) - 1.0).abs() < 0.01);
    assert!((table.relative(NameKey(11)) - 1.0).abs() < 0.01, "paces are compared with paces");
    // A run there says more about it than its reads.
    record(&mut table, 2000, NameKey(0), 57);
    assert!((table.relative(NameKey(0)) - 1.0).abs() < 0.01);
}

/// Guards against a server that has become slower and counts as fast for ever.
#[test]
fn read_speed_follows_a_server_that_becomes_slower() {
    let mut table = PaceTable::default();
    for server in 0..5 {
        record_read(&mut table, 0, server, 100);
    }
    for step in 0..12 {
        record_read(&mut table, 2000 + step * 1000, 0, 200);
    }
    assert!((table.relative(NameKey(0)) - 0.5).abs() < 0.01, "{}", table.relative(NameKey(0)));
}

/// What a host passes on of others' reads would return to them and never expire.
#[test]
fn own_reads_are_sent_and_those_of_others_are_not() {
    let now = TimePoint::from_millis(1000);
    let (mut reader, mut other) = (PaceTable::default(), PaceTable::default());
    for server in 0..5 {
        record_read(&mut reader, 1000, server, if server == 0 { 40 } else { 100 });
    }
    let update = reader.update(now, HOST, 0).expect("an update");
    assert_eq!(update.paces.len(), 5);
    other.apply(now, &update, |_| Some(SERVICE));
    assert_eq!(other.pace(NameKey(0)), None);
    assert!((other.relative(NameKey(0)) - 2.5).abs() < 0.01);
    record(&mut other, 1000, NameKey(1), 57);
    let passed_on = other.update(now, HOST, 0).expect("an update").paces;
    let reads: Vec<_> =
        passed_on.iter().map(|pace| (pace.server, pace.read_tokens_per_ms)).collect();
    assert_eq!(reads, [(NameKey(1), 0)]);
    record(&mut reader, 60_000, NameKey(1), 57);
    let late = reader.update(TimePoint::from_millis(60_000), HOST, 0).expect("an update").paces;
    assert_eq!((late.len(), late[0].read_tokens_per_ms), (1, 0), "not seen lately");
    other.retain(|server| server != NameKey(0));
    assert_eq!(other.relative_paces().get(&NameKey(0)), None);
}

/// A host with thousands of servers sends them in turn, in datagrams that are not fragmented.
#[test]
fn pace_update_is_bounded_and_reaches_all_servers() {
    let mut table = PaceTable::default();
    for server in 0..1000 {
        record(&mut table, server, NameKey(mix_hash(server, 1)), 24);
    }
    let mut sent = HashSet::new();
    for round in 0..400 {
        record(&mut table, 2000, NameKey(mix_hash(999, 1)), 24);
        let update = table.update(TimePoint::from_millis(60_000), HOST, round).expect("an update");
        assert_eq!(update.paces.len(), MAX_PACES_SENT);
        let config = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(&update, config).expect("it can be encoded");
        assert!(bytes.len() <= 1100, "{} bytes", bytes.len());
        sent.extend(update.paces.iter().map(|pace| pace.server));
    }
    assert_eq!(sent.len(), 1000);
    assert_eq!(table.update(TimePoint::from_millis(60_000), HOST, 0), None, "nothing has changed");
}
