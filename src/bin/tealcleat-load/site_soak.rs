//! Soaks of real daemons on the platform's stand-ins.

use tealcleat::Result;
use tealcleat::bench::soak::{SoakOptions, run_soak};

/// Runs a soak on each seed and prints a line each; true if no promise broke.
pub fn run(options: &SoakOptions, seeds: u64) -> Result<bool> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let mut held = true;
    for seed in options.seed..options.seed + seeds {
        let options = SoakOptions { seed, ..options.clone() };
        let report = runtime.block_on(run_soak(&options))?;
        println!(
            "seed={seed} faults={} asked={} whole={} refused={} failed={} store_calls={} broken={}",
            report.faults,
            report.asked,
            report.whole,
            report.refused,
            report.failed,
            report.store_calls,
            report.breaches.len()
        );
        for breach in &report.breaches {
            println!("  {}: {}", breach.promise, breach.detail);
        }
        held &= report.breaches.is_empty();
    }
    runtime.shutdown_background();
    Ok(held)
}
