use super::soak_answer::AnswerFault;
use super::soak_cut::CutGroup;
use crate::bench::links::{PartitionScope, ProxyMode};
use crate::bench::site::{EngineFault, ServiceFault, StoreFault};
use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;

/// A fault of a soak, with the place where it strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SoakFault {
    Store(StoreFault),
    StoreForgets,
    Engine(usize, EngineFault),
    Service(usize, ServiceFault),
    Link(usize, ProxyMode),
    Answers(usize, AnswerFault),
    HostStore(usize, ProxyMode),
    StoreAnswers(usize, AnswerFault),
    Kill(usize),
    Stop(usize),
    Pause(usize),
    Suspend(usize),
    Cut(CutGroup, PartitionScope),
    Reload(usize),
    Configure,
    DrainServer(usize),
}

/// How many there are of each thing that a fault may strike.
#[derive(Debug, Clone, Copy)]
pub(super) struct FaultPlaces {
    pub engines: usize,
    pub services: usize,
    pub links: usize,
    pub hosts: usize,
}

/// Draws the next fault and how long it lasts.
pub(super) fn draw_fault(random: &mut StdRng, places: FaultPlaces) -> (SoakFault, Duration) {
    let engine = random.random_range(0..places.engines);
    let service = random.random_range(0..places.services);
    let link = random.random_range(0..places.links);
    let host = random.random_range(0..places.hosts);
    let lasts = Duration::from_millis(random.random_range(50..1500));
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
    (fault, lasts)
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

/// Draws what is wrong with answers: half of the draws are answers given twice.
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
