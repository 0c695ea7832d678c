//! Series of faults that strike almost at once.

use super::soak_fault::{FaultPlaces, SoakFault};
use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;

/// Longest pause between faults of a series: signals overlap before the first one has been handled.
const LONGEST_PAUSE_MS: u64 = 12;
/// A stop that is killed has gone on for at most this long; hosts need up to some seconds.
const LONGEST_STOP_MS: u64 = 400;
/// Most changes of the configuration in one series.
const MOST_CHANGES: usize = 8;

/// One fault of a series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct BurstStep {
    pub fault: SoakFault,
    /// How long it lasts.
    pub lasts: Duration,
    /// The pause before the next one.
    pub pause: Duration,
}

/// Draws a series of faults.
pub(super) fn draw_burst(random: &mut StdRng, places: FaultPlaces) -> Vec<BurstStep> {
    let host = random.random_range(0..places.hosts);
    match random.random_range(0..5) {
        0 => draw_signals(random, places),
        1 => vec![
            step(random, SoakFault::Reload(host), LONGEST_PAUSE_MS),
            step(random, SoakFault::Stop(host), LONGEST_PAUSE_MS),
        ],
        2 => vec![
            step(random, SoakFault::Reload(host), LONGEST_PAUSE_MS),
            step(random, SoakFault::Kill(host), LONGEST_PAUSE_MS),
        ],
        3 => vec![
            step(random, SoakFault::Stop(host), LONGEST_STOP_MS),
            step(random, SoakFault::Kill(host), LONGEST_PAUSE_MS),
        ],
        _ => draw_changes(random, host),
    }
}

/// Several hosts are signalled.
fn draw_signals(random: &mut StdRng, places: FaultPlaces) -> Vec<BurstStep> {
    let first = random.random_range(0..places.hosts);
    let count = random.random_range(1..=places.hosts);
    let hosts = (0..count).map(|next| (first + next) % places.hosts);
    hosts
        .map(|host| {
            let fault = draw_signal(random, host);
            step(random, fault, LONGEST_PAUSE_MS)
        })
        .collect()
}

fn draw_signal(random: &mut StdRng, host: usize) -> SoakFault {
    [SoakFault::Kill(host), SoakFault::Stop(host), SoakFault::Pause(host), SoakFault::Reload(host)]
        [random.random_range(0..4)]
}

/// The configuration changes several times, and a host reads its settings meanwhile.
fn draw_changes(random: &mut StdRng, host: usize) -> Vec<BurstStep> {
    let count = random.random_range(2..=MOST_CHANGES);
    let reload = random.random_range(0..count);
    (0..count)
        .map(|place| {
            let fault =
                if place == reload { SoakFault::Reload(host) } else { SoakFault::Configure };
            step(random, fault, LONGEST_PAUSE_MS)
        })
        .collect()
}

fn step(random: &mut StdRng, fault: SoakFault, longest_pause_ms: u64) -> BurstStep {
    let pause = Duration::from_millis(random.random_range(0..longest_pause_ms));
    // Hosts that have ended start again while others of the series still end.
    let lasts = Duration::from_millis(random.random_range(0..1000));
    BurstStep { fault, lasts, pause }
}
