//! Clients that do not behave, each kind at each address, beside ordinary callers: no daemon ends or hangs, each stays
//! within the memory of its machine, and ordinary callers are still served.

use rstest::rstest;
use std::time::Duration;
use tealcleat::bench::rogue::{RogueCrowd, RogueKind};
use tokio::sync::Semaphore;

mod machine_common;
mod rogue_common;
mod site_common;

use rogue_common::{DoorKind, OrdinaryCallers, READY_MISSES, ReadyProbe, RogueWorld, wait_ready};
use site_common::runtime;

/// Tests that play at a time.
static PLAYS: Semaphore = Semaphore::const_new(2);
/// Requests of ordinary callers that end before those count that show whether they are served, and those.
const FIRST_CALLS: u64 = 20;
const CALLS: u64 = 100;
/// Time in which the servers' places bear less than a crowd asks for.
const LONG_SERVICE_TIME: Duration = Duration::from_millis(150);
/// The share of ordinary first tries that are served beside the crowd.
const SERVED_SHARE: f64 = 0.9;

/// One crowd: its kind, where it goes, and its size.
type Crowd = (RogueKind, DoorKind, usize);

/// Plays one crowd against the first daemon.
fn play_crowd(name: &str, kind: RogueKind, door: DoorKind, size: usize) {
    runtime().block_on(async {
        let _turn = PLAYS.acquire().await.expect("it is never closed");
        let mut world = RogueWorld::start(name).await;
        play_crowds(name, &mut world, &[(kind, door, size)]).await;
    });
}

/// Plays crowds at the same time against the first daemon of `world`, beside ordinary callers of all daemons.
async fn play_crowds(name: &str, world: &mut RogueWorld, crowds: &[Crowd]) {
    let watch = world.watch();
    let callers: Vec<OrdinaryCallers> =
        world.hosts.iter().map(|host| OrdinaryCallers::start(host.callers)).collect();
    let start = |(kind, door, size): &Crowd| RogueCrowd::start(*kind, &world.target(*door), *size);
    let running: Vec<RogueCrowd> = crowds.iter().map(start).collect();
    callers[0].ended(FIRST_CALLS).await;
    let probe = ReadyProbe::start(world.hosts[0].ready);
    let (attacked, other) = tokio::join!(callers[0].ended(CALLS), callers[1].ended(CALLS));
    let misses = probe.stop();
    let opened: u64 = running.iter().map(RogueCrowd::opened).sum();
    for crowd in running {
        crowd.leave().await;
    }
    let peak = watch.peak();
    let after = callers[0].ended(CALLS).await;
    println!(
        "{name}: {crowds:?}: peak {:.1} MB (unread {:.1}), served {:.3}, others {:.3}, \
         afterwards {:.3}, lost {}, opened {opened}",
        peak.bytes as f64 / 1e6,
        peak.unread as f64 / 1e6,
        attacked.share(),
        other.share(),
        after.share(),
        attacked.lost,
    );
    for callers in callers {
        callers.stop().await;
    }
    assert!(!peak.is_over, "memory of the machine: {peak:?}");
    assert!(!world.hosts[0].has_ended(), "it ended");
    assert!(misses < READY_MISSES, "{misses} calls of the ready address in a row unanswered");
    assert!(attacked.share() >= SERVED_SHARE, "at the attacked daemon: {attacked:?}");
    assert!(other.share() >= SERVED_SHARE, "at another daemon: {other:?}");
    assert!(after.share() >= SERVED_SHARE, "afterwards: {after:?}");
    wait_ready(world.hosts[0].ready).await;
}

#[rstest]
#[case::ready(DoorKind::Ready, 600)]
#[case::route(DoorKind::Route, 600)]
#[case::metrics(DoorKind::Metrics, 600)]
#[case::peers(DoorKind::Peers, 600)]
fn endless_heads_bounded(#[case] door: DoorKind, #[case] size: usize) {
    play_crowd(&format!("endless-heads-{door:?}"), RogueKind::EndlessHead, door, size);
}

#[rstest]
#[case::ready(DoorKind::Ready)]
#[case::route(DoorKind::Route)]
#[case::no_route(DoorKind::NoRoute)]
#[case::metrics(DoorKind::Metrics)]
fn requests_ahead_not_begun_unread(#[case] door: DoorKind) {
    play_crowd(&format!("requests-ahead-{door:?}"), RogueKind::RequestsAhead, door, 400);
}

/// Guards against requests that are sent ahead and take the servers' places of all hosts, for callers who do not read.
#[test]
fn requests_ahead_leave_places_to_others() {
    runtime().block_on(async {
        let _turn = PLAYS.acquire().await.expect("it is never closed");
        let name = "requests-ahead-places";
        let mut world = RogueWorld::start_with(name, LONG_SERVICE_TIME).await;
        let crowd = (RogueKind::RequestsAhead, DoorKind::Route, 400);
        play_crowds(name, &mut world, &[crowd]).await;
    });
}

#[test]
fn bodies_ahead_not_begun_unread() {
    play_crowd("bodies-ahead", RogueKind::BodiesAhead, DoorKind::Route, 400);
}

#[rstest]
#[case::door(DoorKind::Route)]
#[case::ready(DoorKind::Ready)]
#[case::metrics(DoorKind::Metrics)]
#[case::peers(DoorKind::Peers)]
fn silent_connections_bounded(#[case] door: DoorKind) {
    play_crowd(&format!("silent-{door:?}"), RogueKind::Silent, door, 4500);
}

#[rstest]
#[case::door(DoorKind::Route)]
#[case::ready(DoorKind::Ready)]
fn half_heads_bounded(#[case] door: DoorKind) {
    play_crowd(&format!("half-heads-{door:?}"), RogueKind::HalfHead, door, 3800);
}

#[rstest]
#[case::half(RogueKind::HalfBody, 3800)]
#[case::slow(RogueKind::SlowBody, 3800)]
#[case::slow_head(RogueKind::SlowHead, 3800)]
#[case::slow_reader(RogueKind::SlowReader, 600)]
fn slow_senders_and_readers_bounded(#[case] kind: RogueKind, #[case] size: usize) {
    play_crowd(&format!("slow-{kind:?}"), kind, DoorKind::Route, size);
}

#[rstest]
#[case::in_one_piece(RogueKind::LargeBody, 400)]
#[case::in_pieces(RogueKind::LargeBodyInPieces, 400)]
#[case::all_but_a_byte(RogueKind::HalfLargeBody, 200)]
#[case::tiny_chunks(RogueKind::TinyChunks, 40)]
#[case::overlong(RogueKind::OverlongBody, 100)]
#[case::endless_chunks(RogueKind::EndlessChunks, 100)]
#[case::endless_extension(RogueKind::EndlessExtension, 100)]
#[case::endless_trailers(RogueKind::EndlessTrailers, 100)]
fn large_bodies_bounded(#[case] kind: RogueKind, #[case] size: usize) {
    play_crowd(&format!("large-{kind:?}"), kind, DoorKind::Route, size);
}

#[test]
fn large_bodies_without_route_bounded() {
    play_crowd("large-NoRoute", RogueKind::LargeBody, DoorKind::NoRoute, 400);
}

#[rstest]
#[case::many(RogueKind::ManyFields, 300)]
#[case::too_many(RogueKind::TooManyFields, 300)]
#[case::prompt_parts(RogueKind::PromptParts, 300)]
fn short_fields_bounded(#[case] kind: RogueKind, #[case] size: usize) {
    play_crowd(&format!("fields-{kind:?}"), kind, DoorKind::Route, size);
}

/// Small crowds of many kinds at the same time, at all addresses.
const MIXED: [Crowd; 14] = [
    (RogueKind::Silent, DoorKind::Route, 800),
    (RogueKind::HalfHead, DoorKind::NoRoute, 300),
    (RogueKind::HalfBody, DoorKind::Route, 300),
    (RogueKind::SlowBody, DoorKind::Route, 200),
    (RogueKind::HalfLargeBody, DoorKind::Route, 40),
    (RogueKind::LargeBodyInPieces, DoorKind::Route, 40),
    (RogueKind::TinyChunks, DoorKind::Route, 10),
    (RogueKind::EndlessTrailers, DoorKind::NoRoute, 30),
    (RogueKind::ManyFields, DoorKind::Route, 50),
    (RogueKind::RequestsAhead, DoorKind::NoRoute, 60),
    (RogueKind::SlowReader, DoorKind::Route, 100),
    (RogueKind::RequestsAhead, DoorKind::Ready, 100),
    (RogueKind::EndlessHead, DoorKind::Metrics, 50),
    (RogueKind::Silent, DoorKind::Peers, 300),
];

#[test]
fn mixed_crowds_bounded() {
    runtime().block_on(async {
        let _turn = PLAYS.acquire().await.expect("it is never closed");
        let mut world = RogueWorld::start("mixed").await;
        play_crowds("mixed", &mut world, &MIXED).await;
    });
}
