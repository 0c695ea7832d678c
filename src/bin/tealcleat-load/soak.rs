//! Long seeded simulations of the shipped state machines.

use tealcleat::bench::worlds::{
    InjectedBug, WorldReport, run_claim_world, run_limit_world, run_member_world, run_send_world,
    run_slot_world, run_stream_world,
};

type World = fn(u64, u64, InjectedBug) -> WorldReport;

const WORLDS: [(&str, World); 6] = [
    ("claims", run_claim_world),
    ("slots", run_slot_world),
    ("streams", run_stream_world),
    ("members", run_member_world),
    ("limits", run_limit_world),
    ("server-limits", run_send_world),
];

/// Runs every simulation with each seed. Returns whether no guarantee was broken and no invariant was violated.
pub fn run(first_seed: u64, seeds: u64, steps: u64) -> bool {
    let mut all_passed = true;
    for (name, world) in WORLDS {
        for seed in first_seed..first_seed + seeds {
            let report = world(seed, steps, InjectedBug::None);
            println!(
                "world={name} seed={seed} steps={} tried={} done={} faults={} used_permille={} broken={}",
                report.steps,
                report.tried,
                report.done,
                report.faults,
                report.used_permille,
                report.violations.len()
            );
            for line in &report.violations {
                println!("  {line}");
            }
            all_passed &= report.violations.is_empty();
        }
    }
    let violations = tealcleat::invariant::violations();
    println!("invariant_violations={violations}");
    all_passed && violations == 0
}
