//! Bursts: series of faults that begin almost at the same time.

use super::soak_fault::{FaultTargets, SoakFault};
use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;

/// Longest pause between the faults of a burst. It is short, so that the next signal arrives before the first one has
/// been handled.
const MAX_PAUSE_MS: u64 = 12;
/// Longest time between the start of a planned stop and the kill that interrupts it. A stop takes up to a few seconds.
const MAX_STOP_MS: u64 = 400;
/// Most changes of the configuration in one burst.
const MAX_CONFIG_CHANGES: usize = 8;

/// One fault of a burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct BurstStep {
    pub fault: SoakFault,
    /// How long the fault lasts.
    pub duration: Duration,
    /// The pause before the next fault.
    pub pause: Duration,
}

/// Draws a burst of faults.
pub(super) fn draw_burst(random: &mut StdRng, targets: FaultTargets) -> Vec<BurstStep> {
    let host = random.random_range(0..targets.hosts);
    match random.random_range(0..5) {
        0 => draw_signals(random, targets),
        1 => vec![
            draw_step(random, SoakFault::Reload(host), MAX_PAUSE_MS),
            draw_step(random, SoakFault::Stop(host), MAX_PAUSE_MS),
        ],
        2 => vec![
            draw_step(random, SoakFault::Reload(host), MAX_PAUSE_MS),
            draw_step(random, SoakFault::Kill(host), MAX_PAUSE_MS),
        ],
        3 => vec![
            draw_step(random, SoakFault::Stop(host), MAX_STOP_MS),
            draw_step(random, SoakFault::Kill(host), MAX_PAUSE_MS),
        ],
        _ => draw_changes(random, host),
    }
}

/// Draws signals to several hosts.
fn draw_signals(random: &mut StdRng, targets: FaultTargets) -> Vec<BurstStep> {
    let first = random.random_range(0..targets.hosts);
    let count = random.random_range(1..=targets.hosts);
    let hosts = (0..count).map(|offset| (first + offset) % targets.hosts);
    hosts
        .map(|host| {
            let fault = draw_signal(random, host);
            draw_step(random, fault, MAX_PAUSE_MS)
        })
        .collect()
}

fn draw_signal(random: &mut StdRng, host: usize) -> SoakFault {
    [SoakFault::Kill(host), SoakFault::Stop(host), SoakFault::Pause(host), SoakFault::Reload(host)]
        [random.random_range(0..4)]
}

/// Draws several changes of the configuration, during which a host reloads its settings.
fn draw_changes(random: &mut StdRng, host: usize) -> Vec<BurstStep> {
    let count = random.random_range(2..=MAX_CONFIG_CHANGES);
    let reload = random.random_range(0..count);
    (0..count)
        .map(|index| {
            let fault =
                if index == reload { SoakFault::Reload(host) } else { SoakFault::Configure };
            draw_step(random, fault, MAX_PAUSE_MS)
        })
        .collect()
}

fn draw_step(random: &mut StdRng, fault: SoakFault, max_pause_ms: u64) -> BurstStep {
    let pause = Duration::from_millis(random.random_range(0..max_pause_ms));
    // Hosts whose process has ended restart while others of the burst are still shutting down.
    let duration = Duration::from_millis(random.random_range(0..1000));
    BurstStep { fault, duration, pause }
}
