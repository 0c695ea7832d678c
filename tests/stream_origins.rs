//! Which software version began a stream: who is told of it, what is known after losses, and what is never guessed.

use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tealcleat::keys::{IncarnationId, NameKey, RequestKey, TimePoint, VersionKey};
use tealcleat::membership::MemberUpdate;
use tealcleat::stream_origins::{
    ESTABLISH_TIME, MAX_ORIGINS, ORIGIN_HOLDERS, OriginTable, OriginUpdate, RouteTargets,
    StreamKey, TargetHistory, UnknownOrigin, VERSION_RETENTION, VersionHistory, keep_established,
    origin_holders, version_of_unknown,
};

const STREAM: StreamKey = StreamKey(7);
const START: TimePoint = TimePoint(0);

fn version(name: &str) -> VersionKey {
    NameKey::of(name)
}

fn update(stream: StreamKey, name: &str) -> OriginUpdate {
    OriginUpdate { stream, version: version(name), valid_ms: 10_000 }
}

/// Hosts in `domains` failure domains, round-robin.
fn members(count: u64, domains: u64) -> Vec<MemberUpdate> {
    let member = |index: u64| {
        let address = SocketAddr::from(([10, 0, 0, 1], index as u16));
        let domain = NameKey::of(&format!("d{}", index % domains));
        MemberUpdate::started(IncarnationId(1000 + index), address, domain)
    };
    (0..count).map(member).collect()
}

fn holders(stream: StreamKey, members: &[MemberUpdate]) -> Vec<MemberUpdate> {
    origin_holders(stream, members.iter().copied())
}

#[rstest]
#[case::three_domains(9, 3)]
#[case::five_domains(1000, 5)]
fn origin_holders_in_different_domains(#[case] hosts: u64, #[case] domains: u64) {
    let members = members(hosts, domains);
    for stream in (0..200).map(StreamKey) {
        let chosen = holders(stream, &members);
        let mut named: Vec<NameKey> =
            chosen[..ORIGIN_HOLDERS].iter().map(|holder| holder.domain).collect();
        named.sort();
        named.dedup();
        assert_eq!(named.len(), ORIGIN_HOLDERS);
        assert_eq!(chosen.len(), members.len(), "every host is in the order");
    }
}

/// The lookup asks twice as many hosts as were told, so a holder stays among them when members come or go.
#[test]
fn origin_holders_agree_despite_lost_members() {
    let before = members(30, 3);
    let after: Vec<MemberUpdate> =
        before.iter().copied().filter(|m| m.incarnation.0 % 7 != 0).collect();
    for stream in (0..500).map(StreamKey) {
        let told = &holders(stream, &before)[..ORIGIN_HOLDERS];
        let asked = &holders(stream, &after)[..2 * ORIGIN_HOLDERS];
        let living = told.iter().filter(|holder| after.contains(holder));
        for holder in living {
            assert!(asked.contains(holder), "stream {stream:?}");
        }
    }
}

#[test]
fn origin_table_finds_until_expiry() {
    let mut table = OriginTable::default();
    table.record_received(START, update(STREAM, "v1"));
    let found = table.find(TimePoint::from_millis(9_999), STREAM).expect("it is known");
    assert_eq!((found.version, found.valid_ms), (version("v1"), 1));
    assert_eq!(table.find(TimePoint::from_millis(10_000), STREAM), None);
    table.expire(TimePoint::from_millis(10_000));
    assert!(table.is_empty());
}

/// Hosts that state two versions for a stream prove neither.
#[test]
fn origin_table_conflicting_versions_unknown() {
    let mut table = OriginTable::default();
    for name in ["v1", "v1.1", "v1"] {
        table.record_received(START, update(STREAM, name));
    }
    assert_eq!(table.find(START, STREAM), None);
}

#[test]
fn origin_table_full_forgets_nothing() {
    let mut table = OriginTable::default();
    for stream in 0..=MAX_ORIGINS as u64 {
        table.record_received(START, update(StreamKey(stream), "v1"));
    }
    assert_eq!(table.len(), MAX_ORIGINS);
    assert!(table.find(START, StreamKey(0)).is_some());
    assert_eq!(table.find(START, StreamKey(MAX_ORIGINS as u64)), None);
    table.record_received(TimePoint::from_millis(10_001), update(StreamKey(u64::MAX), "v1"));
    assert_eq!(table.len(), 1, "what expired makes room");
}

/// Holders are told once more, since datagrams are lost, and no further time as long as the members stay.
#[test]
fn due_updates_repeat_own_once() {
    let members = members(9, 3);
    let mut table = OriginTable::default();
    let chosen = holders(STREAM, &members);
    table.due_updates(START, 1, |stream| holders(stream, &members));
    table.record_own(START, update(STREAM, "v1"), &chosen);
    let due = |table: &mut OriginTable, millis| {
        table.due_updates(TimePoint::from_millis(millis), 1, |stream| holders(stream, &members))
    };
    assert_eq!(due(&mut table, 100).len(), 0);
    let told: Vec<MemberUpdate> = due(&mut table, 500).iter().map(|(holder, _)| *holder).collect();
    assert_eq!(told, chosen[..ORIGIN_HOLDERS]);
    assert_eq!(due(&mut table, 900).len(), 0);
}

/// All hosts are replaced one after the other. The stream stays known, though every host that was told first is gone.
#[test]
fn due_updates_hand_over_as_members_restart() {
    let mut hosts = members(6, 3);
    let mut tables: Vec<OriginTable> = hosts.iter().map(|_| OriginTable::default()).collect();
    tables[0].record_own(START, update(STREAM, "v1"), &[]);
    for step in 0..12 {
        let now = TimePoint::from_millis(500 * (step + 1));
        let index = (step as usize) % hosts.len();
        if step > 0 {
            hosts[index].incarnation = IncarnationId(5000 + step);
            tables[index] = OriginTable::default();
        }
        let members = hosts.clone();
        let mut sent = Vec::new();
        for (table, own) in tables.iter_mut().zip(&hosts) {
            let others: Vec<MemberUpdate> =
                members.iter().copied().filter(|m| m.incarnation != own.incarnation).collect();
            sent.extend(table.due_updates(now, step, |stream| holders(stream, &others)));
        }
        for (holder, update) in sent {
            let index = hosts.iter().position(|host| host.incarnation == holder.incarnation);
            tables[index.expect("it lives")].record_received(now, update);
        }
        let known = tables.iter().filter(|table| table.find(now, STREAM).is_some()).count();
        assert!(known >= 2, "step {step}: {known} hosts know it");
    }
}

/// The same attempt id of another caller, or at another service, is another stream.
#[test]
fn stream_key_of_other_contents_differs() {
    let of = |service: &str, contents: u64, attempt: &str| {
        StreamKey::of(NameKey::of(service), RequestKey(contents), attempt)
    };
    let keys = [of("a", 1, "x"), of("b", 1, "x"), of("a", 2, "x"), of("a", 1, "y")];
    for (index, key) in keys.iter().enumerate() {
        assert!(!keys[..index].contains(key));
    }
    assert_eq!(keys[0], of("a", 1, "x"));
}

/// "I see only one version" is no proof: another one may have come and gone, or come since.
#[rstest]
#[case::single(&["v1"], true, 0, false, Some("v1"))]
#[case::several(&["v1", "v1.1"], true, 0, true, None)]
#[case::none(&[], true, 0, true, None)]
#[case::started_just_now(&["v1"], false, 0, true, None)]
#[case::old_view(&["v1"], true, 2_001, false, None)]
#[case::old_view_of_all(&["v1"], true, 2_001, true, Some("v1"))]
fn version_of_unknown_only_if_proved(
    #[case] recent: &[&str],
    #[case] is_settled: bool,
    #[case] view_age_ms: u64,
    #[case] is_common_outage: bool,
    #[case] expected: Option<&str>,
) {
    let recent: Vec<VersionKey> = recent.iter().map(|name| version(name)).collect();
    let view_age = Duration::from_millis(view_age_ms);
    let origin = UnknownOrigin {
        recent: &recent,
        is_only_service: true,
        is_settled,
        view_age,
        is_common_outage,
    };
    assert_eq!(version_of_unknown(&origin), expected.map(version));
    let of_several = UnknownOrigin { is_only_service: false, ..origin };
    assert_eq!(version_of_unknown(&of_several), None);
}

#[test]
fn version_history_keeps_versions_that_left() {
    let service = NameKey::of("engines");
    let (old, new) = ((service, version("v1")), (service, version("v1.1")));
    let mut history = VersionHistory::default();
    history.record_present(START, [old, new].into_iter());
    let later = START + Duration::from_secs(30);
    history.record_present(later, [new].into_iter());
    assert_eq!(history.recent(later, service).len(), 2);
    let end = START + VERSION_RETENTION;
    assert_eq!(history.recent(end, service), [new.1]);
    assert!(!history.is_settled(later));
    assert!(history.is_settled(end));
}

/// A host that starts after all others are gone learns from the store which versions may have begun streams.
#[test]
fn version_history_learns_past_from_store() {
    let service = NameKey::of("engines");
    let (old, new) = ((service, version("v1")), (service, version("v1.1")));
    let mut before = VersionHistory::default();
    before.record_present(START, [old, new].into_iter());
    let saved = before.to_save(START + Duration::from_secs(5));
    assert_eq!(saved.len(), 2);
    let mut after = VersionHistory::default();
    after.record_present(START, [new].into_iter());
    assert_eq!(after.to_save(START).len(), 1, "a single version may leave while no host lives");
    after.apply_saved(START, &saved, VERSION_RETENTION);
    assert!(after.is_settled(START));
    assert_eq!(after.recent(START, service).len(), 2);
}

/// What the store keeps is complete only since the first host wrote it.
#[test]
fn version_history_of_short_record_not_settled() {
    let service = NameKey::of("engines");
    let mut history = VersionHistory::default();
    history.record_present(START, [(service, version("v1"))].into_iter());
    history.apply_saved(START, &[], VERSION_RETENTION / 2);
    assert!(!history.is_settled(START));
    assert_eq!(history.known_for(START), VERSION_RETENTION / 2);
    assert!(history.is_settled(START + VERSION_RETENTION / 2));
}

/// A version that just came is passed over while others serve, and used where it is the only one.
#[rstest]
#[case::others_serve(&[("v1", true), ("v2", false)], &["v1"])]
#[case::only_new_ones(&[("v2", false), ("v3", false)], &["v2", "v3"])]
#[case::all_established(&[("v1", true), ("v2", true)], &["v1", "v2"])]
fn keep_established_drops_new_versions(
    #[case] servers: &[(&str, bool)],
    #[case] expected: &[&str],
) {
    let mut ranked = servers.to_vec();
    keep_established(&mut ranked, |(_, is_established)| *is_established);
    let kept: Vec<&str> = ranked.iter().map(|(version, _)| *version).collect();
    assert_eq!(kept, expected);
}

fn targets(routes: &[(u64, u64)]) -> RouteTargets {
    routes.iter().copied().collect()
}

/// A route that moved or left may have led elsewhere when a stream began; a new one has no streams yet.
#[rstest]
#[case::same(&[(1, 10), (2, 20)], true)]
#[case::added(&[(1, 10), (2, 20), (3, 30)], true)]
#[case::moved(&[(1, 10), (2, 21)], false)]
#[case::left(&[(1, 10)], false)]
fn target_history_settled_after_change(#[case] changed: &[(u64, u64)], #[case] is_settled: bool) {
    let mut history = TargetHistory::default();
    history.record(START, targets(&[(1, 10), (2, 20)]));
    let now = START + VERSION_RETENTION;
    history.record(now, targets(changed));
    assert_eq!(history.is_settled(now), is_settled);
    assert!(history.is_settled(now + VERSION_RETENTION));
}

/// A host that has just started knows since when routes have led to the same services only from a record of just these.
#[rstest]
#[case::same(&[(1, 10)], VERSION_RETENTION, true)]
#[case::changed_lately(&[(1, 10)], VERSION_RETENTION / 2, false)]
#[case::changed_since(&[(1, 11)], VERSION_RETENTION, false)]
#[case::added_since(&[], VERSION_RETENTION, false)]
fn target_history_learns_past_from_store(
    #[case] saved: &[(u64, u64)],
    #[case] age: Duration,
    #[case] is_settled: bool,
) {
    let mut before = TargetHistory::default();
    before.record(START, targets(saved));
    let mut after = TargetHistory::default();
    after.record(START, targets(&[(1, 10)]));
    after.apply_saved(START, before.digest(), age);
    assert_eq!(after.is_settled(START), is_settled);
}

/// Guards against streams that begin at a version which comes and leaves before the store knows of it: all hosts that saw
/// it may be dead by then.
#[test]
fn version_established_once_the_store_may_know_it() {
    let service = NameKey::of("engines");
    let (old, new) = ((service, version("v1")), (service, version("v2")));
    let mut history = VersionHistory::default();
    history.record_present(START, [old].into_iter());
    let came = START + Duration::from_secs(10);
    assert!(!history.is_established(came, new), "it was not seen yet");
    history.record_present(came, [old, new].into_iter());
    assert!(history.is_established(came, old) && !history.is_established(came, new));
    let returned = came + ESTABLISH_TIME;
    assert!(history.is_established(returned, new));
    history.record_present(returned, [old].into_iter());
    history.record_present(returned + ESTABLISH_TIME, [old, new].into_iter());
    assert!(history.is_established(returned + ESTABLISH_TIME, new), "the store still keeps it");
}
