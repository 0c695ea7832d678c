//! The loads of servers, as this host and others state them.

use tealcleat::keys::{IncarnationId, NameKey, ServerKey, TimePoint};
use tealcleat::placement::{LoadTable, ServerLoad};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn memory(tokens: u32) -> ServerLoad {
    ServerLoad { requests: 1, memory_tokens: tokens, prompt_tokens: 0 }
}

/// Hundreds of hosts announce their loads repeatedly. The totals that are maintained incrementally
/// must equal the sum of the latest updates.
#[test]
fn load_totals_correct_after_many_updates() {
    let key = |server: u64| NameKey(server % 7);
    let mut loads = LoadTable::default();
    for round in 0..50_u64 {
        for host in 0..40_u64 {
            let update =
                (0..host % 4).map(|turn| (key(host + round + turn), memory(100))).collect();
            loads.apply_update(at(round * 20), IncarnationId(host), round, update);
        }
    }
    let total: u32 = (0..7).map(|server| loads.total(NameKey(server)).memory_tokens).sum();
    assert_eq!(total, 100 * (0..40).map(|host| host % 4).sum::<u32>());
    loads.expire(at(10_000));
    assert!((0..7).all(|server| loads.total(NameKey(server)) == ServerLoad::default()));
}

#[test]
fn load_of_this_host_removed_again() {
    let key = ServerKey::of("a");
    let mut loads = LoadTable::default();
    loads.add(key, memory(100));
    loads.add(key, memory(50));
    loads.remove(key, memory(100));
    assert_eq!(loads.total(key), memory(50));
    loads.remove(key, memory(50));
    assert!(loads.heaviest_own(1).is_empty());
}
