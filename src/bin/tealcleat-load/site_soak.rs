//! Soak tests of real daemons against stand-ins of the platform.

use tealcleat::Result;
use tealcleat::bench::soak::{SoakOptions, run_soak};

/// Runs a soak test with each seed and prints a line for each. Returns whether no guarantee was broken.
pub fn run(options: &SoakOptions, seeds: u64) -> Result<bool> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let mut all_passed = true;
    for seed in options.seed..options.seed + seeds {
        let options = SoakOptions { seed, ..options.clone() };
        let report = runtime.block_on(run_soak(&options))?;
        println!(
            "seed={seed} faults={} asked={} whole={} refused={} failed={} store_calls={} broken={}",
            report.faults,
            report.sent,
            report.completed,
            report.refused,
            report.failed,
            report.store_calls,
            report.violations.len()
        );
        let (cut, others) = report.cut_tries;
        if cut.sent > 0 {
            println!(
                "  hosts without servers served {} of {} first tries, the others {} of {}",
                cut.served, cut.sent, others.served, others.sent
            );
        }
        let (before, during) = report.herd_tries;
        if during.sent > 0 {
            println!(
                "  first tries served {} of {} before most new connections went to one host, {} of {} meanwhile",
                before.served, before.sent, during.served, during.sent
            );
        }
        if options.sends_rogues {
            println!("  most memory of a daemon: {:.1} MB", report.peak_bytes as f64 / 1e6);
        }
        if options.sums_repeats {
            let repeats = report.repeats;
            println!(
                "  repeats of all hosts: {} at engines, {} at plain servers",
                repeats.engine_repeats, repeats.plain_repeats
            );
        }
        if options.hushes_servers || options.restarts_hosts {
            let hushed = report.hushed;
            println!(
                "  answers beside silent servers or restarts: {} of {} whole, {} given up, {} left by their callers, {} lost, {} worked on twice; \
                 repeats: {} at engines, {} at plain servers",
                hushed.whole,
                hushed.asked,
                hushed.given_up,
                hushed.left,
                hushed.lost,
                hushed.twice,
                hushed.repeats.engine_repeats,
                hushed.repeats.plain_repeats
            );
        }
        if options.hands_over {
            let handovers = report.handovers;
            println!(
                "  handovers: {} orders, {} calls given up before the end of a cut, {} requests after servers left",
                handovers.orders, handovers.given_up, handovers.asked
            );
        }
        let parts = &report.parts;
        if parts.crashes > 0 {
            let (before, after) = (parts.sound_before, parts.sound_after);
            println!(
                "  parts: {} servers crashed, late sends {:?}; sound ones begun {} of {} before, {} of {} beside them",
                parts.crashes, parts.late_sends, before.begun, before.sent, after.begun, after.sent
            );
        }
        let versions = &report.versions;
        if versions.streams > 0 {
            let (new, taken_up) = (versions.new, versions.taken_up);
            println!(
                "  {} streams, {} with events of several versions ({} within one answer); taken up {} of {}, \
                 new {} of {}",
                versions.streams,
                versions.mixed.len(),
                versions.mixed_in_answer,
                taken_up.begun,
                taken_up.sent,
                new.begun,
                new.sent
            );
        }
        for mixed in &versions.mixed {
            println!("  several versions: {mixed}");
        }
        if !versions.not_taken_up.is_empty() {
            println!("  not taken up: {}", versions.not_taken_up.join(" "));
        }
        for violation in &report.violations {
            println!("  {}: {}", violation.guarantee, violation.detail);
        }
        all_passed &= report.violations.is_empty();
    }
    runtime.shutdown_background();
    Ok(all_passed)
}
