use super::answer_fault::AnswerFault;
use super::partition_group::PartitionGroup;
use super::server_cut::ServerCut;
use crate::bench::links::{PartitionScope, ProxyMode};
use crate::bench::site::{EngineFault, ServiceFault, StoreFault};
use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;

/// A fault that a soak test injects, with the index of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SoakFault {
    Store(StoreFault),
    /// The store compacts its history.
    StoreForgets,
    Engine(usize, EngineFault),
    Service(usize, ServiceFault),
    /// The link to a backend server.
    Link(usize, ProxyMode),
    /// The answers of a backend server.
    Answers(usize, AnswerFault),
    /// The link between a host and the store.
    HostStore(usize, ProxyMode),
    /// The store's answers to a host.
    StoreAnswers(usize, AnswerFault),
    Kill(usize),
    Stop(usize),
    Pause(usize),
    /// Like `Pause`, but the host's monotonic clock stops as well.
    Suspend(usize),
    /// A network partition.
    Cut(PartitionGroup, PartitionScope),
    /// Hosts lose their paths to all servers.
    ServerCut(PartitionGroup, ServerCut),
    Reload(usize),
    /// The configuration changes.
    Configure,
    DrainServer(usize),
}

/// The number of possible targets of each kind.
#[derive(Debug, Clone, Copy)]
pub(super) struct FaultTargets {
    pub engines: usize,
    pub services: usize,
    pub links: usize,
    pub hosts: usize,
}

/// Draws the next fault and its duration.
pub(super) fn draw_fault(random: &mut StdRng, targets: FaultTargets) -> (SoakFault, Duration) {
    let engine = random.random_range(0..targets.engines);
    let service = random.random_range(0..targets.services);
    let link = random.random_range(0..targets.links);
    let host = random.random_range(0..targets.hosts);
    let duration = Duration::from_millis(random.random_range(50..1500));
    let fault = match random.random_range(0..16) {
        0 => SoakFault::Store(draw_store(random)),
        1 => SoakFault::StoreForgets,
        2 | 3 => SoakFault::Engine(engine, draw_engine(random)),
        4 => SoakFault::Service(service, draw_service(random)),
        5 => SoakFault::Link(link, draw_link(random)),
        6 => SoakFault::HostStore(host, draw_link(random)),
        7 => SoakFault::Kill(host),
        8 => SoakFault::Stop(host),
        9 => SoakFault::Pause(host),
        10 => SoakFault::Configure,
        11..=13 => SoakFault::Answers(link, draw_answer(random)),
        14 => SoakFault::StoreAnswers(host, draw_answer(random)),
        _ if random.random_bool(0.5) => SoakFault::Reload(host),
        _ => SoakFault::DrainServer(service),
    };
    (fault, duration)
}

fn draw_store(random: &mut StdRng) -> StoreFault {
    [StoreFault::Silent, StoreFault::Busy, StoreFault::TooMany, StoreFault::LoseWrites]
        [random.random_range(0..4)]
}

fn draw_engine(random: &mut StdRng) -> EngineFault {
    [
        EngineFault::Full,
        EngineFault::Silent,
        EngineFault::LoseHandles,
        EngineFault::LoseReads,
        EngineFault::FailRuns,
        EngineFault::CutAfter(3),
        EngineFault::StallAfter(2),
        EngineFault::StrayAfter(3),
        EngineFault::ForeignAnswer,
        EngineFault::LoseOrders,
        EngineFault::Changing,
    ][random.random_range(0..11)]
}

fn draw_service(random: &mut StdRng) -> ServiceFault {
    [
        ServiceFault::Full,
        ServiceFault::FailRuns,
        ServiceFault::LoseAnswers,
        ServiceFault::ForeignAnswer,
        ServiceFault::Unsigned,
        ServiceFault::Silent,
    ][random.random_range(0..6)]
}

fn draw_link(random: &mut StdRng) -> ProxyMode {
    [
        ProxyMode::Delay(Duration::from_millis(120)),
        ProxyMode::Silent,
        ProxyMode::DeafServer,
        ProxyMode::Reset,
    ][random.random_range(0..4)]
}

/// Draws a fault in answers. Half of the draws are answers that are sent twice.
fn draw_answer(random: &mut StdRng) -> AnswerFault {
    if random.random_bool(0.5) {
        return if random.random_bool(0.5) {
            AnswerFault::LateCopy
        } else {
            AnswerFault::CopyAhead
        };
    }
    AnswerFault::ALL[random.random_range(0..AnswerFault::ALL.len())]
}
