//! A daemon with the memory of a small machine before servers, a store and strangers that send bytes without end, many of
//! them at once: it stays within its memory, and the requests of other callers are served.

use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::{SitePlan, SiteServer, config};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

mod endless_common;
mod machine_common;
mod rogue_common;
mod site_common;

use endless_common::{EndlessPart, EndlessServer};
use rogue_common::{
    CallTally, OrdinaryCallers, READY_MISSES, ReadyProbe, RogueWorld, SERVERS, wait_ready,
};
use site_common::runtime;

/// Tests that play at a time.
static PLAYS: Semaphore = Semaphore::const_new(2);
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// Requests that end beside the bytes without end.
const CALLS: u64 = 120;
/// The share of requests that may be repeated that is served.
const SERVED_SHARE: f64 = 0.9;

/// All places at which an answer may have no end.
const PARTS: [EndlessPart; 14] = [
    EndlessPart::StatusLine,
    EndlessPart::HeaderValue,
    EndlessPart::Headers,
    EndlessPart::Informational,
    EndlessPart::BodyWithoutLength,
    EndlessPart::BodyWithLength,
    EndlessPart::Chunks,
    EndlessPart::ChunkSize,
    EndlessPart::ChunkExtension,
    EndlessPart::Trailers,
    EndlessPart::Refusal,
    EndlessPart::SlowBody,
    EndlessPart::Noise,
    EndlessPart::FurtherAnswers,
];
/// The same within a stream.
const STREAM_PARTS: [EndlessPart; 3] =
    [EndlessPart::FirstEvent, EndlessPart::SecondEvent, EndlessPart::Events];

/// Which servers send without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerRole {
    Plain,
    Prefill,
    Decode,
}

impl ServerRole {
    fn stage(self) -> Option<&'static str> {
        match self {
            Self::Plain => None,
            Self::Prefill => Some("prefill"),
            Self::Decode => Some("decode"),
        }
    }

    /// The sound servers. With several prefill servers, some would be ordered to decode in place of others.
    fn sound_servers(self) -> SitePlan {
        match self {
            Self::Plain | Self::Prefill => SERVERS,
            Self::Decode => SitePlan { prefills: 1, ..SERVERS },
        }
    }

    fn service(self) -> &'static str {
        match self {
            Self::Plain => "app",
            Self::Prefill | Self::Decode => "engines",
        }
    }
}

/// Starts one server for each part and writes its entry.
async fn start_endless(
    world: &RogueWorld,
    role: ServerRole,
    parts: &[EndlessPart],
) -> Vec<Arc<EndlessServer>> {
    let mut servers = Vec::new();
    for (index, part) in parts.iter().enumerate() {
        let server = EndlessServer::start(*part, role == ServerRole::Decode).await;
        let id = format!("i-endless-{index}");
        world.site.write_entry(&id, role.service(), server.address, role.stage(), "ready");
        servers.push(server);
    }
    servers
}

/// How a play ended.
struct PlayEnd {
    tally: CallTally,
    lost: Vec<String>,
}

/// Plays ordinary callers of the first daemon, and checks its memory and that it goes on.
async fn play(name: &str, world: &mut RogueWorld, servers: &[SocketAddr]) -> PlayEnd {
    let watch = world.watch_with_servers(servers);
    let callers = OrdinaryCallers::start_with_unsafe(world.hosts[0].callers);
    let probe = ReadyProbe::start(world.hosts[0].ready);
    callers.ended(CALLS).await;
    let misses = probe.stop();
    let peak = watch.peak();
    let lost = callers.lost_ids();
    let tally = callers.stop().await;
    println!(
        "{name}: peak {:.1} MB (unread {:.1}), served {:.3}, refused {}, lost {} of {}",
        peak.bytes as f64 / 1e6,
        peak.unread as f64 / 1e6,
        tally.share(),
        tally.refused,
        tally.lost,
        tally.asked,
    );
    assert!(!peak.is_over, "memory of the machine: {peak:?}");
    assert!(!world.hosts[0].has_ended(), "it ended");
    assert!(misses < READY_MISSES, "{misses} calls of the ready address in a row unanswered");
    PlayEnd { tally, lost }
}

/// Writes the entries of the sound servers of a role anew.
fn set_sound_servers(world: &RogueWorld, role: ServerRole, state: &str) {
    let has_role = |server: &&SiteServer| server.stage == role.stage();
    for server in world.site.servers.iter().filter(has_role) {
        world.site.write_entry(&server.id, server.service, server.address, server.stage, state);
    }
}

/// Guards against servers that fill the memory of the daemon that calls them, many kinds at once, and against a daemon
/// whose other requests suffer: each request that was lost had reached one of these servers. At first no other server has
/// their role.
#[rstest]
#[case::plain(ServerRole::Plain, &PARTS)]
#[case::prefill(ServerRole::Prefill, &PARTS)]
#[case::decode(ServerRole::Decode, &PARTS)]
#[case::decode_events(ServerRole::Decode, &STREAM_PARTS)]
fn endless_servers_leave_others_served(
    #[case] role: ServerRole,
    #[case] parts: &'static [EndlessPart],
) {
    runtime().block_on(async {
        let _turn = PLAYS.acquire().await.expect("it is never closed");
        let name = format!("endless-{role:?}-{}", parts.len());
        let mut world = RogueWorld::without_hosts(SERVICE_TIME, role.sound_servers()).await;
        let servers = start_endless(&world, role, parts).await;
        set_sound_servers(&world, role, "draining");
        world.start_hosts(&name, 1, world.site.store_address).await;
        let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
        let mut lost = play(&format!("{name} alone"), &mut world, &addresses).await.lost;
        let asked = servers.iter().filter(|server| server.asked() > 0).count();
        println!("{name}: {asked} of {} were asked", parts.len());
        assert!(asked > 0, "none was asked");
        set_sound_servers(&world, role, "ready");
        lost.extend(play(&name, &mut world, &addresses).await.lost);
        let is_excused = |id: &String| servers.iter().any(|server| server.was_asked(id));
        lost.retain(|id| !is_excused(id));
        assert!(lost.is_empty(), "lost without such a server: {lost:?}");
    });
}

/// Guards against a store whose answers fill the memory, or hold its readers up for ever: what is known serves on, and a
/// change is in force once the store is sound again.
#[rstest]
#[case::headers(EndlessPart::Headers)]
#[case::informational(EndlessPart::Informational)]
#[case::body_without_length(EndlessPart::BodyWithoutLength)]
#[case::body_with_length(EndlessPart::BodyWithLength)]
#[case::chunks(EndlessPart::Chunks)]
#[case::trailers(EndlessPart::Trailers)]
#[case::slow_body(EndlessPart::SlowBody)]
#[case::noise(EndlessPart::Noise)]
#[case::further_answers(EndlessPart::FurtherAnswers)]
fn endless_store_leaves_callers_served(#[case] part: EndlessPart) {
    runtime().block_on(async {
        let _turn = PLAYS.acquire().await.expect("it is never closed");
        let name = format!("endless-store-{part:?}");
        let mut world = RogueWorld::without_hosts(SERVICE_TIME, SERVERS).await;
        let store = EndlessServer::start_before(part, "/", world.site.store_address).await;
        store.set_sound(true);
        world.start_hosts(&name, 2, store.address).await;
        store.set_sound(false);
        let end = play(&name, &mut world, &[store.address]).await;
        assert!(store.asked() > 0, "it was not asked");
        assert!(end.tally.share() >= SERVED_SHARE, "{:?}", end.tally);
        assert_eq!(end.tally.lost, 0);
        store.set_sound(true);
        let mut newer = config(3);
        newer["routes"][2]["path_prefix"] = "/newer/".into();
        world.site.set_config(3, &newer);
        wait_served(&world, "newer").await;
    });
}

/// Waits until the first daemon serves a route.
async fn wait_served(world: &RogueWorld, route: &str) {
    for index in 0.. {
        let call = site_common::call("GET", route, &format!("{route}-{index}"));
        if rogue_common::call_within(world.hosts[0].callers, &call).await == Ok(200) {
            return;
        }
        tokio::time::sleep(SERVICE_TIME).await;
    }
}

/// A listener that sends bytes without end to whoever connects.
async fn start_noise() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let noise = vec![7; 64 << 10];
                while stream.write_all(&noise).await.is_ok() {}
            });
        }
    });
    address
}

/// Guards against strangers at the addresses of other hosts: seeds may be out of date, and their addresses in use again.
#[test]
fn endless_strangers_at_seeds_leave_callers_served() {
    runtime().block_on(async {
        let _turn = PLAYS.acquire().await.expect("it is never closed");
        let name = "endless-seeds";
        let strangers = [start_noise().await, start_noise().await];
        let mut world = RogueWorld::without_hosts(SERVICE_TIME, SERVERS).await;
        let store = world.site.store_address;
        world.start_hosts_with(name, 1, store, &strangers).await;
        let end = play(name, &mut world, &strangers).await;
        assert!(end.tally.share() >= SERVED_SHARE, "{:?}", end.tally);
        assert_eq!(end.tally.lost, 0);
        wait_ready(world.hosts[0].ready).await;
    });
}
