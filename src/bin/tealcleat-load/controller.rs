//! Runs the chosen experiment.

use crate::app::{Config, Measure};
use crate::{demo, overhead, site_soak, slopes, soak};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tealcleat::bench::soak::SoakOptions;
use tealcleat::bench::{Deployment, LoadOptions, LoadSummary, plot_comparison, run_load};
use tealcleat::placement::PlacementPolicy;
use tealcleat::settings::{LoadFeatures, SourceText};
use tealcleat::{Error, Result};

/// Runs the experiment and returns whether it succeeded.
pub fn run(config: &Config) -> Result<bool> {
    let programs = program_folder()?;
    match config {
        Config::Run { policy, measure } => {
            let summary = run_load(&load_options(measure, *policy, &programs))?;
            println!("{}", serde_json::to_string(&summary)?);
            Ok(true)
        }
        Config::Compare { plot, measure } => compare(measure, plot.as_deref(), &programs),
        Config::Report { plot, file } => report(file, plot.as_deref()),
        Config::Slopes { rows } => slopes::measure(&programs, rows),
        Config::Soak { seed, seeds, steps } => Ok(soak::run(*seed, *seeds, *steps)),
        Config::SiteSoak {
            seed,
            seeds,
            seconds,
            hosts,
            domains,
            callers,
            crashing,
            suspending,
            limiting,
            loaded,
            silencing,
            cutting,
            separating,
            mixing,
            parts,
            herding,
            repeating,
            hushing,
            moving,
            restarting,
            handing_over,
            misbehaving,
            further_routes,
            variable,
        } => {
            let duration = Duration::from_secs(*seconds);
            let options = SoakOptions {
                seed: *seed,
                duration,
                hosts: *hosts,
                domains: *domains,
                callers: *callers,
                programs,
                sends_crashing_requests: *crashing,
                suspends_hosts: *suspending,
                limits_servers: *limiting,
                features: if *loaded { LoadFeatures::ALL } else { LoadFeatures::default() },
                stalls_connections: *silencing,
                partitions_network: *cutting,
                cuts_servers: *separating,
                mixes_versions: *mixing,
                crashes_parts: *parts,
                herds_connections: *herding,
                sums_repeats: *repeating,
                hushes_servers: *hushing,
                moves_versions: *moving,
                restarts_hosts: *restarting,
                hands_over: *handing_over,
                sends_rogues: *misbehaving,
                unused_routes: *further_routes,
                environment: variable
                    .iter()
                    .map(|text| read_variable(text))
                    .collect::<Result<_>>()?,
            };
            site_soak::run(&options, *seeds)
        }
        Config::Overhead { streams } => overhead::measure(&programs, *streams),
        Config::Demo => demo::run(&programs),
    }
}

fn read_variable(text: &str) -> Result<(String, String)> {
    let variable = text.split_once('=').filter(|(name, _)| !name.is_empty());
    let (name, value) = variable
        .ok_or_else(|| Error::Refused(format!("{text:?} is not of the form NAME=VALUE")))?;
    Ok((name.to_owned(), value.to_owned()))
}

/// Returns the folder of this program, which contains the other programs too.
fn program_folder() -> Result<PathBuf> {
    let executable = std::env::current_exe()?;
    executable
        .parent()
        .map(Path::to_path_buf)
        .ok_or_else(|| Error::Refused("the folder of this program is unknown".to_owned()))
}

fn load_options(measure: &Measure, policy: PlacementPolicy, programs: &Path) -> LoadOptions {
    LoadOptions {
        deployment: Deployment::new(measure.deployment),
        policy,
        load: measure.load,
        seed: measure.seed,
        fault: measure.fault,
        length: Duration::from_secs(measure.seconds),
        programs: programs.to_path_buf(),
    }
}

fn compare(measure: &Measure, plot: Option<&Path>, programs: &Path) -> Result<bool> {
    let mut rows = Vec::new();
    for policy in PlacementPolicy::ALL {
        let summary = run_load(&load_options(measure, policy, programs))?;
        println!("{}", serde_json::to_string(&summary)?);
        rows.push(summary);
    }
    print_and_plot(&rows, plot)
}

fn report(file: &Path, plot: Option<&Path>) -> Result<bool> {
    let source = SourceText::read(file)?;
    let mut rows = Vec::new();
    for (index, line) in source.text.lines().enumerate().filter(|(_, l)| l.starts_with('{')) {
        let row: LoadSummary = serde_json::from_str(line)
            .map_err(|error| Error::Refused(format!("{}:{}: {error}", source.name, index + 1)))?;
        rows.push(row);
    }
    print_and_plot(&rows, plot)
}

fn print_and_plot(rows: &[LoadSummary], plot: Option<&Path>) -> Result<bool> {
    print_table(rows);
    if let (Some(path), Some(first)) = (plot, rows.first()) {
        let title = format!("{} at load {:.1}", first.deployment, first.load);
        plot_comparison(path, &title, rows)?;
    }
    Ok(true)
}

fn print_table(rows: &[LoadSummary]) {
    println!(
        "| policy | goodput/s | all | long | short | by work | ttft p95 ms | tbt p95 ms | wasted | org ratio | not run | unknown | doubled | lost | false not run | leaked |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for row in rows {
        println!(
            "| {} | {:.1} | {:.3} | {:.3} | {:.3} | {:.3} | {:.0} | {:.0} | {:.3} | {:.2} | {} | {} | {} | {} | {} | {} |",
            row.policy,
            row.goodput,
            row.goodput_share,
            row.goodput_long_share,
            row.goodput_short_share,
            row.goodput_by_work,
            row.ttft_p95_ms,
            row.tbt_p95_ms,
            row.wasted_prefill_share,
            row.worst_to_best_organisation_wait,
            row.told_not_run,
            row.told_unknown,
            row.doubled,
            row.lost,
            row.false_not_run,
            row.leaked_slots
        );
    }
}
