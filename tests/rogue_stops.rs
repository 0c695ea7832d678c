//! Clients that do not behave, beside stops, restarts, reloads, cuts and a slow machine.

use std::time::Duration;
use tealcleat::bench::rogue::{RogueCrowd, RogueKind};
use tealcleat::bench::site::StoreFault;
use tokio::sync::Mutex;

mod machine_common;
mod rogue_common;
mod site_common;

use rogue_common::{DoorKind, OrdinaryCallers, READY_MISSES, ReadyProbe, RogueWorld, wait_ready};
use site_common::runtime;

/// One test plays at a time.
static PLAY: Mutex<()> = Mutex::const_new(());
const CALLS: u64 = 60;
/// The share of ordinary first tries that are served beside the crowds.
const SERVED_SHARE: f64 = 0.9;
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// Ends a test that hangs; no guarantee depends on it.
const HANG_LIMIT: Duration = Duration::from_secs(60);
/// Crowds that hold connections, bodies and answers.
const CROWDS: [(RogueKind, DoorKind, usize); 7] = [
    (RogueKind::Silent, DoorKind::Route, 600),
    (RogueKind::HalfHead, DoorKind::Route, 300),
    (RogueKind::HalfLargeBody, DoorKind::Route, 40),
    (RogueKind::SlowBody, DoorKind::Route, 300),
    (RogueKind::SlowReader, DoorKind::Route, 100),
    (RogueKind::RequestsAhead, DoorKind::NoRoute, 60),
    (RogueKind::RequestsAhead, DoorKind::Ready, 60),
];

fn start_crowds(world: &RogueWorld) -> Vec<RogueCrowd> {
    let start =
        |(kind, door, size): &(_, _, usize)| RogueCrowd::start(*kind, &world.target(*door), *size);
    CROWDS.iter().map(start).collect()
}

async fn leave(crowds: Vec<RogueCrowd>) {
    for crowd in crowds {
        crowd.leave().await;
    }
}

async fn wait_ended(world: &mut RogueWorld) {
    let ending = async {
        while !world.hosts[0].has_ended() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    tokio::time::timeout(HANG_LIMIT, ending).await.expect("it ends by itself");
}

/// A daemon that stops answers what it has read, and ends, however many connections rest or stall; started again, it serves
/// beside the same crowds.
#[test]
fn stop_and_restart_beside_crowds() {
    runtime().block_on(async {
        let _turn = PLAY.lock().await;
        let mut world = RogueWorld::start("rogue-stop").await;
        let watch = world.watch();
        let crowds = start_crowds(&world);
        for _ in 0..2 {
            let callers = OrdinaryCallers::start(world.hosts[0].callers);
            callers.ended(CALLS).await;
            world.hosts[0].signal("-TERM").expect("it runs");
            let tally = callers.stop().await;
            println!("around a stop: {tally:?}, {:?}", watch.peak());
            assert!(tally.share() >= SERVED_SHARE, "before the stop: {tally:?}");
            wait_ended(&mut world).await;
            world.hosts[0].restart().expect("it starts");
            wait_ready(world.hosts[0].ready).await;
        }
        let watch = world.watch();
        let callers = OrdinaryCallers::start(world.hosts[0].callers);
        let again = callers.ended(CALLS).await;
        leave(crowds).await;
        callers.stop().await;
        assert!(!watch.peak().is_over, "memory of the machine: {:?}", watch.peak());
        assert!(again.share() >= SERVED_SHARE, "after the restart: {again:?}");
        let log = world.hosts[0].log().expect("a log");
        assert_eq!(log.matches(" event=stopped ").count(), 2, "it was not killed");
    });
}

/// Reloads and a store that is silent change nothing of it.
#[test]
fn reloads_and_silent_store_beside_crowds() {
    runtime().block_on(async {
        let _turn = PLAY.lock().await;
        let mut world = RogueWorld::start("rogue-reload").await;
        let watch = world.watch();
        let crowds = start_crowds(&world);
        let callers = OrdinaryCallers::start(world.hosts[0].callers);
        callers.ended(CALLS / 3).await;
        world.site.store.set_fault(StoreFault::Silent);
        let probe = ReadyProbe::start(world.hosts[0].ready);
        let mut served = 0.0;
        const ROUNDS: u32 = 8;
        for _ in 0..ROUNDS {
            world.hosts[0].signal("-HUP").expect("it runs");
            served += callers.ended(CALLS / 4).await.share();
        }
        world.site.store.set_fault(StoreFault::None);
        let misses = probe.stop();
        leave(crowds).await;
        let peak = watch.peak();
        println!("beside reloads: served {:.3}, {peak:?}", served / f64::from(ROUNDS));
        callers.stop().await;
        assert!(!peak.is_over && !world.hosts[0].has_ended(), "{peak:?}");
        assert!(misses < READY_MISSES, "{misses} calls of the ready address in a row unanswered");
        assert!(served / f64::from(ROUNDS) >= SERVED_SHARE);
    });
}

/// A machine with a quarter of its processor, in slices: it stays within its memory, and serves as before once it has all.
#[test]
fn slow_machine_beside_crowds() {
    const SLICE: Duration = Duration::from_millis(10);
    const SLICES: u32 = 200;
    runtime().block_on(async {
        let _turn = PLAY.lock().await;
        let mut world = RogueWorld::start("rogue-slow").await;
        let watch = world.watch();
        let crowds = start_crowds(&world);
        let callers = OrdinaryCallers::start(world.hosts[0].callers);
        for _ in 0..SLICES {
            tokio::time::sleep(SLICE).await;
            world.hosts[0].signal("-STOP").expect("it runs");
            tokio::time::sleep(3 * SLICE).await;
            world.hosts[0].signal("-CONT").expect("it runs");
        }
        let peak = watch.peak();
        let slow = callers.stop().await;
        leave(crowds).await;
        let callers = OrdinaryCallers::start(world.hosts[0].callers);
        let after = callers.ended(CALLS).await;
        callers.stop().await;
        println!("slow machine: {slow:?}, share {:.3}, {peak:?}", slow.share());
        assert!(!peak.is_over && !world.hosts[0].has_ended(), "{peak:?}");
        assert!(slow.share() >= SERVED_SHARE, "while it is slow: {slow:?}");
        assert!(after.share() >= SERVED_SHARE, "afterwards: {after:?}");
    });
}
