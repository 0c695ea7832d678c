//! Turns arguments into one plain configuration.

use bpaf::Bpaf;
use std::path::PathBuf;
use tealcleat::bench::{BenchFault, DeploymentKind};
use tealcleat::placement::PlacementPolicy;

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, descr("The load and experiment tool of tealcleat"))]
pub enum Config {
    /// Run one policy and print its summary as the last line
    #[bpaf(command)]
    Run {
        /// Policy, as in the settings
        #[bpaf(argument("NAME"), fallback(PlacementPolicy::Reserve))]
        policy: PlacementPolicy,
        #[bpaf(external)]
        measure: Measure,
    },
    /// Run all policies on the same seed and print a line each, then a table
    #[bpaf(command)]
    Compare {
        /// Write a plot of the shares here
        #[bpaf(argument("SVG"))]
        plot: Option<PathBuf>,
        #[bpaf(external)]
        measure: Measure,
    },
    /// Print the table of earlier runs' lines and draw their plot
    #[bpaf(command)]
    Report {
        /// Write the plot here
        #[bpaf(argument("SVG"))]
        plot: Option<PathBuf>,
        /// What earlier runs printed; other lines are passed over
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Measure control traffic, processor time, memory and store calls at several sizes
    #[bpaf(command)]
    Slopes {
        /// Write the raw rows here
        #[bpaf(argument("TSV"), fallback(PathBuf::from("docs/slopes.tsv")))]
        rows: PathBuf,
    },
    /// Drive the shipped machines through long seeded runs with faults
    #[bpaf(command)]
    Soak {
        /// First seed
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Seeds, one after the other
        #[bpaf(argument("N"), fallback(8))]
        seeds: u64,
        /// Steps of each run
        #[bpaf(argument("N"), fallback(200_000))]
        steps: u64,
    },
    /// Drive real daemons on the platform's stand-ins through faults from outside
    #[bpaf(command("site-soak"))]
    SiteSoak {
        /// First seed
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Seeds, one after the other
        #[bpaf(argument("N"), fallback(5))]
        seeds: u64,
        /// How long faults are injected
        #[bpaf(argument("S"), fallback(8))]
        seconds: u64,
        /// Daemons
        #[bpaf(argument("N"), fallback(3))]
        hosts: usize,
        /// Failure domains over which they are spread
        #[bpaf(argument("N"), fallback(1))]
        domains: usize,
        /// Callers
        #[bpaf(argument("N"), fallback(12))]
        callers: usize,
        /// Some requests crash the servers that run them
        crashing: bool,
        /// Daemons are suspended; one of their variables names a clock that stands still meanwhile
        suspending: bool,
        /// Servers name limits
        limiting: bool,
        /// Open connections fall silent, and hosts are asked what is in force
        silencing: bool,
        /// Machines are cut off, and hosts are asked what is in force; one of the daemons' variables names a library
        /// that lets their connections come from the address that TEALCLEAT_SOURCE names
        cutting: bool,
        /// Routes of the configuration that nobody asks for
        #[bpaf(argument("N"), fallback(0))]
        further_routes: usize,
        /// A variable of the daemons' environment
        #[bpaf(argument("NAME=VALUE"))]
        variable: Vec<String>,
    },
    /// Measure what the daemon adds to a stream over a direct call
    #[bpaf(command)]
    Overhead {
        /// Streams at once
        #[bpaf(argument("N"), fallback(200))]
        streams: usize,
    },
    /// Show the whole path once, with an `ok:` or `FAIL:` line for each step
    #[bpaf(command)]
    Demo,
}

/// A run's parameters.
#[derive(Debug, Clone, Bpaf)]
pub struct Measure {
    /// panelbridge, halvorsen or small
    #[bpaf(argument("NAME"), fallback(DeploymentKind::Panelbridge))]
    pub deployment: DeploymentKind,
    /// Load as a part of the pools' capacity
    #[bpaf(argument("FACTOR"), fallback(1.0))]
    pub load: f64,
    /// Seed of the mix
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// none, engine-frozen, host-killed, link-stalled or store-out
    #[bpaf(argument("NAME"), fallback(BenchFault::None))]
    pub fault: BenchFault,
    /// How long calls are sent
    #[bpaf(argument("S"), fallback(20))]
    pub seconds: u64,
}

/// Reads the command line; ends the process if it is wrong.
pub fn read_arguments() -> Config {
    config().run()
}
